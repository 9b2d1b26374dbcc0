// One process's node in the gossip of configuration and membership. Connects
// the I/O-free classes of `coordination` to sockets, timers and the platform.
#ifndef CONTROL_NODE_H_
#define CONTROL_NODE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/clock.h"
#include "coordination/configuration_follower.h"
#include "coordination/crash_attribution.h"
#include "coordination/membership.h"
#include "platform/instance_list.h"
#include "runtime/metrics.h"
#include "wire/link.h"

namespace peridotgate::control {

namespace asio = boost::asio;

/** The process's identity and the endpoints that its node uses. */
struct NodeSettings {
  std::string instance;
  coordination::MemberRole role = coordination::MemberRole::kAgent;
  std::string data_centre;
  std::string target;
  runtime::Endpoint peers;               // This process's address for gossip.
  runtime::Endpoint table;               // The platform's table.
  runtime::Endpoint instances;           // The platform's instance list.
  std::vector<runtime::Endpoint> seeds;  // Contacted first after a start.
};

/** Callbacks, invoked on the node's io_context. */
struct NodeHooks {
  // A newer version is in force.
  std::function<void()> on_configuration_change;
  // A member joined or changed its state or address, or `settled` became true.
  std::function<void()> on_member_change;
  // The instance list started or stopped marking this process as leaving.
  std::function<void(bool)> on_listed_leaving;
  // The service that other servers gave to the organisations passed to
  // `SetServed`.
  std::function<void(const wire::ShareReport&)> on_remote_service = {};
  // Parts of requests were quarantined or freed; see `crashes`.
  std::function<void()> on_quarantines = [] {};
};

/**
 * Follows configuration and membership. A few entries of each data centre,
 * chosen by rendezvous hashing, poll the platform often; all other processes
 * get updates by gossip and poll rarely as a fallback. Use it only on its
 * io_context.
 */
class Node {
 public:
  Node(asio::io_context& context,
       const coordination::Clock& clock,
       NodeSettings settings,
       wire::DatagramSocket& socket,
       runtime::Metrics& metrics,
       NodeHooks hooks);
  ~Node();

  /** Starts gossip and polling of the platform. */
  void Start();

  /** Handles a received message. Returns false if it is not for the node. */
  bool OnDatagram(const asio::ip::udp::endpoint& from,
                  const wire::Message& message);
  bool OnLinkMessage(const wire::Message& message);

  /** Pulls missing changes from `agent`, which has `version`. */
  void CatchUp(const runtime::Endpoint& agent, std::int64_t version);

  /** Sets the version of the model weights that the local server runs. */
  void SetWeightsVersion(std::int64_t version);

  /** Sets the recent service of this agent's server by organisation. */
  void SetServed(const wire::ShareReport& report);

  /** Announces to the other members that this process is leaving. */
  void Leave();

  const coordination::ConfigurationFollower& configuration() const;
  const coordination::Membership& members() const;
  /** What all members know of servers that crash on parts of requests. */
  coordination::CrashAttribution& crashes();

  /**
   * Whether the directory is complete enough to use: the list was read, or
   * other members had time to send theirs after the first contact.
   */
  bool settled() const;

  /** The platform's instance list, updated with the members' own records. */
  std::vector<platform::ListedInstance> Directory() const;

  /** All known members, as JSON for operators. */
  std::string MembersJson() const;

  /** As `MembersJson`, only with members heard from in the last 30 s. */
  std::string HeardJson() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::control

#endif  // CONTROL_NODE_H_
