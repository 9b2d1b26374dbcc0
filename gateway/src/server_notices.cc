#include "server_notices.h"

#include <chrono>
#include <utility>

#include "runtime/event_log.h"

namespace peridotgate::gateway {

using runtime::LogClass;
using runtime::LogEvent;

routing::ServerNotice ReadNotice(routing::Incarnation server,
                                 const ResponseHead& head,
                                 const ServerProtocol& protocol,
                                 TimePoint sent_at) {
  constexpr unsigned kMisdirected = 421;
  const ServerHead server_head = protocol.Read(head);
  routing::ServerNotice notice;
  notice.server = std::move(server);
  notice.leaving = server_head.leaving;
  // Another incarnation may have sent this status.
  if (head.result_int() != kMisdirected) {
    notice.limit_per_s = server_head.limit_per_s;
    const bool of_server = server_head.sealed || server_head.not_executed;
    if (of_server && !server_head.names_limit) {
      notice.unlimited_since = sent_at;
    }
  }
  if (head.result() == http::status::service_unavailable &&
      server_head.retry_after_s) {
    notice.pause = routing::ReadPause(*server_head.retry_after_s);
  }
  return notice;
}

namespace {

void ApplyLimit(TrafficParts& parts, const routing::ServerNotice& notice) {
  routing::LimitStatement statement;
  statement.per_s = notice.limit_per_s;
  statement.conclusive = notice.unlimited_since.has_value();
  statement.asked_at = notice.unlimited_since.value_or(TimePoint{});
  routing::ServerLimits& limits = parts.balancer.limits();
  if (!limits.OnAnswer(notice.server, statement, parts.clock.Now())) {
    return;
  }
  parts.metrics.GetCounter("peridotgate_gateway_server_limit_changes_total")
      .Add();
  LogEvent("server_limit", LogClass::kNotable)
      .Add("server", notice.server.id)
      .Add("born", notice.server.born_ms)
      .Add("per_s", limits.Get(notice.server).value_or(0))
      .Add("source", "answer");
  parts.on_usage_changed();
}

}  // namespace

void ApplyNotice(TrafficParts& parts, const routing::ServerNotice& notice) {
  ApplyLimit(parts, notice);
  if (!parts.balancer.OnNotice(notice, parts.clock.Now())) {
    return;
  }
  if (notice.leaving) {
    parts.pool.Drop(notice.server.id);
    parts.metrics.GetCounter("peridotgate_gateway_servers_leaving_total").Add();
    LogEvent("server_leaving", LogClass::kNotable)
        .Add("server", notice.server.id)
        .Add("born", notice.server.born_ms)
        .Add("source", "answer");
    parts.on_usage_changed();
  }
  if (notice.pause) {
    parts.metrics.GetCounter("peridotgate_gateway_server_pauses_total").Add();
    LogEvent("server_paused", LogClass::kNotable)
        .Add("server", notice.server.id)
        .Add("pause_ms",
             std::chrono::duration<double, std::milli>(*notice.pause).count());
  }
  if (parts.on_notice) {
    parts.on_notice(notice);
  }
}

}  // namespace peridotgate::gateway
