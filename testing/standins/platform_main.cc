// A stand-in for the platform: the table service, the object store and the list
// of instances. A test can switch on faults.
#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include <CLI/CLI.hpp>

#include "standins/platform_model.h"
#include "standins/run.h"

namespace peridotgate::standins {
namespace {

namespace json = boost::json;

constexpr std::string_view kBucketPath = "/peridotgate/";

// Active faults, set by POST /faults.
struct Faults {
  bool down = false;            // Closes connections without effect.
  bool lose_responses = false;  // Applies writes, sends no response.
  std::int64_t delay_us = 0;
};

// The unescaped value of query parameter `name` of `target`.
std::string QueryValue(std::string_view target, std::string_view name) {
  const std::string key = std::string(name) + "=";
  const std::size_t at = target.find(key);
  if (at == std::string_view::npos) {
    return "";
  }
  const std::size_t first = at + key.size();
  const std::size_t last = std::min(target.find('&', first), target.size());
  std::string value;
  for (std::size_t i = first; i < last; ++i) {
    if (target[i] != '%') {
      value += target[i];
      continue;
    }
    const std::string digits(target.substr(i + 1, 2));
    value += static_cast<char>(std::stoi(digits, nullptr, 16));
    i += 2;
  }
  return value;
}

class Platform {
 public:
  Platform(asio::io_context& context, std::string instances_file)
      : context_(context), instances_file_(std::move(instances_file)) {}

  asio::awaitable<void> Handle(HttpRequest request, HttpExchange& exchange) {
    const std::string_view path = request.target();
    if (path == "/faults") {
      SetFaults(request.body());
      co_await exchange.Send(runtime::MakeResponse(http::status::ok, "{}"));
      co_return;
    }
    if (path == "/counts") {
      co_await exchange.Send(MakeCounts());
      co_return;
    }
    if (faults_.delay_us > 0) {
      co_await Sleep(context_, std::chrono::microseconds(faults_.delay_us));
    }
    if (faults_.down) {
      exchange.Abort();
      co_return;
    }
    if (path.starts_with("/instances")) {
      ++list_reads_;
      co_await exchange.Send(ListInstances(path));
      co_return;
    }
    if (path.starts_with(kBucketPath)) {
      co_await HandleObjectCall(request, exchange);
      co_return;
    }
    co_await HandleTableCall(request, exchange);
  }

 private:
  void SetFaults(const std::string& text) {
    const json::value value = json::parse(text);
    faults_.down = value.at("down").as_bool();
    faults_.lose_responses = value.at("lose_answers").as_bool();
    faults_.delay_us = value.at("delay_us").to_number<std::int64_t>();
  }

  runtime::HttpResponse MakeCounts() const {
    return runtime::MakeResponse(
        http::status::ok,
        json::serialize(json::object{{"reads", reads_},
                                     {"writes", writes_},
                                     {"list_reads", list_reads_}}));
  }

  // The instances with names in [from, until); an empty `until` is no limit.
  runtime::HttpResponse ListInstances(std::string_view target) const {
    std::ifstream file(instances_file_);
    std::ostringstream text;
    text << file.rdbuf();
    const std::string from = QueryValue(target, "from");
    const std::string until = QueryValue(target, "until");
    const json::value all = json::parse(text.str());
    json::array matching;
    for (const json::value& it : all.at("instances").as_array()) {
      const std::string name(it.at("instance").as_string());
      if (name >= from && (until.empty() || name < until)) {
        matching.push_back(it);
      }
    }
    return runtime::MakeResponse(
        http::status::ok,
        json::serialize(json::object{{"instances", matching}}));
  }

  // Reads an object, or creates it if it doesn't exist.
  asio::awaitable<void> HandleObjectCall(const HttpRequest& request,
                                         HttpExchange& exchange) {
    const std::string name(request.target());
    http::status status = http::status::ok;
    std::string body;
    if (request.method() == http::verb::put) {
      const bool created = objects_.emplace(name, request.body()).second;
      status = created ? status : http::status::precondition_failed;
    } else if (auto it = objects_.find(name); it != objects_.end()) {
      body = it->second;
    } else {
      status = http::status::not_found;
    }
    if (faults_.lose_responses && request.method() == http::verb::put) {
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(runtime::MakeResponse(status, std::move(body),
                                                 "application/octet-stream"));
  }

  asio::awaitable<void> HandleTableCall(const HttpRequest& request,
                                        HttpExchange& exchange) {
    const std::string_view target = request["X-Amz-Target"];
    const std::string_view operation = target.substr(target.find('.') + 1);
    boost::system::error_code ec;
    json::value body = json::parse(request.body(), ec);
    if (ec || !body.is_object()) {
      co_await exchange.Send(
          runtime::MakeResponse(http::status::bad_request, "{}"));
      co_return;
    }
    (operation == "TransactWriteItems" ? writes_ : reads_) += 1;
    const TableAnswer answer = table_.Call(operation, body.get_object());
    if (faults_.lose_responses && operation == "TransactWriteItems") {
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(runtime::MakeResponse(
        http::int_to_status(answer.status), json::serialize(answer.body),
        "application/x-amz-json-1.0"));
  }

  asio::io_context& context_;
  std::string instances_file_;
  TableModel table_;
  std::map<std::string, std::string> objects_;
  Faults faults_;
  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
  std::int64_t list_reads_ = 0;
};

}  // namespace
}  // namespace peridotgate::standins

int main(int argc, char** argv) {
  std::string listen;
  std::string instances;
  CLI::App app("standin-platform");
  app.add_option("--listen", listen)->required();
  app.add_option("--instances", instances, "JSON file that lists instances")
      ->required();
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context(1);
  peridotgate::standins::Platform platform(context, instances);
  return peridotgate::standins::Run(
      context, listen,
      [&](peridotgate::runtime::HttpRequest request,
          peridotgate::runtime::HttpExchange& exchange) {
        return platform.Handle(std::move(request), exchange);
      });
}
