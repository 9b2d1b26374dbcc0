#include "operate/instances.h"

#include <algorithm>
#include <thread>

#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "coordination/clock.h"
#include "run_sync.h"
#include "runtime/gzip.h"

namespace peridotgate::operate {
namespace {

namespace http = runtime::http;
namespace json = boost::json;
using coordination::Result;
using platform::ListedInstance;
using platform::PlatformError;

constexpr std::chrono::milliseconds kTimeout{2000};
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr std::size_t kMaxConcurrentRequests = 16;
constexpr std::size_t kMaxResponseBytes = 16 << 20;

// Returns the body, decompressed if it is gzip; nothing if the gzip data is
// corrupt or expands beyond the limit.
std::optional<std::string> Decompress(const runtime::HttpResponse& response) {
  if (response[http::field::content_encoding] == "gzip") {
    return runtime::Gunzip(response.body(), kMaxResponseBytes);
  }
  return response.body();
}

// Entries still to be queried, shared by the concurrent requesters.
struct PendingQueries {
  asio::io_context context{1};
  std::vector<ListedInstance> entries;
  std::size_t next = 0;
};

asio::awaitable<void> QueryInTurn(PendingQueries& queries,
                                  const std::string& path,
                                  const AnswerCallback& on_answer) {
  while (queries.next < queries.entries.size()) {
    InstanceAnswer answer{queries.entries[queries.next++], std::nullopt};
    runtime::HttpClient client(queries.context, *answer.listed.operators);
    auto request = runtime::MakeRequest(http::verb::get, path);
    request.set(http::field::accept_encoding, "gzip");
    auto response = co_await client.Fetch(std::move(request), kTimeout);
    if (response && response.value().result() != http::status::not_found) {
      answer.body = Decompress(response.value());
    }
    on_answer(answer);
  }
}

InstanceStatus FromReadyz(const InstanceAnswer& answer) {
  InstanceStatus status{answer.listed.instance,
                        answer.listed.role,
                        answer.listed.data_centre,
                        "no answer",
                        0,
                        0};
  boost::system::error_code ec;
  const json::value body = json::parse(answer.body.value_or(""), ec);
  if (ec || !body.is_object()) {
    return status;
  }
  const json::object& it = body.get_object();
  const json::value* leaving = it.if_contains("leaving");
  const json::value* version = it.if_contains("rules_version");
  const bool leaves =
      leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  status.state = leaves || answer.listed.leaving ? "leaving" : "alive";
  status.version =
      version != nullptr && version->is_int64() ? version->get_int64() : 0;
  return status;
}

// The full list of members from the first entry that answers.
std::string FetchMembers(const std::vector<ListedInstance>& listed) {
  for (const ListedInstance& it : listed) {
    if (it.role != "entry" || !it.operators) {
      continue;
    }
    const auto answers = QueryEntries({it}, "/members");
    if (answers.front().body) {
      return *answers.front().body;
    }
  }
  return "";
}

}  // namespace

Result<std::vector<ListedInstance>, PlatformError> ReadInstanceList(
    const runtime::Endpoint& endpoint) {
  asio::io_context context(1);
  platform::InstanceList list(context, endpoint);
  return RunSync(context, list.Fetch());
}

void QueryEntries(const std::vector<ListedInstance>& listed,
                  const std::string& path,
                  const AnswerCallback& on_answer) {
  PendingQueries queries;
  for (const ListedInstance& it : listed) {
    if (it.role == "entry" && it.operators) {
      queries.entries.push_back(it);
    }
  }
  for (std::size_t i = 0; i < kMaxConcurrentRequests; ++i) {
    asio::co_spawn(queries.context, QueryInTurn(queries, path, on_answer),
                   asio::detached);
  }
  queries.context.run();
}

std::vector<InstanceAnswer> QueryEntries(
    const std::vector<ListedInstance>& listed,
    const std::string& path) {
  std::vector<InstanceAnswer> answers;
  QueryEntries(listed, path,
               [&](const InstanceAnswer& it) { answers.push_back(it); });
  return answers;
}

Result<std::vector<InstanceStatus>, PlatformError> QueryStatus(
    const runtime::Endpoint& list) {
  auto listed = ReadInstanceList(list);
  if (!listed) {
    return listed.error();
  }
  StatusTable table;
  for (const InstanceAnswer& it : QueryEntries(listed.value(), "/readyz")) {
    table.AddEntry(FromReadyz(it));
  }
  table.AddMembers(FetchMembers(listed.value()));
  QueryEntries(listed.value(), "/members/heard", [&](const InstanceAnswer& it) {
    table.AddMembers(it.body.value_or(""));
  });
  std::vector<InstanceStatus> all = table.statuses();
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.instance < b.instance;
  });
  return all;
}

Result<std::vector<InstanceStatus>, PlatformError> WaitUntilInForce(
    const runtime::Endpoint& list,
    std::int64_t version,
    std::chrono::milliseconds timeout) {
  const coordination::SteadyClock clock;
  const auto deadline = clock.Now() + timeout;
  while (true) {
    auto all = QueryStatus(list);
    if (!all) {
      return all.error();
    }
    auto behind = FindLagging(all.value(), version);
    if (behind.empty() || clock.Now() >= deadline) {
      return behind;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace peridotgate::operate
