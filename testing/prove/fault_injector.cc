#include "prove/fault_injector.h"

namespace peridotgate::prove {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMinPauseMs = 100;
constexpr std::int64_t kMaxPauseMs = 400;
constexpr std::int64_t kMinOutageMs = 200;
constexpr std::int64_t kMaxOutageMs = 1200;
constexpr std::int64_t kMaxPlatformOutageMs = 3500;
constexpr std::int64_t kMinDelayUs = 50000;
constexpr std::int64_t kMaxDelayUs = 2500000;
constexpr std::size_t kPairOneIn = 3;
constexpr milliseconds kDrainPoll{50};
constexpr int kMaxDrainPolls = 800;
constexpr milliseconds kRecoveryTime{500};

FrameFault FrameFaultOf(Fault fault) {
  switch (fault) {
    case Fault::kFramesDelayed:
      return FrameFault::kDelayed;
    case Fault::kFramesDuplicated:
      return FrameFault::kDuplicated;
    case Fault::kFramesCrossed:
      return FrameFault::kReordered;
    default:
      return FrameFault::kNone;
  }
}

DatagramFault DatagramFaultOf(Fault fault) {
  switch (fault) {
    case Fault::kDatagramsDelayed:
      return DatagramFault::kDelayed;
    case Fault::kDatagramsDuplicated:
      return DatagramFault::kDuplicated;
    case Fault::kDatagramsCrossed:
      return DatagramFault::kReordered;
    case Fault::kDatagramsLost:
      return DatagramFault::kLost;
    default:
      return DatagramFault::kNone;
  }
}

}  // namespace

void FaultInjector::Add(std::span<const Fault> faults) {
  for (const Fault it : faults) {
    faults_.push_back(it);
    run_.report().Expect(it);
  }
}

asio::awaitable<void> FaultInjector::InjectUntilOver() {
  while (!run_.over()) {
    co_await InjectNext();
  }
  const PlatformFaults none;
  co_await run_.fleet().SetPlatformFaults(none);
  co_await run_.Sleep(kRecoveryTime);
}

void FaultInjector::EnablePairs() {
  inject_pairs_ = true;
  run_.report().Expect(Fault::kTwoAtOnce);
  run_.report().Expect(Fault::kSameTwice);
}

Fault FaultInjector::NextFault() {
  if (remaining_.empty()) {
    remaining_ = faults_;
  }
  const auto last = static_cast<std::int64_t>(remaining_.size()) - 1;
  const auto it = remaining_.begin() + run_.Draw(0, last);
  const Fault fault = *it;
  remaining_.erase(it);
  return fault;
}

asio::awaitable<void> FaultInjector::InjectNext() {
  const Fault fault = NextFault();
  ++injected_;
  if (inject_pairs_ && injected_ % kPairOneIn == 0) {
    co_await InjectTwo(fault);
  } else {
    co_await Inject(fault);
  }
  co_await run_.Sleep(milliseconds(run_.Draw(kMinPauseMs, kMaxPauseMs)));
}

// Injects `fault` together with another one, or twice, each on a random
// backend.
asio::awaitable<void> FaultInjector::InjectTwo(Fault fault) {
  const bool same = injected_ % (2 * kPairOneIn) == 0;
  const Fault other = same ? fault : NextFault();
  run_.report().AddFault(same ? Fault::kSameTwice : Fault::kTwoAtOnce);
  auto second = [&](std::size_t /*index*/) { return Inject(other); };
  auto first = [&] { return Inject(fault); };
  co_await run_.RunConcurrently(1, second, first);
}

asio::awaitable<void> FaultInjector::Inject(Fault fault) {
  switch (fault) {
    case Fault::kPlatformDown:
    case Fault::kPlatformSlow:
    case Fault::kAnswerLost:
      co_await InjectPlatformFault(fault);
      break;
    case Fault::kEntryKilled:
    case Fault::kEntryDrained:
    case Fault::kEntryPaused:
      co_await InjectEntryFault(fault);
      break;
    case Fault::kLinkCut:
    case Fault::kLinkHalfOpen:
    case Fault::kFramesDelayed:
    case Fault::kFramesDuplicated:
    case Fault::kFramesCrossed:
      co_await InjectLinkFault(fault,
                               *run_.fleet().backends()[RandomBackend()].proxy);
      break;
    case Fault::kDatagramsDelayed:
    case Fault::kDatagramsDuplicated:
    case Fault::kDatagramsCrossed:
    case Fault::kDatagramsLost:
      co_await InjectDatagramFault(fault);
      break;
    default:
      co_await InjectBackendFault(fault, RandomBackend());
      break;
  }
}

std::size_t FaultInjector::RandomBackend() {
  const auto& options = run_.fleet().options();
  const bool engines = backend_kind_ == BackendKind::kEngines;
  const std::size_t first = engines ? 0 : options.engines;
  const std::size_t n = engines ? options.engines : options.services;
  return first + static_cast<std::size_t>(
                     run_.Draw(0, static_cast<std::int64_t>(n) - 1));
}

asio::awaitable<void> FaultInjector::InjectBackendFault(Fault fault,
                                                        std::size_t index) {
  TestFleet& fleet = run_.fleet();
  Backend& backend = fleet.backends()[index];
  const milliseconds outage(run_.Draw(kMinOutageMs, kMaxOutageMs));
  run_.report().AddFault(fault);
  switch (fault) {
    case Fault::kAgentKilled:
      backend.agent.Kill();
      co_await run_.Sleep(outage / 4);
      fleet.RestartAgent(index);
      break;
    case Fault::kEngineKilled:
      backend.server.Kill();
      co_await run_.Sleep(outage / 4);
      fleet.RestartServer(index);
      break;
    case Fault::kAgentPaused:
      backend.agent.Pause();
      co_await run_.Sleep(outage);
      backend.agent.Continue();
      break;
    case Fault::kEnginePaused:
      backend.server.Pause();
      co_await run_.Sleep(outage);
      backend.server.Continue();
      break;
    case Fault::kAgentDrained:
      co_await Drain(backend.agent);
      fleet.RestartAgent(index);
      break;
    case Fault::kMarkedLeaving:
      backend.leaving = true;
      fleet.WriteInstances();
      co_await run_.Sleep(outage);
      backend.leaving = false;
      fleet.WriteInstances();
      break;
    default:
      break;
  }
}

// Counts the fault only if it affected a connection or frame; otherwise it is
// queued again.
asio::awaitable<void> FaultInjector::InjectLinkFault(Fault fault,
                                                     LinkProxy& proxy) {
  const std::size_t before = proxy.disturbed();
  std::size_t disturbed_count = 0;
  switch (fault) {
    case Fault::kLinkCut:
      disturbed_count = proxy.Cut();
      break;
    case Fault::kLinkHalfOpen:
      disturbed_count = proxy.HalfOpen(static_cast<SilentWay>(run_.Draw(0, 2)));
      break;
    default:
      proxy.SetFrameFault(FrameFaultOf(fault));
      co_await run_.Sleep(milliseconds(run_.Draw(kMinOutageMs, kMaxOutageMs)));
      proxy.SetFrameFault(FrameFault::kNone);
      disturbed_count = proxy.disturbed() - before;
      break;
  }
  if (disturbed_count > 0) {
    run_.report().AddFault(fault);
  } else {
    remaining_.push_back(fault);
  }
}

// Disturbs the datagrams of all processes at once. Queues the fault again if no
// datagram was affected.
asio::awaitable<void> FaultInjector::InjectDatagramFault(Fault fault) {
  std::size_t disturbed_count = 0;
  for (LinkProxy* it : run_.fleet().Proxies()) {
    disturbed_count -= it->datagrams().disturbed();
    it->datagrams().SetFault(DatagramFaultOf(fault));
  }
  co_await run_.Sleep(milliseconds(run_.Draw(kMinOutageMs, kMaxOutageMs)));
  for (LinkProxy* it : run_.fleet().Proxies()) {
    it->datagrams().SetFault(DatagramFault::kNone);
    disturbed_count += it->datagrams().disturbed();
  }
  if (disturbed_count > 0) {
    run_.report().AddFault(fault);
  } else {
    remaining_.push_back(fault);
  }
}

asio::awaitable<void> FaultInjector::InjectPlatformFault(Fault fault) {
  SetPlatformFault(fault, true);
  if (co_await run_.fleet().SetPlatformFaults(platform_faults_)) {
    run_.report().AddFault(fault);
  }
  // Some outages are long enough for claims to be abandoned.
  const std::int64_t max_outage =
      fault == Fault::kPlatformDown ? kMaxPlatformOutageMs : kMaxOutageMs;
  co_await run_.Sleep(milliseconds(run_.Draw(kMinOutageMs, max_outage)));
  SetPlatformFault(fault, false);
  co_await run_.fleet().SetPlatformFaults(platform_faults_);
}

// Leaves the other platform faults unchanged.
void FaultInjector::SetPlatformFault(Fault fault, bool active) {
  if (fault == Fault::kPlatformDown) {
    platform_faults_.down = active;
  } else if (fault == Fault::kAnswerLost) {
    platform_faults_.lose_answers = active;
  } else {
    platform_faults_.delay_us =
        active ? run_.Draw(kMinDelayUs, kMaxDelayUs) : 0;
  }
}

asio::awaitable<void> FaultInjector::InjectEntryFault(Fault fault) {
  TestFleet& fleet = run_.fleet();
  const auto last = static_cast<std::int64_t>(fleet.entries().size()) - 1;
  const auto index = static_cast<std::size_t>(run_.Draw(0, last));
  EntryProcess& entry = fleet.entries()[index];
  run_.report().AddFault(fault);
  if (fault == Fault::kEntryPaused) {
    entry.process.Pause();
    co_await run_.Sleep(milliseconds(run_.Draw(kMinOutageMs, kMaxOutageMs)));
    entry.process.Continue();
    co_return;
  }
  if (fault == Fault::kEntryDrained) {
    co_await Drain(entry.process);
  }
  fleet.RestartEntry(index);
  co_await fleet.WaitUntilEntryReady(index);
}

asio::awaitable<void> FaultInjector::Drain(Child& child) {
  child.Terminate();
  bool ended = child.Ended();
  for (int i = 0; i < kMaxDrainPolls && !ended; ++i) {
    co_await run_.Sleep(kDrainPoll);
    ended = child.Ended();
  }
  run_.report().Check("drained_process_ends_well",
                      ended && child.status() == 0);
}

}  // namespace peridotgate::prove
