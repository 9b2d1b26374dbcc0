// Parts of requests on which backend servers crash.
#include <functional>

#include "core_impl.h"
#include "runtime/log.h"

namespace peridotgate::agent {
namespace {

using coordination::PartKey;
using coordination::PartState;
using coordination::PartVerdict;

constexpr std::int32_t kFirstFailedStatus = 300;

std::vector<PartKey> KeysOf(const wire::Dispatch& dispatch) {
  return {dispatch.part_keys.begin(), dispatch.part_keys.end()};
}

}  // namespace

PartVerdict AgentCore::Impl::FindQuarantine(
    const wire::Dispatch& dispatch) const {
  return crashes == nullptr ? PartVerdict()
                            : crashes->Find(KeysOf(dispatch), clock.Now());
}

// Whether the call may be handed over now; it may be the one that finds out
// whether servers still crash on a part.
bool AgentCore::Impl::MayReachServer(const wire::Dispatch& dispatch) const {
  return crashes == nullptr ||
         crashes->Check(KeysOf(dispatch), clock.Now()).state !=
             PartState::kQuarantined;
}

void AgentCore::Impl::RecordCrash(const wire::Dispatch& dispatch) {
  metrics.GetCounter("peridotgate_agent_calls_lost_in_crashes_total").Add();
  runtime::LogStateChange("backend_server", "crashed",
                          "it broke off a call and accepts no connection");
  if (crashes != nullptr) {
    const std::uint64_t server = std::hash<std::string>()(limits.instance);
    crashes->OnCrash({server, clock.Now(), KeysOf(dispatch)});
  }
}

void AgentCore::Impl::RecordSound(const Stream& stream) {
  if (crashes != nullptr && stream.head &&
      stream.head->status < kFirstFailedStatus) {
    crashes->OnSound(KeysOf(stream.dispatch), clock.Now());
  }
}

void AgentCore::FollowCrashes(coordination::CrashAttribution& crashes) {
  impl_->crashes = &crashes;
}

}  // namespace peridotgate::agent
