#include "control/lease_keeper.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "runtime/log.h"

namespace peridotgate::control {
namespace {

namespace json = boost::json;
using coordination::LeaseAction;
using coordination::LeaseRecord;
using coordination::LeaseWrite;
using platform::PlatformError;

constexpr std::string_view kLeasePartition = "lease";
constexpr std::chrono::milliseconds kStepInterval{100};

platform::RowWrite MakeWrite(std::string_view name, const LeaseRecord& record) {
  platform::RowWrite write;
  json::object body{{"holder", coordination::ToHex(record.holder)},
                    {"token", record.token},
                    {"attempt", record.attempt}};
  write.row = {LeaseKey(name), record.revision, json::serialize(body)};
  write.expected_version = record.revision - 1;
  write.condition = record.revision == 1 ? platform::Condition::kAbsent
                                         : platform::Condition::kVersionIs;
  return write;
}

LeaseWrite ToLeaseWrite(
    const coordination::Result<void, PlatformError>& committed) {
  if (committed) {
    return LeaseWrite::kDone;
  }
  // Also covers errors where nothing can have been written: reading the row
  // back gives the right answer for them too.
  return committed.error() == PlatformError::kConflict ? LeaseWrite::kConflict
                                                       : LeaseWrite::kUnknown;
}

}  // namespace

platform::RowKey LeaseKey(std::string_view name) {
  return {std::string(kLeasePartition), std::string(name)};
}

std::optional<LeaseRecord> ReadLeaseRow(const platform::Row& row) {
  try {
    const json::value body = json::parse(row.body);
    auto holder = coordination::ParseId(body.at("holder").as_string());
    if (!holder) {
      return std::nullopt;
    }
    LeaseRecord record;
    record.holder = *holder;
    record.token = body.at("token").to_number<std::int64_t>();
    record.attempt = body.at("attempt").to_number<std::int64_t>();
    record.revision = row.version;
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

struct LeaseKeeper::Impl {
  Impl(asio::io_context& context,
       const coordination::Clock& clock,
       platform::Table& table,
       std::string name,
       coordination::LeaseOptions options)
      : context(context),
        clock(clock),
        table(table),
        name(std::move(name)),
        lease(options, coordination::NewId()) {}

  asio::io_context& context;
  const coordination::Clock& clock;
  platform::Table& table;
  std::string name;
  coordination::Lease lease;
  bool logged_as_held = false;

  asio::awaitable<void> Run(std::shared_ptr<Impl> /*self*/) {
    asio::steady_timer timer(context);
    while (true) {
      co_await Step();
      LogLeaseState();
      timer.expires_after(kStepInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> Step() {
    switch (lease.Next(clock.Now())) {
      case LeaseAction::kNone:
        break;
      case LeaseAction::kRead:
        co_await Read();
        break;
      case LeaseAction::kWrite:
        co_await Write();
        break;
    }
  }

  asio::awaitable<void> Read() {
    auto row = co_await table.Get(LeaseKey(name));
    if (!row) {
      lease.OnReadFailed(clock.Now());
      co_return;
    }
    std::optional<LeaseRecord> record;
    if (row.value()) {
      record = ReadLeaseRow(*row.value());
      if (!record) {
        lease.OnReadFailed(clock.Now());
        co_return;
      }
    }
    lease.OnRead(record, clock.Now());
  }

  asio::awaitable<void> Write() {
    std::vector<platform::RowWrite> writes{MakeWrite(name, lease.to_write())};
    auto committed =
        co_await table.Commit(std::move(writes), coordination::NewId());
    lease.OnWrite(ToLeaseWrite(committed), clock.Now());
  }

  void LogLeaseState() {
    const auto token = lease.token(clock.Now());
    if (token.has_value() != logged_as_held) {
      logged_as_held = token.has_value();
      runtime::LogStateChange("lease", logged_as_held ? "held" : "not_held",
                              name);
    }
  }
};

LeaseKeeper::LeaseKeeper(asio::io_context& context,
                         const coordination::Clock& clock,
                         platform::Table& table,
                         std::string name,
                         coordination::LeaseOptions options)
    : impl_(std::make_shared<Impl>(context,
                                   clock,
                                   table,
                                   std::move(name),
                                   options)) {}

LeaseKeeper::~LeaseKeeper() = default;

void LeaseKeeper::Start() {
  asio::co_spawn(impl_->context, impl_->Run(impl_), asio::detached);
}

std::optional<std::int64_t> LeaseKeeper::token() const {
  return impl_->lease.token(impl_->clock.Now());
}

}  // namespace peridotgate::control
