#include "caller_request.h"

#include <charconv>
#include <limits>
#include <numeric>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <boost/json.hpp>

#include "routing/part_keys.h"
#include "routing/prefix_keys.h"
#include "runtime/digest.h"

namespace peridotgate::entry {
namespace {

namespace http = runtime::http;
namespace json = boost::json;
using coordination::Result;
using runtime::HttpRequest;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kKindHeader = "X-Peridotgate-Kind";
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMicrosPerMs = 1000;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;

std::string_view GetHeader(const HttpRequest& request, std::string_view name) {
  auto it = request.find({name.data(), name.size()});
  return it == request.end() ? std::string_view()
                             : std::string_view(it->value());
}

Problem MakeRefusal(unsigned status, std::string title, std::string detail) {
  return {status, wire::Outcome::kNotRun, std::move(title), std::move(detail),
          0};
}

std::string TextOf(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

// The roles and contents of the body's messages in order.
std::vector<std::string> MessageTexts(const json::object& body) {
  std::vector<std::string> texts;
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return texts;
  }
  for (const json::value& it : messages->get_array()) {
    if (!it.is_object()) {
      continue;
    }
    std::string text;
    for (const char* key : {"role", "content"}) {
      const json::value* part = it.get_object().if_contains(key);
      if (part != nullptr) {
        text += TextOf(*part) + '\n';
      }
    }
    texts.push_back(std::move(text));
  }
  return texts;
}

// The parts of the prompt in order: pieces of the prompt if the body has one,
// else its messages.
std::vector<std::string> PromptParts(const json::object& body) {
  const json::value* prompt = body.if_contains("prompt");
  return prompt == nullptr ? MessageTexts(body)
                           : routing::SplitPrompt(TextOf(*prompt));
}

Result<const wire::KindRules*, Problem> PickKind(
    const wire::OrganisationRules& organisation,
    const HttpRequest& request) {
  const std::string_view name = GetHeader(request, kKindHeader);
  const wire::KindRules* kind = FindKind(organisation, name);
  if (kind == nullptr) {
    return MakeRefusal(
        kBadRequest, "Unknown kind of work",
        fmt::format("{} has no kind '{}'; name one of its kinds in "
                    "the header {}",
                    organisation.name, name, kKindHeader));
  }
  return kind;
}

Result<void, Problem> ReadIdempotencyKey(const wire::KindRules& kind,
                                         const HttpRequest& request,
                                         wire::Dispatch& dispatch) {
  const std::string_view key = GetHeader(request, kKeyHeader);
  if (kind.repeatable) {
    return coordination::outcome::success();
  }
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return MakeRefusal(
        kBadRequest, "Idempotency-Key is required",
        fmt::format("'{}' may not be repeated; send the header {} "
                    "with 1 to {} bytes, the same for each retry",
                    kind.name, kKeyHeader, kMaxKeyBytes));
  }
  dispatch.idempotency_key = key;
  return coordination::outcome::success();
}

Result<json::object, Problem> ParseBody(const HttpRequest& request) {
  boost::system::error_code ec;
  json::value value = json::parse(request.body(), ec);
  if (ec || !value.is_object()) {
    return MakeRefusal(kBadRequest, "Malformed request",
                       "the body must be a JSON object");
  }
  return std::move(value.get_object());
}

Result<void, Problem> ReadModelCall(const wire::KindRules& kind,
                                    const HttpRequest& request,
                                    CallerRequest& out) {
  if (request.method() != http::verb::post) {
    return MakeRefusal(405, "Method not allowed", "send a POST");
  }
  auto body = ParseBody(request);
  if (!body) {
    return body.error();
  }
  const json::value* model = body.value().if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return MakeRefusal(kBadRequest, "No model", "name the model in 'model'");
  }
  const json::value* stream = body.value().if_contains("stream");
  out.streamed = stream != nullptr && stream->is_bool() && stream->get_bool();
  wire::Dispatch& dispatch = out.route.dispatch;
  out.route.model = model->get_string();
  dispatch.target = "model:" + out.route.model;
  if (kind.target != dispatch.target) {
    return MakeRefusal(kNotFound, "Unknown model",
                       fmt::format("kind '{}' is served by {}, not by {}",
                                   kind.name, kind.target, dispatch.target));
  }
  const std::vector<std::string> parts = PromptParts(body.value());
  const auto part_keys = routing::PartKeys(dispatch.target, parts);
  dispatch.part_keys.assign(part_keys.begin(), part_keys.end());
  const std::string prompt =
      std::accumulate(parts.begin(), parts.end(), std::string());
  dispatch.prompt_tokens = routing::EstimateTokens(prompt);
  dispatch.streamed = out.streamed;
  auto keys = routing::PrefixKeys(
      {dispatch.organisation, out.route.model, "", 0}, prompt);
  dispatch.prefix_keys.assign(keys.begin(), keys.end());
  return coordination::outcome::success();
}

Result<void, Problem> ReadServiceCall(const wire::KindRules& kind,
                                      std::string_view path,
                                      CallerRequest& out) {
  const std::string_view path_tail = path.substr(kServicesPrefix.size());
  const std::string_view name = path_tail.substr(0, path_tail.find('/'));
  wire::Dispatch& dispatch = out.route.dispatch;
  dispatch.target = fmt::format("service:{}", name);
  dispatch.path = path_tail.substr(name.size());
  if (dispatch.path.empty()) {
    dispatch.path = "/";
  }
  if (kind.target != dispatch.target) {
    return MakeRefusal(kNotFound, "Unknown service",
                       fmt::format("kind '{}' is served by {}, not by {}",
                                   kind.name, kind.target, dispatch.target));
  }
  return coordination::outcome::success();
}

void FillDispatch(const wire::OrganisationRules& organisation,
                  const wire::KindRules& kind,
                  const HttpRequest& request,
                  wire::Dispatch& dispatch) {
  dispatch.organisation = organisation.name;
  dispatch.kind = kind.name;
  dispatch.method = std::string(request.method_string());
  dispatch.path = std::string(request.target());
  dispatch.content_type = GetHeader(request, "Content-Type");
  dispatch.traceparent = GetHeader(request, "traceparent");
  dispatch.repeatable = kind.repeatable;
  dispatch.wait_limit_us = kind.wait_limit_ms * kMicrosPerMs;
  dispatch.output_tokens = kind.output_tokens;
  dispatch.prompt_tokens = kind.prompt_tokens;
  dispatch.weight = organisation.share > 0 ? organisation.share : 1;
}

Result<void, Problem> ReadResume(const HttpRequest& request,
                                 CallerRequest& out) {
  const std::string_view id = GetHeader(request, "Last-Event-ID");
  if (id.empty()) {
    return coordination::outcome::success();
  }
  auto point = ParseEventId(id);
  if (!point) {
    return MakeRefusal(kBadRequest, "Malformed Last-Event-ID",
                       "send the id of the last event as it was received");
  }
  out.route.request_id = point->request;
  out.route.resume = point->resume;
  return coordination::outcome::success();
}

}  // namespace

const wire::OrganisationRules* Authenticate(const RulesBook& rules,
                                            const HttpRequest& request) {
  const std::string_view value = GetHeader(request, "Authorization");
  if (!value.starts_with(kBearerPrefix)) {
    return nullptr;
  }
  return rules.FindByKey(
      runtime::Sha256Hex(value.substr(kBearerPrefix.size())));
}

Result<CallerRequest, Problem> ReadCallerRequest(
    const wire::OrganisationRules& organisation,
    const HttpRequest& request) {
  auto kind = PickKind(organisation, request);
  if (!kind) {
    return kind.error();
  }
  CallerRequest out;
  out.route.request_id = coordination::NewId();
  out.route.second_attempt = kind.value()->second_attempt;
  out.route.first_token_objective_ms = kind.value()->first_token_objective_ms;
  wire::Dispatch& dispatch = out.route.dispatch;
  FillDispatch(organisation, *kind.value(), request, dispatch);
  dispatch.body = request.body();
  auto key = ReadIdempotencyKey(*kind.value(), request, dispatch);
  if (!key) {
    return key.error();
  }
  const std::string_view target = request.target();
  const bool service = target.starts_with(kServicesPrefix);
  auto read = service ? ReadServiceCall(*kind.value(), target, out)
                      : ReadModelCall(*kind.value(), request, out);
  if (!read) {
    return read.error();
  }
  auto resume = ReadResume(request, out);
  if (!resume) {
    return resume.error();
  }
  return out;
}

std::string EventIdPrefix(const Id128& request,
                          const runtime::Endpoint& agent) {
  return fmt::format("{}/{}/", coordination::ToHex(request),
                     runtime::ToString(agent));
}

std::string FormatEventId(const Id128& request,
                          const runtime::Endpoint& agent,
                          std::int64_t position) {
  return EventIdPrefix(request, agent) + std::to_string(position);
}

std::optional<EventPoint> ParseEventId(std::string_view id) {
  const std::size_t first = id.find('/');
  const std::size_t last = id.rfind('/');
  if (first == std::string_view::npos || first == last) {
    return std::nullopt;
  }
  auto request = coordination::ParseId(id.substr(0, first));
  auto agent = runtime::ParseEndpoint(id.substr(first + 1, last - first - 1));
  std::int64_t position = -1;
  const std::string_view digits = id.substr(last + 1);
  const char* const end = digits.data() + digits.size();
  auto parsed = std::from_chars(digits.data(), end, position);
  const bool fully_parsed = parsed.ec == std::errc{} && parsed.ptr == end;
  // Rejects the maximum position, as adding 1 to it would overflow.
  if (!request || !agent || !fully_parsed || position < 0 ||
      position == std::numeric_limits<std::int64_t>::max()) {
    return std::nullopt;
  }
  return EventPoint{*request, {*agent, position + 1}};
}

}  // namespace peridotgate::entry
