// Slopes of the control plane: configuration, membership, the platform's
// instance list and claims.
#include <array>
#include <memory>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "agent/claims.h"
#include "bench/slopes.h"
#include "bench/slopes_fixtures.h"
#include "bench/slopes_meter.h"
#include "coordination/configuration_follower.h"
#include "platform/instance_list.h"
#include "platform/table.h"
#include "runtime/http.h"

namespace peridotgate::bench {
namespace {

namespace asio = boost::asio;
using coordination::ConfigurationFollower;
using platform::PlatformError;
using platform::Result;
using platform::Row;
using platform::RowKey;
using platform::RowWrite;

constexpr std::array<std::size_t, 5> kSmallCounts = {10, 30, 100, 300, 1000};
constexpr std::array<std::size_t, 5> kPeerCounts = {120, 400, 1200, 4000,
                                                    12000};
constexpr std::size_t kRecentChanges = 4096;
constexpr double kNanosPerMicro = 1000;

coordination::Change ToChange(const wire::ConfigChange& it) {
  coordination::Change change;
  change.version = it.version;
  change.change_id = wire::FromWire(it.change_id);
  change.author = it.author;
  change.at_ms = it.at_ms;
  change.answers_digest = it.answers_digest;
  for (const wire::ConfigSection& section : it.sections) {
    change.sections.push_back({section.name, section.content, section.removed});
  }
  return change;
}

// All changes are to one organisation, so that only the list of recent changes
// grows.
std::vector<double> MeasureChanges(const BenchTargets& /*targets*/,
                                   std::size_t n) {
  wire::ConfigPush push;
  for (std::size_t i = 0; i < n; ++i) {
    push.changes.push_back(MakeChange(static_cast<std::int64_t>(i) + 1, 0));
  }
  const std::string bytes = wire::EncodeDatagram(push);
  ConfigurationFollower follower(kRecentChanges);
  double micros = 0;
  const double heap_bytes = HeapGrowth([&] {
    micros = CpuMicros([&] {
      auto message = wire::Decode(std::as_bytes(std::span(bytes)));
      for (const auto& it :
           std::get<wire::ConfigPush>(message.value()).changes) {
        follower.Apply(ToChange(it));
      }
    });
    return 0;
  });
  return {static_cast<double>(bytes.size()), heap_bytes, micros};
}

std::vector<double> MeasureSections(const BenchTargets& /*targets*/,
                                    std::size_t n) {
  const auto sections = MakeSections(n, kKindsPerOrganisation);
  ConfigurationFollower follower(kRecentChanges);
  const double heap_bytes = HeapGrowth([&] {
    follower.ApplySnapshot(1, sections);
    return 0;
  });
  const double copy_us = CpuMicros([&] { DoNotOptimise(follower.Snapshot()); });
  double content = 0;
  for (const coordination::Section& it : sections) {
    content += static_cast<double>(it.name.size() + it.content.size());
  }
  return {heap_bytes, copy_us, content};
}

wire::Member MakeMember(std::size_t i) {
  wire::Member it;
  it.instance = fmt::format("agent-{:05}", i);
  it.role = wire::Role::kAgent;
  it.data_centre = "dc-1";
  it.address = "10.120.130.140";
  it.port = 21000;
  it.incarnation = 0x0123456789abcdef;
  it.revision = 7;
  it.state = wire::MemberState::kAlive;
  it.target = "model:horn-1";
  it.weights_version = 12;
  it.config_version = 46000;
  return it;
}

std::vector<double> MeasureMembers(const BenchTargets& /*targets*/,
                                   std::size_t n) {
  wire::MemberUpdate update;
  const double heap_bytes = HeapGrowth([&] {
    update.members.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
      update.members.push_back(MakeMember(i));
    }
    return 0;
  });
  std::string bytes;
  const double micros = CpuMicros([&] {
    bytes = wire::EncodeDatagram(update);
    DoNotOptimise(wire::Decode(std::as_bytes(std::span(bytes))));
  });
  return {heap_bytes, static_cast<double>(bytes.size()),
          micros * kNanosPerMicro};
}

std::string ListText(std::size_t n) {
  std::string text = "{\"instances\":[";
  for (std::size_t i = 0; i < n; ++i) {
    text += fmt::format(
        "{}{{\"instance\":\"agent-{:05}\",\"role\":\"agent\","
        "\"data_centre\":\"dc-1\",\"address\":\"10.120.130.140:21000\","
        "\"target\":\"model:horn-1\",\"state\":\"live\","
        "\"operators\":\"10.120.130.140:21001\"}}",
        i == 0 ? "" : ",", i);
  }
  return text + "]}";
}

// Serves and fetches the list in one process; the cost includes both sides.
std::vector<double> MeasureListReads(const BenchTargets& /*targets*/,
                                     std::size_t n) {
  const std::string text = ListText(n);
  asio::io_context context(1);
  runtime::Metrics metrics;
  runtime::HttpServer server(
      context, {},
      [&](runtime::HttpRequest /*request*/,
          runtime::HttpExchange& exchange) -> asio::awaitable<void> {
        co_await exchange.Send(
            runtime::MakeResponse(runtime::http::status::ok, text));
      },
      metrics);
  std::string error;
  server.Listen({"127.0.0.1", 0}, error);
  platform::InstanceList list(context, {"127.0.0.1", server.port()});
  std::vector<platform::ListedInstance> fetched;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto listed = co_await list.Fetch();
        fetched = std::move(listed.value());
        context.stop();
      },
      asio::detached);
  const double micros = CpuMicros([&] { context.run(); });
  const double heap_bytes = HeapGrowth([&] { return std::vector(fetched); });
  return {static_cast<double>(text.size()), heap_bytes, micros};
}

// Counts reads and writes and keeps the last row; every write succeeds.
class CountingTable : public platform::Table {
 public:
  asio::awaitable<Result<std::optional<Row>, PlatformError>> Get(
      RowKey /*key*/) override {
    ++reads;
    co_return std::optional<Row>(last);
  }
  asio::awaitable<Result<void, PlatformError>> Commit(
      std::vector<RowWrite> writes,
      coordination::Id128 /*token*/) override {
    for (const RowWrite& it : writes) {
      ++this->writes;
      last = it.row;
    }
    co_return coordination::outcome::success();
  }
  asio::awaitable<Result<std::vector<Row>, PlatformError>> Query(
      std::string /*partition*/,
      std::string /*after*/,
      std::size_t /*limit*/) override {
    ++reads;
    co_return std::vector<Row>();
  }

  double reads = 0;
  double writes = 0;
  Row last;
};

std::vector<double> MeasureClaims(const BenchTargets& /*targets*/,
                                  std::size_t n) {
  constexpr std::size_t kAnswerBytes = 500;
  CountingTable table;
  double row_bytes = 0;
  runtime::Metrics metrics;
  runtime::Duty duty("claims");
  runtime::Port<agent::ClaimAnswer> answers(duty, n + 1,
                                            [](agent::ClaimAnswer&&) {});
  agent::Claims claims(duty, table, answers, metrics, {"agent-0", 50});
  const double micros = CpuMicros([&] {
    for (std::size_t i = 0; i < n; ++i) {
      agent::ClaimRequest request;
      request.id = {{1, i}, 1};
      request.key = {"organisation-1", "kind-0", fmt::format("key-{:032}", i)};
      request.body_digest = std::string(64, 'd');
      request.attempt_token = {2, i};
      claims.OnCommand(request);
      duty.context().poll();
      agent::ClaimResult result;
      result.key = request.key;
      result.record.attempt_token = wire::ToWire(request.attempt_token);
      result.record.agent = "agent-0";
      result.record.body_digest = request.body_digest;
      result.record.state = wire::ClaimState::kDone;
      result.record.body = std::string(kAnswerBytes, 'a');
      claims.OnCommand(result);
      duty.context().poll();
      row_bytes += static_cast<double>(table.last.key.partition.size() +
                                       table.last.key.sort.size() +
                                       table.last.body.size());
    }
  });
  return {table.writes, table.reads, row_bytes, micros};
}

constexpr std::array<SlopeOutput, 3> kChangeOutputs = {
    {{"change_wire_bytes", "B on the wire a change"},
     {"change_kept_bytes", "B of heap a change kept for others"},
     {"change_apply_us", "us to decode and apply a change"}}};
constexpr std::array<SlopeOutput, 3> kSectionOutputs = {
    {{"section_bytes", "B of heap an organisation's section"},
     {"section_copy_us", "us to copy a section for the book"},
     {"section_wire_bytes", "B on the wire a section"}}};
constexpr std::array<SlopeOutput, 3> kMemberOutputs = {
    {{"member_bytes", "B of heap a member"},
     {"member_wire_bytes", "B on the wire a member"},
     {"member_codec_ns", "ns to encode and decode a member"}}};
constexpr std::array<SlopeOutput, 3> kListOutputs = {
    {{"list_line_wire_bytes", "B on the wire a listed instance"},
     {"list_line_bytes", "B of heap a listed instance"},
     {"list_line_us", "us a listed instance, sent and read"}}};
constexpr std::array<SlopeOutput, 4> kClaimOutputs = {
    {{"claim_writes", "table writes a claimed run"},
     {"claim_reads", "table reads a claimed run"},
     {"claim_row_bytes", "B of a claim's row"},
     {"claim_us", "us a claimed run, without HTTP"}}};

constexpr std::array<SlopeCase, 5> kCases = {
    {{kChangeOutputs, kSmallCounts, &MeasureChanges},
     {kSectionOutputs, kSmallCounts, &MeasureSections},
     {kMemberOutputs, kPeerCounts, &MeasureMembers},
     {kListOutputs, kPeerCounts, &MeasureListReads},
     {kClaimOutputs, kSmallCounts, &MeasureClaims}}};

}  // namespace

std::span<const SlopeCase> ControlSlopes() {
  return kCases;
}

}  // namespace peridotgate::bench
