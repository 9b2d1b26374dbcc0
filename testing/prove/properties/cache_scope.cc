// Which prefixes an agent reports as cached by its engine. The test sends the
// same probes as an entry.
#include <spdlog/fmt/fmt.h>

#include "prove/fault_injector.h"
#include "prove/properties/properties.h"
#include "routing/prefix_keys.h"
#include "runtime/inbox.h"
#include "standins/engine_model.h"
#include "wire/link.h"

namespace peridotgate::prove {
namespace {

constexpr std::size_t kPromptBytes = 40000;
constexpr std::chrono::milliseconds kReplyTimeout{500};
constexpr std::chrono::milliseconds kPoll{25};
constexpr int kMaxPolls = 400;

// Queries agents for the cached prefix of a prompt.
class Prober {
 public:
  explicit Prober(Run& run)
      : run_(run),
        inbox_(run.context()),
        socket_(run.context(),
                metrics_,
                [this](const asio::ip::udp::endpoint& /*from*/,
                       wire::Message&& message) {
                  if (auto* it = std::get_if<wire::ProbeReply>(&message)) {
                    inbox_.Put(std::move(*it));
                  }
                }) {
    std::string error;
    const auto port =
        static_cast<std::uint16_t>(run.fleet().options().base_port + 50);
    run.report().Check("probe_socket",
                       socket_.Listen({"127.0.0.1", port}, error), error);
  }

  asio::awaitable<wire::ProbeReply> Query(runtime::Endpoint agent,
                                          const Organisation& organisation,
                                          const std::string& prompt) {
    const std::string text = "user\n" + prompt + "\n";
    const routing::PrefixScope scope{organisation.name, "horn-1", "", 0};
    const auto keys = routing::PrefixKeys(scope, text);
    wire::ProbeRequest probe;
    probe.probe_id = ++last_probe_id_;
    probe.organisation = organisation.name;
    probe.prefix_keys.assign(keys.begin(), keys.end());
    for (int i = 0; i < kMaxPolls; ++i) {
      socket_.SendTo(wire::ToUdp(agent), probe);
      auto reply = co_await inbox_.Next(kReplyTimeout);
      while (reply && reply->probe_id != last_probe_id_) {
        // It answered an earlier probe.
        reply = co_await inbox_.Next(kReplyTimeout);
      }
      if (reply) {
        co_return *reply;
      }
    }
    run_.report().Check("agent_answers_probes", false);
    co_return wire::ProbeReply();
  }

 private:
  Run& run_;
  runtime::Metrics metrics_;
  runtime::Inbox<wire::ProbeReply> inbox_;
  wire::DatagramSocket socket_;
  std::int64_t last_probe_id_ = 0;
};

// Sends one prompt for one organisation and then for the other, with an engine
// crash in between.
class ScopeRound {
 public:
  ScopeRound(Run& run, Prober& prober, std::string prompt)
      : run_(run), prober_(prober), prompt_(std::move(prompt)) {}

  asio::awaitable<void> Execute() {
    const runtime::Endpoint agent = AgentAddress();
    co_await Chat(Brazos());
    auto own_reply = co_await QueryUntil(
        Brazos(),
        [](const wire::ProbeReply& it) { return it.held_pieces > 0; });
    run_.report().Check("own_prefix_is_held", own_reply.held_pieces > 0);
    auto other_reply = co_await prober_.Query(agent, Tapetes(), prompt_);
    run_.report().Check("nothing_crosses_organisations",
                        other_reply.held_pieces == 0,
                        fmt::format("{} pieces held", other_reply.held_pieces));
    run_.fleet().backends()[0].server.Kill();
    run_.report().AddFault(Fault::kEngineKilled);
    auto down_reply = co_await QueryUntil(
        Brazos(),
        [](const wire::ProbeReply& it) { return it.engine_incarnation == 0; });
    run_.report().Check("dead_engine_holds_nothing",
                        down_reply.held_pieces == 0);
    run_.fleet().RestartServer(0);
    auto new_reply = co_await QueryUntil(
        Brazos(),
        [](const wire::ProbeReply& it) { return it.engine_incarnation != 0; });
    run_.report().Check(
        "new_engine_starts_empty",
        new_reply.held_pieces == 0 &&
            new_reply.engine_incarnation != own_reply.engine_incarnation);
    co_await Chat(Tapetes());
  }

 private:
  runtime::Endpoint AgentAddress() const {
    return run_.fleet().backends()[0].proxy_address;
  }

  template <class Condition>
  asio::awaitable<wire::ProbeReply> QueryUntil(Organisation organisation,
                                               Condition condition) {
    wire::ProbeReply reply;
    for (int i = 0; i < kMaxPolls; ++i) {
      reply = co_await prober_.Query(AgentAddress(), organisation, prompt_);
      if (condition(reply)) {
        break;
      }
      co_await run_.Sleep(kPoll);
    }
    co_return reply;
  }

  asio::awaitable<void> Chat(Organisation organisation) {
    ChatCall call;
    call.prompt = prompt_;
    call.tokens = 8;
    run_.report().AddRequest();
    const StreamResult result = co_await CallChat(
        run_.context(), run_.RandomEntry(), organisation, call);
    run_.report().Check("answer_is_whole",
                        result.done && result.texts == ExpectedTexts(call),
                        result.outcome);
  }

  Run& run_;
  Prober& prober_;
  std::string prompt_;
};

}  // namespace

asio::awaitable<void> CacheScope(Run& run) {
  for (const char* it :
       {"own_prefix_is_held", "nothing_crosses_organisations",
        "dead_engine_holds_nothing", "new_engine_starts_empty"}) {
    run.report().Expect(it);
  }
  run.report().Expect(Fault::kEngineKilled);
  Prober prober(run);
  FaultInjector injector(run, {}, FaultInjector::BackendKind::kEngines);
  injector.Add(kDatagramFaults);
  auto run_rounds = [&](std::size_t /*index*/) -> asio::awaitable<void> {
    for (int n = 0; !run.over() || n == 0; ++n) {
      std::string prompt = fmt::format("sheet {} ", n);
      prompt.resize(kPromptBytes, 's');
      ScopeRound round(run, prober, std::move(prompt));
      co_await round.Execute();
    }
  };
  co_await run.RunConcurrently(1, run_rounds,
                               [&] { return injector.InjectUntilOver(); });
}

}  // namespace peridotgate::prove
