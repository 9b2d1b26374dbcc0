#include "runtime/operator_pages.h"

#include <utility>

#include "runtime/gzip.h"

namespace peridotgate::runtime {
namespace {

// Smaller pages are sent uncompressed.
constexpr std::size_t kMinCompressedBytes = 1024;

void Compress(HttpResponse& response) {
  response.body() = Gzip(response.body());
  response.set(http::field::content_encoding, "gzip");
  response.prepare_payload();
}

bool IsPathPrefix(std::string_view path) {
  return path.size() > 1 && path.ends_with('/');
}

}  // namespace

OperatorPages::OperatorPages(const Metrics& metrics) {
  Add("/metrics", [&metrics](std::string_view /*rest*/) {
    return MakeResponse(http::status::ok, metrics.Print(),
                        "text/plain; version=0.0.4");
  });
  Add("/healthz", [](std::string_view /*rest*/) {
    return MakeResponse(http::status::ok, "{\"status\":\"ok\"}");
  });
}

void OperatorPages::Add(std::string path, Page page) {
  entries_.push_back({std::move(path), std::move(page)});
}

HttpResponse OperatorPages::Find(std::string_view path) const {
  for (const Entry& it : entries_) {
    if (path == it.path) {
      return it.page("");
    }
    if (IsPathPrefix(it.path) && path.starts_with(it.path)) {
      return it.page(path.substr(it.path.size()));
    }
  }
  return MakeResponse(http::status::not_found, "{}");
}

asio::awaitable<void> OperatorPages::Serve(HttpRequest request,
                                           HttpExchange& exchange) const {
  HttpResponse response = Find(request.target());
  if (response.body().size() >= kMinCompressedBytes &&
      AcceptsGzip(request[http::field::accept_encoding])) {
    Compress(response);
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace peridotgate::runtime
