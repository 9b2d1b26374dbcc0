#include "operate/apply.h"

#include <chrono>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "control/configuration_rows.h"
#include "control/configuration_writer.h"
#include "platform/table.h"
#include "run_sync.h"
#include "runtime/digest.h"
#include "wire/codec.h"

namespace peridotgate::operate {
namespace {

using control::AcceptError;

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::size_t kIdDigits = 32;

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

wire::ConfigChange MakeChange(const ApplyRequest& request) {
  coordination::Change change;
  change.version = request.base + 1;
  change.change_id = MakeChangeId(request);
  change.author = request.author;
  change.at_ms = NowMs();
  change.answers_digest = request.answers_digest;
  change.sections = request.sections;
  return control::ToWire(change);
}

ApplyError FromControl(AcceptError error) {
  switch (error) {
    case AcceptError::kPlatform:
      return ApplyError::kPlatform;
    case AcceptError::kConflict:
      return ApplyError::kConflict;
    case AcceptError::kUnknown:
      return ApplyError::kUnknown;
    case AcceptError::kTooLarge:
      return ApplyError::kTooLarge;
  }
  return ApplyError::kUnknown;
}

ApplyFailure FromControl(const control::AcceptFailure& failure) {
  ApplyFailure out{FromControl(failure.error), std::nullopt};
  if (failure.winner) {
    const wire::ConfigChange& it = *failure.winner;
    out.winner = WinningChange{failure.version, it.version, it.author, it.at_ms,
                               wire::FromWire(it.change_id)};
  }
  return out;
}

}  // namespace

coordination::Id128 MakeChangeId(const ApplyRequest& request) {
  wire::ConfigChange identity;
  identity.version = request.base + 1;
  identity.author = request.author;
  identity.answers_digest = request.answers_digest;
  for (const coordination::Section& it : request.sections) {
    identity.sections.push_back(control::ToWire(it));
  }
  const std::string digest = runtime::Sha256Hex(wire::EncodeStruct(identity));
  return coordination::ParseId(digest.substr(0, kIdDigits)).value();
}

coordination::Result<std::int64_t, ApplyFailure> Apply(
    const ApplyRequest& request) {
  asio::io_context context(1);
  platform::HttpTable table(context, request.table, kTimeout);
  auto version =
      RunSync(context, control::AcceptChange(table, MakeChange(request)));
  if (!version) {
    return FromControl(version.error());
  }
  return version.value();
}

}  // namespace peridotgate::operate
