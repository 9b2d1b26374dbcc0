#include "table_follower.h"

#include <algorithm>
#include <utility>

#include "control/configuration_reader.h"
#include "coordination/ids.h"
#include "coordination/jitter.h"

namespace peridotgate::control {
namespace {

using coordination::Duration;
using coordination::Jittered;
using coordination::MemberRole;

constexpr std::chrono::milliseconds kTableRequestTimeout{2000};
constexpr std::size_t kReadersPerDataCentre = 3;
constexpr std::string_view kReaderPurpose = "configuration-reader";
constexpr std::chrono::milliseconds kReaderPeriod{500};
// Read periods of processes that are not chosen as readers.
constexpr std::chrono::seconds kEntryFallbackPeriod{60};
constexpr std::chrono::seconds kAgentFallbackPeriod{240};
constexpr std::chrono::milliseconds kRetryPeriod{2000};

}  // namespace

TableFollower::TableFollower(boost::asio::io_context& context,
                             const coordination::Clock& clock,
                             const runtime::Endpoint& table_endpoint,
                             const coordination::Membership& members,
                             coordination::ConfigurationFollower& follower,
                             runtime::Metrics& metrics,
                             std::function<void()> on_new_version)
    : clock_(clock),
      members_(members),
      follower_(follower),
      on_new_version_(std::move(on_new_version)),
      table_(context, table_endpoint, kTableRequestTimeout),
      random_(coordination::NewId().low),
      failures_(metrics.GetCounter("peridotgate_platform_failures_total")),
      reads_(metrics.GetCounter("peridotgate_control_table_reads_total")) {}

void TableFollower::Start() {
  // An agent waits for its peers to send the configuration first.
  next_read_ =
      clock_.Now() + (is_entry() ? Duration{} : Duration(kRetryPeriod));
}

boost::asio::awaitable<void> TableFollower::ReadDue() {
  // A process that was just chosen as a reader must not wait for the end of its
  // fallback period.
  next_read_ = std::min(next_read_, clock_.Now() + 2 * ReadPeriod());
  if (clock_.Now() >= next_read_) {
    co_await Read();
  }
}

bool TableFollower::is_entry() const {
  return members_.self().role == MemberRole::kEntry;
}

Duration TableFollower::ReadPeriod() const {
  if (!is_entry()) {
    return kAgentFallbackPeriod;
  }
  const bool chosen = members_.IsChosen(kReadersPerDataCentre, kReaderPurpose);
  return chosen ? Duration(kReaderPeriod) : Duration(kEntryFallbackPeriod);
}

boost::asio::awaitable<void> TableFollower::Read() {
  reads_.Add();
  auto advanced = co_await ReadConfiguration(table_, follower_);
  const bool has_no_version = follower_.version() == 0;
  next_read_ = clock_.Now() +
               Jittered(has_no_version ? kRetryPeriod : ReadPeriod(), random_);
  if (!advanced) {
    failures_.Add();
    co_return;
  }
  if (advanced.value()) {
    on_new_version_();
  }
}

}  // namespace peridotgate::control
