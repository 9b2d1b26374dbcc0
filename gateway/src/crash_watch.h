// Tells crashes of backend servers from broken connections, and requests that
// may crash the next server from all others.
#ifndef GATEWAY_CRASH_WATCH_H_
#define GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "coordination/clock.h"
#include "coordination/crash_attribution.h"
#include "gateway/load_balancer.h"
#include "gateway/protocol.h"
#include "runtime/metrics.h"

namespace peridotgate::gateway {

/** The keys of the parts that other requests may have too: all but the last. */
std::vector<coordination::PartKey> SharedPartKeys(
    std::string_view service,
    std::string_view model,
    std::span<const PromptPart> prompt);

/**
 * A server whose connection broke before a request was answered is tried once
 * more: if it refuses the connection, it has crashed. Used on the traffic
 * thread.
 */
class CrashWatch {
 public:
  CrashWatch(boost::asio::io_context& context,
             const coordination::Clock& clock,
             runtime::Metrics& metrics);
  ~CrashWatch();

  /** Called when there is something to tell the other gateways. */
  void SetOnNews(std::function<void()> on_news);

  /** Whether a request with these parts may be sent now. */
  coordination::PartVerdict Check(std::span<const coordination::PartKey> parts);

  /** The server's connection broke before the request was answered. */
  void OnBroken(const Placement& placement,
                std::span<const coordination::PartKey> parts);
  /** The server began an answer. */
  void OnContact(std::string_view server_id);
  /** A request with these parts was answered completely. */
  void OnSound(std::span<const coordination::PartKey> parts);

  /** Facts of another gateway. */
  void Merge(const coordination::CrashFacts& facts);
  /** Facts for the other gateways: what is new, or all that matters. */
  coordination::CrashNews TakeNews();
  coordination::CrashFacts Current();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_CRASH_WATCH_H_
