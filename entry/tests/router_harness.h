// A router and fake agents on the loopback interface, for tests.
#ifndef ENTRY_TESTS_ROUTER_HARNESS_H_
#define ENTRY_TESTS_ROUTER_HARNESS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "entry/router.h"
#include "wire/link.h"

namespace peridotgate::entry {

/** A loopback endpoint with a free port. */
inline runtime::Endpoint FreeEndpoint(asio::io_context& context) {
  using asio::ip::tcp;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/** An agent that answers Hello and passes other messages to the test. */
class FakeAgent {
 public:
  using OnMessage = std::function<void(wire::Link&, const wire::Message&)>;

  FakeAgent(asio::io_context& context,
            runtime::Metrics& metrics,
            runtime::Endpoint endpoint,
            OnMessage on_message)
      : endpoint_(std::move(endpoint)),
        on_message_(std::move(on_message)),
        listener_(context, metrics, [this](const auto& link) {
          link->Start(
              [this](wire::Link& from, wire::Message&& message) {
                if (std::holds_alternative<wire::Hello>(message)) {
                  SendHello(from);
                } else {
                  on_message_(from, message);
                }
              },
              [](wire::Link& /*closed*/) {});
        }) {
    std::string error;
    listening_ = listener_.Listen(endpoint_, error);
  }

  bool listening() const { return listening_; }
  void set_incarnation(std::int64_t incarnation) { incarnation_ = incarnation; }
  void set_silent() { silent_ = true; }
  const runtime::Endpoint& endpoint() const { return endpoint_; }

 private:
  void SendHello(wire::Link& link) const {
    wire::Hello hello;
    hello.protocol = wire::kProtocol;
    hello.incarnation = incarnation_;
    if (!silent_) {
      link.Send(hello);
    }
  }

  runtime::Endpoint endpoint_;
  OnMessage on_message_;
  wire::LinkListener listener_;
  bool listening_ = false;
  bool silent_ = false;
  std::int64_t incarnation_ = 1;
};

/** A router whose event loop is run by the test. */
class RouterHarness {
 public:
  RouterHarness()
      : duty("router"),
        events(duty,
               kCapacity,
               [this](CallEvent&& it) { received.push_back(std::move(it)); }),
        newer_rules(duty, kCapacity, [](NewerRules&&) {}),
        burn(clock, metrics),
        router(duty, clock, events, newer_rules, burn, metrics) {
    std::string error;
    router.Listen(FreeEndpoint(duty.context()), error);
  }

  /** Sets the agents of the service "desk", and the parts of prompts on which
   * servers crash. */
  void SetAgents(const std::vector<runtime::Endpoint>& agents,
                 std::vector<coordination::Quarantine> quarantines = {}) {
    auto list = std::make_shared<std::vector<platform::ListedInstance>>();
    for (const runtime::Endpoint& it : agents) {
      list->push_back({"agent-" + std::to_string(it.port), "agent", "dc-0", it,
                       "service:desk", false, std::nullopt});
    }
    ClusterView view;
    view.instances = std::move(list);
    view.quarantines = std::make_shared<std::vector<coordination::Quarantine>>(
        std::move(quarantines));
    router.OnClusterView(view);
  }

  /** Starts to route a call; does not run the event loop. */
  void Route(const Id128& id,
             bool repeatable,
             std::vector<std::int64_t> part_keys = {}) {
    RouteCall call;
    call.request_id = id;
    call.dispatch.organisation = "brazos";
    call.dispatch.target = "service:desk";
    call.dispatch.repeatable = repeatable;
    call.dispatch.streamed = repeatable;
    call.dispatch.wait_limit_us = 1000000;
    call.dispatch.part_keys = std::move(part_keys);
    router.OnCommand(std::move(call));
  }

  /** Runs the event loop until `done`; false if that takes too long. */
  bool RunUntil(const std::function<bool()>& done) {
    constexpr std::chrono::milliseconds kStep{2};
    constexpr int kMaxSteps = 10000;
    for (int i = 0; i < kMaxSteps && !done(); ++i) {
      duty.context().run_for(kStep);
    }
    return done();
  }

  /** Whether the last received event ended its call. */
  bool Ended() const {
    return !received.empty() &&
           (std::holds_alternative<CallEnd>(received.back().payload) ||
            std::holds_alternative<CallRefused>(received.back().payload));
  }

  static constexpr std::size_t kCapacity = 1024;

  coordination::SteadyClock clock;
  runtime::Metrics metrics;
  std::vector<CallEvent> received;
  runtime::Duty duty;
  runtime::Port<CallEvent> events;
  runtime::Port<NewerRules> newer_rules;
  BurnLog burn;
  Router router;
};

}  // namespace peridotgate::entry

#endif  // ENTRY_TESTS_ROUTER_HARNESS_H_
