// Status pages of a process, read by operators and load-balancer health checks.
#ifndef RUNTIME_OPERATOR_PAGES_H_
#define RUNTIME_OPERATOR_PAGES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/http.h"
#include "runtime/metrics.h"

namespace peridotgate::runtime {

/**
 * Routes request paths to pages. `/metrics` and `/healthz` are registered by
 * default. A path that ends in '/' matches every path below it, and its page
 * receives the remainder of the path.
 *
 *     OperatorPages pages(metrics);
 *     pages.Add("/readyz", [&](std::string_view) { return Readiness(); });
 */
class OperatorPages {
 public:
  using Page = std::function<HttpResponse(std::string_view rest)>;

  explicit OperatorPages(const Metrics& metrics);

  /** Registers a page. Call before the HTTP server starts. */
  void Add(std::string path, Page page);

  /** The page at `path`, or a 404 response. */
  HttpResponse Find(std::string_view path) const;

  /**
   * HTTP handler for `Find`. Compresses the response if the client accepts
   * gzip.
   */
  asio::awaitable<void> Serve(HttpRequest request,
                              HttpExchange& exchange) const;

 private:
  struct Entry {
    std::string path;
    Page page;
  };

  std::vector<Entry> entries_;
};

}  // namespace peridotgate::runtime

#endif  // RUNTIME_OPERATOR_PAGES_H_
