// The backend servers known to an entry, the links to their agents, and probes.
#ifndef ENTRY_FLEET_H_
#define ENTRY_FLEET_H_

#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/messages.h"
#include "routing/choice.h"
#include "routing/placement.h"
#include "runtime/duty.h"
#include "runtime/inbox.h"
#include "wire/link.h"

namespace peridotgate::entry {

/** A backend server and the address of its agent. */
struct BackendSeat {
  std::string instance;
  runtime::Endpoint agent;
};

/** The servers of one model or service. */
struct TargetGroup {
  std::vector<BackendSeat> seats;
  routing::PlacementTable placement{std::span<const routing::ServerSeat>()};
};

/** The answer to a probe, with the versions that a dispatch carries. */
struct ProbeAnswer {
  routing::ProbedServer server;
  std::int64_t engine_incarnation = 0;
  std::int64_t weights_version = 0;
};

/** A message about one attempt, or the loss of its link. */
struct AttemptEvent {
  std::optional<wire::Message> message;  // Empty: the link closed.
  bool was_sent = true;  // False: the agent never received the request.
  std::int64_t agent_incarnation = 0;  // 0: not yet received on the link.
};

/**
 * The agents known to the router. Links open on demand and stay open; incoming
 * messages go to the inbox registered for their request.
 */
class Fleet {
 public:
  Fleet(runtime::Duty& duty, runtime::Metrics& metrics);
  ~Fleet();

  bool Listen(const runtime::Endpoint& peers, std::string& error);

  /** Replaces the list of servers. */
  void Update(const std::vector<platform::ListedInstance>& instances);

  /** The servers of `target`, or null. */
  std::shared_ptr<const TargetGroup> Find(const std::string& target) const;

  /** Whether `agent` belongs to a listed server. */
  bool IsListed(const runtime::Endpoint& agent) const;

  /** Probes `seats` in parallel; returns the answers within `timeout`. */
  asio::awaitable<std::vector<ProbeAnswer>> Probe(
      const TargetGroup& group,
      std::span<const routing::SeatIndex> seats,
      wire::ProbeRequest request,
      std::chrono::microseconds timeout);

  using EventInbox = runtime::Inbox<AttemptEvent>;

  /** Sends to an agent and registers `inbox` for its messages on `request`. */
  bool Send(const runtime::Endpoint& agent,
            const Id128& request,
            EventInbox& inbox,
            const wire::Message& message);

  /** Removes the registration of `inbox` made by `Send`. */
  void Unregister(const runtime::Endpoint& agent,
                  const Id128& request,
                  const EventInbox& inbox);

  /** Sends to an agent without registering an inbox. */
  void SendOneWay(const runtime::Endpoint& agent, const wire::Message& message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_FLEET_H_
