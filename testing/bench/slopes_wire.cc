// Slopes of communication: messages, links, probes, cache events.
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "agent/backend_driver.h"
#include "bench/slopes.h"
#include "bench/slopes_fixtures.h"
#include "bench/slopes_meter.h"
#include "wire/link.h"

namespace peridotgate::bench {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::array<std::size_t, 5> kSmallCounts = {10, 30, 100, 300, 1000};
constexpr std::array<std::size_t, 5> kLargeCounts = {100, 300, 1000, 3000,
                                                     10000};
constexpr double kNanosPerMicro = 1000;
constexpr std::string_view kLoopback = "127.0.0.1";

// Encodes and decodes `n` messages; returns their bytes and the time.
std::vector<double> MeasureCodec(const wire::Message& message, std::size_t n) {
  std::string out;
  std::size_t bytes = 0;
  const double micros = CpuMicros([&] {
    for (std::size_t i = 0; i < n; ++i) {
      out.clear();
      wire::AppendFrame(message, out);
      bytes += out.size();
      const auto body =
          std::as_bytes(std::span(out)).subspan(wire::kLengthBytes);
      DoNotOptimise(wire::Decode(body));
    }
  });
  return {static_cast<double>(bytes), micros * kNanosPerMicro};
}

std::vector<double> MeasureChunkCodec(const BenchTargets& /*targets*/,
                                      std::size_t n) {
  wire::ReplyChunk chunk;
  chunk.request_id = wire::ToWire({0x0123456789abcdef, 0x0123456789abcdef});
  chunk.attempt = 1;
  chunk.sequence = 100;
  chunk.position = 100;
  chunk.data = std::string(kTokenEvent);
  return MeasureCodec(chunk, n);
}

std::vector<double> MeasureDigestCodec(const BenchTargets& /*targets*/,
                                       std::size_t n) {
  wire::ConfigDigest digest;
  digest.version = 46000;
  digest.instance = "agent-00001";
  return MeasureCodec(digest, n);
}

std::vector<double> MeasureDispatchCodec(const BenchTargets& /*targets*/,
                                         std::size_t n) {
  return MeasureCodec(MakeDispatch(1), n);
}

std::vector<double> MeasureShareCodec(const BenchTargets& /*targets*/,
                                      std::size_t n) {
  wire::ShareReport report;
  report.instance = "agent-00001";
  report.period = 46000;
  for (std::size_t i = 0; i < n; ++i) {
    wire::ServiceUse use;
    use.organisation = fmt::format("organisation-{}", i);
    use.cost_tokens = 12345;
    report.uses.push_back(std::move(use));
  }
  return MeasureCodec(report, 1);
}

// A listener and `n` links to it, with both ends on one event loop.
class LinkPairs {
 public:
  explicit LinkPairs(std::size_t n)
      : listener_(context_, metrics_, [this](const auto& it) {
          it->Start([](wire::Link&, wire::Message&&) {}, [](wire::Link&) {});
          links_.push_back(it);
        }) {
    std::string error;
    const runtime::Endpoint endpoint{std::string(kLoopback), FreePort()};
    listener_.Listen(endpoint, error);
    for (std::size_t i = 0; i < n; ++i) {
      auto link = wire::Link::Connecting(context_, endpoint, metrics_);
      link->Start([](wire::Link&, wire::Message&&) {}, [](wire::Link&) {});
      link->Send(wire::Hello());
      links_.push_back(std::move(link));
      context_.poll();
    }
    while (links_.size() < 2 * n) {
      context_.run_one();
    }
    context_.poll();
  }

  ~LinkPairs() {
    for (const auto& it : links_) {
      it->Close();
    }
    listener_.Stop();
    context_.poll();
  }

 private:
  std::uint16_t FreePort() {
    asio::ip::tcp::acceptor probe(
        context_, {asio::ip::make_address(std::string(kLoopback)), 0});
    return probe.local_endpoint().port();
  }

  asio::io_context context_{1};
  runtime::Metrics metrics_;
  std::vector<std::shared_ptr<wire::Link>> links_;
  wire::LinkListener listener_;
};

std::vector<double> MeasureLinks(const BenchTargets& /*targets*/,
                                 std::size_t n) {
  constexpr double kEnds = 2;
  return {HeapGrowth([&] { return std::make_unique<LinkPairs>(n); }) / kEnds};
}

// Probes between two sockets on one event loop; the cost includes both sides.
std::vector<double> MeasureProbes(const BenchTargets& /*targets*/,
                                  std::size_t n) {
  asio::io_context context(1);
  runtime::Metrics metrics;
  CoreFixture fixture(/*slots=*/16, /*queued=*/16);
  std::size_t answered = 0;
  const udp::endpoint client_endpoint(
      asio::ip::make_address(std::string(kLoopback)), 31980);
  const udp::endpoint server_endpoint(client_endpoint.address(), 31981);
  wire::DatagramSocket server(
      context, metrics, [&](const udp::endpoint& peer, wire::Message&& it) {
        server.SendTo(peer,
                      fixture.core.Probe(std::get<wire::ProbeRequest>(it)));
      });
  wire::DatagramSocket client(
      context, metrics, [&](const udp::endpoint& /*peer*/, wire::Message&&) {
        ++answered;
        if (answered < n) {
          client.SendTo(server_endpoint, MakeProbe());
        } else {
          context.stop();
        }
      });
  std::string error;
  server.Listen({std::string(kLoopback), server_endpoint.port()}, error);
  client.Listen({std::string(kLoopback), client_endpoint.port()}, error);
  const double micros = CpuMicros([&] {
    client.SendTo(server_endpoint, MakeProbe());
    context.run();
  });
  const auto count = static_cast<double>(n);
  const wire::ProbeReply reply = fixture.core.Probe(MakeProbe());
  const std::size_t request_bytes = wire::EncodeDatagram(MakeProbe()).size();
  const std::size_t reply_bytes = wire::EncodeDatagram(reply).size();
  return {count * static_cast<double>(request_bytes),
          count * static_cast<double>(reply_bytes), micros};
}

// Sends a message back and forth between two idle event-loop threads. Measures
// wall time, because a hop includes the latency of waking the other thread.
std::vector<double> MeasureChannelHops(const BenchTargets& /*targets*/,
                                       std::size_t n) {
  using Clock = std::chrono::steady_clock;
  constexpr std::size_t kHopsPerRoundTrip = 2;
  constexpr std::chrono::milliseconds kIdleTime(2);
  runtime::Duty far("far");
  runtime::Duty near("near");
  Clock::time_point sent;
  Clock::duration elapsed{0};
  std::function<void()> send_back;
  runtime::Port<bool> to_far(far, 1, [&](bool&&) { send_back(); });
  runtime::Port<bool> to_near(near, 1, [&](bool&&) {
    elapsed += Clock::now() - sent;
    near.context().stop();
  });
  send_back = [&] { to_near.TrySend(true); };
  far.Start();
  for (std::size_t hops = 0; hops < n; hops += kHopsPerRoundTrip) {
    std::this_thread::sleep_for(kIdleTime);
    sent = Clock::now();
    to_far.TrySend(true);
    near.context().restart();
    near.context().run();
  }
  far.Stop();
  return {std::chrono::duration<double, std::micro>(elapsed).count()};
}

std::string CacheEventText(std::size_t seq) {
  return fmt::format(
      "data: {{\"seq\":{},\"event\":\"stored\",\"block\":{},\"request_id\":"
      "\"0123456789abcdef0123456789abcdef\",\"piece\":3}}\n\n",
      seq, seq);
}

// An engine that reports `n` stored blocks at once and a driver that reads its
// event stream.
std::vector<double> MeasureCacheEvents(const BenchTargets& /*targets*/,
                                       std::size_t n) {
  std::string text;
  for (std::size_t i = 0; i < n; ++i) {
    text += CacheEventText(i);
  }
  runtime::Metrics metrics;
  runtime::Duty duty("backend");
  runtime::HttpServer server(
      duty.context(), {},
      [&](runtime::HttpRequest /*request*/,
          runtime::HttpExchange& exchange) -> asio::awaitable<void> {
        co_await exchange.BeginStream(runtime::MakeResponse(
            runtime::http::status::ok, "", "text/event-stream"));
        co_await exchange.Write(text);
        co_await exchange.EndStream();
      },
      metrics);
  std::string error;
  server.Listen({std::string(kLoopback), 0}, error);
  std::size_t seen = 0;
  runtime::Port<agent::BackendReport> reports(duty, n + 1,
                                              [&](agent::BackendReport&&) {
                                                if (++seen == n) {
                                                  duty.context().stop();
                                                }
                                              });
  agent::BackendDriver driver(duty, {std::string(kLoopback), server.port()},
                              agent::ServerKind::kEngine, reports, metrics);
  driver.FollowCacheEvents();
  return {CpuMicros([&] { duty.context().run(); })};
}

constexpr std::array<SlopeOutput, 2> kChunkOutputs = {
    {{"chunk_wire_bytes", "B on the wire a token, agent to entry"},
     {"chunk_codec_ns", "ns to encode and decode a token"}}};
constexpr std::array<SlopeOutput, 2> kDigestOutputs = {
    {{"digest_wire_bytes", "B on the wire a digest"},
     {"digest_codec_ns", "ns to encode and decode a digest"}}};
constexpr std::array<SlopeOutput, 2> kDispatchOutputs = {
    {{"dispatch_wire_bytes", "B on the wire a dispatch of 2000 B"},
     {"dispatch_codec_ns", "ns to encode and decode a dispatch"}}};
constexpr std::array<SlopeOutput, 2> kShareOutputs = {
    {{"share_use_wire_bytes", "B on the wire an organisation's use"},
     {"share_use_codec_ns", "ns to encode and decode a use"}}};
constexpr std::array<SlopeOutput, 1> kLinkOutputs = {
    {{"link_bytes", "B of heap one end of a link"}}};
constexpr std::array<SlopeOutput, 3> kProbeOutputs = {
    {{"probe_request_wire_bytes", "B of a probe with 4 keys"},
     {"probe_reply_wire_bytes", "B of its answer"},
     {"probe_us", "us a probe, both sides"}}};
constexpr std::array<SlopeOutput, 1> kHopOutputs = {
    {{"port_hop_us", "us of wall time a hop between duties that slept"}}};
constexpr std::array<SlopeOutput, 1> kEventOutputs = {
    {{"cache_event_us", "us a cache event, sent, read and reported"}}};

constexpr std::array<SlopeCase, 8> kCases = {
    {{kChunkOutputs, kLargeCounts, &MeasureChunkCodec},
     {kDigestOutputs, kLargeCounts, &MeasureDigestCodec},
     {kDispatchOutputs, kLargeCounts, &MeasureDispatchCodec},
     {kShareOutputs, kSmallCounts, &MeasureShareCodec},
     {kLinkOutputs, kSmallCounts, &MeasureLinks},
     {kProbeOutputs, kLargeCounts, &MeasureProbes},
     {kHopOutputs, kSmallCounts, &MeasureChannelHops},
     {kEventOutputs, kLargeCounts, &MeasureCacheEvents}}};

}  // namespace

std::span<const SlopeCase> WireSlopes() {
  return kCases;
}

}  // namespace peridotgate::bench
