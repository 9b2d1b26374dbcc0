#include "list_reader.h"

#include <algorithm>

#include "coordination/jitter.h"
#include "list_slice.h"

namespace peridotgate::control {
namespace {

using coordination::Duration;
using coordination::MemberRole;
using coordination::TimePoint;

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kMinSlicePeriod{1000};
// Larger slices are read less often, to bound the bytes read per second.
constexpr double kMaxLinesPerSecond = 12;
constexpr std::chrono::seconds kEntryOwnLinePeriod{60};
constexpr std::chrono::seconds kAgentOwnLinePeriod{240};
constexpr std::chrono::milliseconds kOwnLeavingPeriod{1000};
constexpr std::chrono::milliseconds kRetryPeriod{2000};

Duration SlicePeriod(std::size_t lines) {
  const std::chrono::duration<double> rate_limited_period(
      static_cast<double>(lines) / kMaxLinesPerSecond);
  return std::max(Duration(kMinSlicePeriod),
                  std::chrono::duration_cast<Duration>(rate_limited_period));
}

bool Covers(const platform::NameRange& range, const std::string& name) {
  return name >= range.from && (range.until.empty() || name < range.until);
}

}  // namespace

ListReader::ListReader(asio::io_context& context,
                       const coordination::Clock& clock,
                       const runtime::Endpoint& list_endpoint,
                       const coordination::Membership& members,
                       runtime::Metrics& metrics,
                       ListHooks hooks)
    : clock_(clock),
      members_(members),
      hooks_(std::move(hooks)),
      list_(context, list_endpoint),
      random_(coordination::NewId().low),
      failures_(metrics.GetCounter("peridotgate_platform_failures_total")),
      reads_(metrics.GetCounter("peridotgate_control_list_reads_total")),
      lines_read_(metrics.GetCounter("peridotgate_control_list_lines_total")) {}

asio::awaitable<void> ListReader::ReadDue() {
  if (clock_.Now() >= next_list_read_) {
    if (members_.members().empty() || (is_entry() && !has_read_all_)) {
      co_await ReadAll();
    } else if (is_entry()) {
      co_await ReadSlice();
    }
  }
  if (IsOwnReadDue()) {
    co_await ReadOwn();
  }
}

bool ListReader::is_entry() const {
  return members_.self().role == MemberRole::kEntry;
}

bool ListReader::IsOwnReadDue() const {
  const TimePoint now = clock_.Now();
  return now >= next_own_read_ ||
         (members_.told_leaving() && now >= earliest_own_read_);
}

TimePoint ListReader::NextReadTime(Duration period) {
  return clock_.Now() + coordination::Jittered(period, random_);
}

asio::awaitable<void> ListReader::ReadAll() {
  const bool succeeded = co_await ReadRange(platform::NameRange());
  has_read_all_ = has_read_all_ || succeeded;
  const bool knows_no_members = members_.members().empty();
  next_list_read_ = NextReadTime(
      succeeded && !knows_no_members ? kMinSlicePeriod : kRetryPeriod);
}

asio::awaitable<void> ListReader::ReadSlice() {
  const bool succeeded = co_await ReadRange(SliceOf(members_));
  next_list_read_ = NextReadTime(succeeded ? SlicePeriod(last_line_count_)
                                           : Duration(kRetryPeriod));
}

asio::awaitable<void> ListReader::ReadOwn() {
  earliest_own_read_ = clock_.Now() + kOwnLeavingPeriod;
  const bool succeeded =
      co_await ReadRange(platform::Only(members_.self().instance));
  if (!succeeded && members_.told_leaving()) {
    // The platform is unreachable, so rely on the members that report this
    // process as leaving.
    is_own_line_leaving_ = true;
    hooks_.on_own_line(true);
  }
  const Duration normal_period =
      is_entry() ? kEntryOwnLinePeriod : kAgentOwnLinePeriod;
  const Duration short_period =
      is_own_line_leaving_ ? kOwnLeavingPeriod : kRetryPeriod;
  next_own_read_ = NextReadTime(
      succeeded && !is_own_line_leaving_ ? normal_period : short_period);
}

asio::awaitable<bool> ListReader::ReadRange(platform::NameRange range) {
  reads_.Add();
  auto lines = co_await list_.Fetch(range);
  if (!lines) {
    failures_.Add();
    co_return false;
  }
  last_line_count_ = lines.value().size();
  lines_read_.Add(last_line_count_);
  OnLinesRead(range, lines.value());
  co_return true;
}

void ListReader::OnLinesRead(const platform::NameRange& range,
                             std::span<const platform::ListedInstance> lines) {
  hooks_.on_lines(lines);
  const std::string& own_name = members_.self().instance;
  if (!Covers(range, own_name)) {
    return;
  }
  const auto it = std::find_if(
      lines.begin(), lines.end(),
      [&own_name](const auto& line) { return line.instance == own_name; });
  is_own_line_leaving_ = it != lines.end() && it->leaving;
  hooks_.on_own_line(is_own_line_leaving_);
}

}  // namespace peridotgate::control
