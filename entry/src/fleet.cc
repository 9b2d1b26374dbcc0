#include "fleet.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <unordered_set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wire/link_watch.h"

namespace peridotgate::entry {
namespace {

using asio::ip::udp;

constexpr std::chrono::milliseconds kLinkCheckInterval{500};
constexpr wire::LinkPatience kLinkPatience{2, 6, 120};

// The request id in a message from an agent, or null if it has none.
struct RequestIdOf {
  template <class T>
  const wire::Id* operator()(const T& message) const {
    if constexpr (requires { message.request_id; }) {
      return &message.request_id;
    } else {
      return nullptr;
    }
  }
};

struct AgentLink {
  std::shared_ptr<wire::Link> link;
  std::unordered_map<Id128, Fleet::EventInbox*> inboxes;
  wire::LinkWatch watch{kLinkPatience};
  std::int64_t agent_incarnation = 0;
};

// Probes that were sent together. The sender wakes only once: after the last
// reply or at the timeout.
struct ProbeRound {
  ProbeRound(asio::io_context& context, std::size_t sent)
      : timer(context), sent(sent) {}

  asio::steady_timer timer;
  std::size_t sent;
  std::vector<wire::ProbeReply> replies;

  void OnReply(wire::ProbeReply&& reply) {
    replies.push_back(std::move(reply));
    if (replies.size() == sent) {
      timer.cancel();
    }
  }

  asio::awaitable<void> Wait(std::chrono::microseconds timeout) {
    if (replies.size() < sent) {
      timer.expires_after(timeout);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
};

routing::ProbedServer ToProbedServer(routing::SeatIndex seat,
                                     const wire::ProbeReply& reply) {
  using routing::Micros;
  routing::ProbedServer it;
  it.seat = seat;
  it.held_pieces = reply.held_pieces;
  it.in_flight = reply.in_flight;
  it.queued = reply.queued;
  it.queue_wait = Micros(reply.wait_us);
  it.prefill_per_piece = Micros(reply.prefill_us_per_piece);
  it.slowness = std::max(1.0, reply.slowness);
  it.long_in_flight = reply.long_in_flight;
  it.leaving = reply.leaving;
  return it;
}

}  // namespace

struct Fleet::Impl {
  Impl(runtime::Duty& duty, runtime::Metrics& metrics)
      : duty(duty),
        metrics(metrics),
        late_messages(
            metrics.GetCounter("peridotgate_entry_late_messages_total")),
        silent_links(
            metrics.GetCounter("peridotgate_entry_silent_links_total")),
        lost_probes(metrics.GetCounter("peridotgate_entry_lost_probes_total")),
        open_links(metrics.GetGauge("peridotgate_entry_links")),
        socket(duty.context(),
               metrics,
               [this](const udp::endpoint& /*peer*/, wire::Message&& message) {
                 OnDatagram(std::move(message));
               }) {}

  runtime::Duty& duty;
  runtime::Metrics& metrics;
  runtime::Counter& late_messages;
  runtime::Counter& silent_links;
  runtime::Counter& lost_probes;
  runtime::Gauge& open_links;
  wire::DatagramSocket socket;
  std::unordered_map<std::string, std::shared_ptr<const TargetGroup>> groups;
  std::unordered_set<std::string> listed_agents;
  std::unordered_map<std::string, std::shared_ptr<AgentLink>> links;
  // Owns links until they are closed; `links` may hold a newer one by then.
  std::unordered_set<std::shared_ptr<AgentLink>> unclosed_links;
  std::unordered_map<std::int64_t, ProbeRound*> probes;
  std::int64_t next_probe = 1;

  void OnDatagram(wire::Message&& message) {
    auto* reply = std::get_if<wire::ProbeReply>(&message);
    if (reply == nullptr) {
      return;
    }
    auto it = probes.find(reply->probe_id);
    if (it == probes.end()) {
      late_messages.Add();
      return;
    }
    ProbeRound& round = *it->second;
    probes.erase(it);
    round.OnReply(std::move(*reply));
  }

  std::shared_ptr<AgentLink> OpenLink(const runtime::Endpoint& agent) {
    const std::string name = runtime::ToString(agent);
    auto& slot = links[name];
    if (slot && !slot->link->closed()) {
      return slot;
    }
    slot = std::make_shared<AgentLink>();
    slot->link = wire::Link::Connecting(duty.context(), agent, metrics);
    unclosed_links.insert(slot);
    std::weak_ptr<AgentLink> weak = slot;
    slot->link->Start(
        [this, weak](wire::Link& /*from*/, wire::Message&& message) {
          OnMessage(weak.lock(), std::move(message));
        },
        [this, weak](wire::Link& closed) { OnClosed(weak.lock(), closed); });
    slot->link->Send(wire::Hello());
    return slot;
  }

  void OnMessage(const std::shared_ptr<AgentLink>& from,
                 wire::Message&& message) {
    if (!from) {
      return;
    }
    from->watch.OnHeard();
    if (const auto* hello = std::get_if<wire::Hello>(&message)) {
      OnHello(*from, *hello);
    }
    const wire::Id* id = std::visit(RequestIdOf(), message);
    if (id == nullptr) {
      return;
    }
    auto it = from->inboxes.find(wire::FromWire(*id));
    if (it == from->inboxes.end()) {
      late_messages.Add();
      return;
    }
    it->second->Put({std::move(message), true, from->agent_incarnation});
  }

  // Handles a hello from the agent: either the answer to this entry's hello or
  // a liveness check, which is answered.
  static void OnHello(AgentLink& from, const wire::Hello& hello) {
    if (!wire::AsksForAnswer(hello)) {
      from.agent_incarnation = hello.incarnation;
      return;
    }
    wire::Hello answer;
    answer.protocol = wire::kProtocol;
    from.link->Send(answer);
  }

  void OnClosed(const std::shared_ptr<AgentLink>& from,
                const wire::Link& closed) {
    if (!from) {
      return;
    }
    unclosed_links.erase(from);
    for (auto& [id, inbox] : from->inboxes) {
      inbox->Put(
          {std::nullopt, closed.was_connected(), from->agent_incarnation});
    }
  }

  asio::awaitable<void> WatchLinks() {
    asio::steady_timer timer(duty.context());
    while (true) {
      timer.expires_after(kLinkCheckInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      for (auto& [name, it] : links) {
        CheckLink(name, *it);
      }
      std::erase_if(links, [](const auto& it) {
        return it.second->link->closed() && it.second->inboxes.empty();
      });
      open_links.Set(static_cast<std::int64_t>(links.size()));
    }
  }

  wire::LinkUse UseOf(const std::string& name, const AgentLink& it) const {
    if (!it.inboxes.empty()) {
      return wire::LinkUse::kWaiting;
    }
    return listed_agents.contains(name) ? wire::LinkUse::kIdle
                                        : wire::LinkUse::kForgotten;
  }

  void CheckLink(const std::string& name, AgentLink& it) {
    if (it.link->closed()) {
      return;
    }
    switch (it.watch.OnTick(UseOf(name, it))) {
      case wire::LinkStep::kNothing:
        break;
      case wire::LinkStep::kAsk:
        it.link->Send(wire::Hello());
        break;
      case wire::LinkStep::kClose:
        silent_links.Add();
        it.link->Close();
        break;
      case wire::LinkStep::kDrop:
        it.link->Close();
        break;
    }
  }
};

Fleet::Fleet(runtime::Duty& duty, runtime::Metrics& metrics)
    : impl_(std::make_unique<Impl>(duty, metrics)) {}

Fleet::~Fleet() = default;

bool Fleet::Listen(const runtime::Endpoint& peers, std::string& error) {
  asio::co_spawn(impl_->duty.context(), impl_->WatchLinks(), asio::detached);
  return impl_->socket.Listen(peers, error);
}

void Fleet::Update(const std::vector<platform::ListedInstance>& instances) {
  std::map<std::string, std::vector<BackendSeat>> by_target;
  impl_->listed_agents.clear();
  for (const platform::ListedInstance& it : instances) {
    if (it.role != "agent") {
      continue;
    }
    impl_->listed_agents.insert(runtime::ToString(it.endpoint));
    if (!it.leaving) {
      by_target[it.target].push_back({it.instance, it.endpoint});
    }
  }
  impl_->groups.clear();
  for (auto& [target, seats] : by_target) {
    auto group = std::make_shared<TargetGroup>();
    std::vector<routing::ServerSeat> placement_seats;
    for (const BackendSeat& it : seats) {
      placement_seats.push_back({it.instance, 1.0});
    }
    group->seats = std::move(seats);
    group->placement = routing::PlacementTable(placement_seats);
    impl_->groups[target] = std::move(group);
  }
}

std::shared_ptr<const TargetGroup> Fleet::Find(
    const std::string& target) const {
  auto it = impl_->groups.find(target);
  return it == impl_->groups.end() ? nullptr : it->second;
}

bool Fleet::IsListed(const runtime::Endpoint& agent) const {
  return impl_->listed_agents.contains(runtime::ToString(agent));
}

asio::awaitable<std::vector<ProbeAnswer>> Fleet::Probe(
    const TargetGroup& group,
    std::span<const routing::SeatIndex> seats,
    wire::ProbeRequest request,
    std::chrono::microseconds timeout) {
  const std::int64_t first = impl_->next_probe;
  impl_->next_probe += static_cast<std::int64_t>(seats.size());
  ProbeRound round(impl_->duty.context(), seats.size());
  for (std::size_t i = 0; i < seats.size(); ++i) {
    request.probe_id = first + static_cast<std::int64_t>(i);
    impl_->probes[request.probe_id] = &round;
    impl_->socket.SendTo(wire::ToUdp(group.seats[seats[i]].agent), request);
  }
  co_await round.Wait(timeout);
  std::vector<ProbeAnswer> answers;
  for (const wire::ProbeReply& it : round.replies) {
    const auto index = static_cast<std::size_t>(it.probe_id - first);
    answers.push_back({ToProbedServer(seats[index], it), it.engine_incarnation,
                       it.weights_version});
  }
  impl_->lost_probes.Add(seats.size() - answers.size());
  for (std::size_t i = 0; i < seats.size(); ++i) {
    impl_->probes.erase(first + static_cast<std::int64_t>(i));
  }
  co_return answers;
}

bool Fleet::Send(const runtime::Endpoint& agent,
                 const Id128& request,
                 EventInbox& inbox,
                 const wire::Message& message) {
  auto link = impl_->OpenLink(agent);
  link->inboxes[request] = &inbox;
  return link->link->Send(message);
}

void Fleet::Unregister(const runtime::Endpoint& agent,
                       const Id128& request,
                       const EventInbox& inbox) {
  auto it = impl_->links.find(runtime::ToString(agent));
  if (it == impl_->links.end()) {
    return;
  }
  auto& inboxes = it->second->inboxes;
  auto registered = inboxes.find(request);
  if (registered != inboxes.end() && registered->second == &inbox) {
    inboxes.erase(registered);
  }
}

void Fleet::SendOneWay(const runtime::Endpoint& agent,
                       const wire::Message& message) {
  impl_->OpenLink(agent)->link->Send(message);
}

}  // namespace peridotgate::entry
