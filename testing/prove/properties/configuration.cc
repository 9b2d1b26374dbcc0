// Configuration changes while processes, links and the platform fail.
#include "prove/config_work.h"
#include "prove/fault_injector.h"
#include "prove/late_messages.h"
#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEntries = 4;
constexpr std::int64_t kMinPauseMs = 100;
constexpr std::int64_t kMaxPauseMs = 600;

milliseconds RandomPause(Run& run) {
  return milliseconds(run.Draw(kMinPauseMs, kMaxPauseMs));
}

// Kills (SIGKILL) and restarts one random process; the platform may be down.
// The restarted process must not bring back old rules.
asio::awaitable<void> RestartRandomProcess(Run& run, ConfigWorkload& work) {
  TestFleet& fleet = run.fleet();
  if (run.Draw(0, 1) == 0) {
    const auto last = static_cast<std::int64_t>(fleet.entries().size()) - 1;
    const auto i = static_cast<std::size_t>(run.Draw(0, last));
    fleet.RestartEntry(i);
    work.OnRestart(fleet.entries()[i].name);
    run.report().AddFault(Fault::kEntryKilled);
  } else {
    const auto last = static_cast<std::int64_t>(fleet.backends().size()) - 1;
    const auto i = static_cast<std::size_t>(run.Draw(0, last));
    fleet.RestartAgent(i);
    work.OnRestart(fleet.backends()[i].agent_name);
    run.report().AddFault(Fault::kAgentKilled);
  }
  co_await run.Sleep(RandomPause(run));
}

// Sends the initial rules, as a peer that was stalled since then may do.
asio::awaitable<void> PushStaleRules(Run& run) {
  const auto last =
      static_cast<std::int64_t>(run.fleet().backends().size()) - 1;
  const auto i = static_cast<std::size_t>(run.Draw(0, last));
  run.report().AddFault(Fault::kLateMessage);
  co_await PushSnapshot(run, i, 1);
}

asio::awaitable<void> SetPlatformDown(Run& run, bool down) {
  PlatformFaults faults;
  faults.down = down;
  const bool set = co_await run.fleet().SetPlatformFaults(faults);
  if (down && set) {
    run.report().AddFault(Fault::kPlatformDown);
  }
}

// Injects datagram faults for all processes.
FaultInjector DatagramFaults(Run& run) {
  FaultInjector injector(run, {}, FaultInjector::BackendKind::kEngines);
  injector.Add(kDatagramFaults);
  return injector;
}

}  // namespace

asio::awaitable<void> ConfigurationEverywhere(Run& run) {
  for (Fault it :
       {Fault::kEntryKilled, Fault::kAgentKilled, Fault::kPlatformDown}) {
    run.report().Expect(it);
  }
  run.report().Expect("in_force_everywhere_in_time");
  ConfigWorkload work(run);
  auto change = [&](std::size_t /*index*/) -> asio::awaitable<void> {
    while (!run.over()) {
      co_await work.ApplyAndWait();
      co_await RestartRandomProcess(run, work);
      co_await work.WaitUntilPropagated();
      co_await SetPlatformDown(run, true);
      co_await RestartRandomProcess(run, work);
      co_await work.WaitUntilPropagated();
      co_await SetPlatformDown(run, false);
    }
  };
  FaultInjector injector = DatagramFaults(run);
  co_await run.RunConcurrently(1, change,
                               [&] { return injector.InjectUntilOver(); });
}

asio::awaitable<void> ConfigurationNeverReverts(Run& run) {
  for (Fault it : {Fault::kEntryKilled, Fault::kAgentKilled,
                   Fault::kPlatformDown, Fault::kLateMessage}) {
    run.report().Expect(it);
  }
  run.report().Expect("version_never_falls");
  ConfigWorkload work(run);
  auto change = [&](std::size_t /*index*/) -> asio::awaitable<void> {
    while (!run.over()) {
      const ApplyOutcome end =
          co_await work.Apply(work.newest_version(), "operator");
      (void)end;
      co_await run.Sleep(RandomPause(run));
    }
  };
  auto inject = [&]() -> asio::awaitable<void> {
    while (!run.over()) {
      co_await RestartRandomProcess(run, work);
      co_await PushStaleRules(run);
      co_await SetPlatformDown(run, run.Draw(0, 2) == 0);
    }
    co_await SetPlatformDown(run, false);
  };
  FaultInjector injector = DatagramFaults(run);
  auto run_role = [&](std::size_t index) -> asio::awaitable<void> {
    if (index == 0) {
      co_await change(index);
    } else if (index == 1) {
      co_await work.WatchVersions();
    } else {
      co_await injector.InjectUntilOver();
    }
  };
  co_await run.RunConcurrently(3, run_role, inject);
}

asio::awaitable<void> RacingOperators(Run& run) {
  run.report().Expect(Fault::kRacingOperators);
  run.report().Expect(Fault::kAnswerLost);
  run.report().Expect("at_most_one_operator_wins");
  run.report().Expect("one_operator_wins");
  ConfigWorkload work(run);
  while (!run.over()) {
    co_await work.RaceOperators();
    PlatformFaults faults;
    faults.lose_answers = run.Draw(0, 1) == 1;
    if (co_await run.fleet().SetPlatformFaults(faults) && faults.lose_answers) {
      run.report().AddFault(Fault::kAnswerLost);
    }
  }
  const PlatformFaults none;
  co_await run.fleet().SetPlatformFaults(none);
  co_await work.WaitUntilPropagated();
}

asio::awaitable<void> RestartWithoutPlatform(Run& run) {
  for (Fault it : {Fault::kHerdOfRestarts, Fault::kPlatformDown}) {
    run.report().Expect(it);
  }
  for (const char* it : {"in_force_everywhere_in_time", "serves_at_once"}) {
    run.report().Expect(it);
  }
  ConfigWorkload work(run);
  TestFleet& fleet = run.fleet();
  while (!run.over()) {
    co_await work.ApplyAndWait();
    co_await SetPlatformDown(run, true);
    for (std::size_t i = 0; i < fleet.entries().size(); ++i) {
      fleet.RestartEntry(i);
      work.OnRestart(fleet.entries()[i].name);
    }
    run.report().AddFault(Fault::kHerdOfRestarts);
    if (fleet.entries().size() < kMaxEntries) {
      // The new entry can get the rules only from its seed address.
      fleet.AddEntry();
    }
    co_await work.WaitUntilPropagated();
    for (std::size_t i = 0; i < fleet.entries().size(); ++i) {
      const bool ready = co_await fleet.WaitUntilEntryReady(i);
      run.report().AddRequest();
      ServiceCall call;
      call.kind = Brazos().lookup;
      call.path = "/services/desk/lookup";
      const CallResult result = co_await CallService(
          run.context(), fleet.entries()[i].callers, Brazos(), std::move(call));
      run.report().Check("serves_at_once", ready && result.ok(), result.body);
    }
    co_await SetPlatformDown(run, false);
  }
}

}  // namespace peridotgate::prove
