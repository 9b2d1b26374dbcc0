// Short prompts go before long ones. Checks the order in which the engine
// starts prompt pieces, so that the result does not depend on machine speed.
#include <algorithm>
#include <optional>

#include <spdlog/fmt/fmt.h>
#include <boost/json.hpp>

#include "prove/properties/properties.h"

namespace peridotgate::prove {
namespace {

namespace json = boost::json;

constexpr std::size_t kShortCallers = 6;
constexpr std::size_t kLongCallers = 4;
// One cache piece and many pieces.
constexpr std::size_t kShortBytes = 9000;
constexpr std::size_t kLongBytes = 120000;
constexpr std::int64_t kLongPieces = 8;
constexpr std::int64_t kTokens = 3;
// Calls from which an agent estimates the cost of the short class.
constexpr int kWarmUpCalls = 12;

// Pause between the calls of a short caller, so that the engine has spare time.
constexpr std::int64_t kMinPauseMs = 100;
constexpr std::int64_t kMaxPauseMs = 200;

enum class Length { kShort, kLong };

// One call as recorded by its engine. Positions count the pieces started on the
// engine before.
struct EngineCall {
  std::int64_t pieces = 0;
  std::size_t arrival = 0;
  std::optional<std::size_t> first_piece;
  std::optional<std::size_t> last_piece;

  bool is_long() const { return pieces >= kLongPieces; }
};

// The prompt log of an engine.
struct EngineRecord {
  std::vector<EngineCall> calls;
  std::vector<std::size_t> begun;  // Call index of each piece, in start order.
};

EngineRecord ParseRecord(const std::string& text) {
  EngineRecord out;
  const json::value record = json::parse(text);
  for (const json::value& it : record.at("calls").as_array()) {
    EngineCall call;
    call.pieces = it.at("pieces").to_number<std::int64_t>();
    call.arrival = it.at("begun_before").to_number<std::size_t>();
    out.calls.push_back(call);
  }
  for (const json::value& it : record.at("begun").as_array()) {
    const std::size_t position = out.begun.size();
    EngineCall& call = out.calls[it.to_number<std::size_t>()];
    call.first_piece = call.first_piece.value_or(position);
    call.last_piece = position;
    out.begun.push_back(it.to_number<std::size_t>());
  }
  return out;
}

asio::awaitable<EngineRecord> ReadRecord(Run& run) {
  const std::string text = co_await run.fleet().Get(
      run.fleet().backends()[0].server_address, "/prompts");
  co_return ParseRecord(text);
}

class ShortBehindLongWorkload {
 public:
  explicit ShortBehindLongWorkload(Run& run) : run_(run) {}

  asio::awaitable<void> WarmUp() {
    for (int i = 0; i < kWarmUpCalls; ++i) {
      co_await RunCall(Length::kShort);
    }
    co_await RunCall(Length::kLong);
    const EngineRecord record = co_await ReadRecord(run_);
    first_measured_ = record.calls.size();
  }

  asio::awaitable<void> Caller(Length length) {
    while (!run_.over()) {
      co_await RunCall(length);
      if (length == Length::kShort) {
        const std::chrono::milliseconds pause(
            run_.Draw(kMinPauseMs, kMaxPauseMs));
        co_await run_.Sleep(pause);
      }
    }
  }

  asio::awaitable<void> CheckOrder() {
    const EngineRecord record = co_await ReadRecord(run_);
    std::int64_t overtakes = 0;
    for (std::size_t i = first_measured_; i < record.calls.size(); ++i) {
      const EngineCall& call = record.calls[i];
      if (!call.first_piece) {
        continue;
      }
      if (call.is_long()) {
        overtakes += ShortPiecesWithin(record, call);
        CheckLongCall(record, i);
      } else {
        CheckShortCall(record, call);
      }
    }
    run_.report().AddOutcome("short begun while a long one computed",
                             overtakes);
    run_.report().Check("short_work_overtakes", overtakes > 0);
  }

 private:
  asio::awaitable<void> RunCall(Length length) {
    const bool is_long = length == Length::kLong;
    ChatCall call;
    // No two prompts share a piece, so that each is computed in full.
    call.prompt = fmt::format("{:08} ", next_++);
    call.prompt.resize(is_long ? kLongBytes : kShortBytes, 's');
    call.tokens = kTokens;
    Organisation organisation = Tapetes();
    organisation.chat = is_long ? "clause-check" : "visit-note";
    run_.report().AddRequest();
    const StreamResult result = co_await CallChat(
        run_.context(), run_.RandomEntry(), organisation, call);
    const std::string_view name = is_long ? "long" : "short";
    run_.report().AddOutcome(
        fmt::format("{} {} {}", name, result.status, result.outcome));
    if (result.done) {
      run_.report().Check(fmt::format("{}_is_answered", name),
                          result.texts == ExpectedTexts(call));
    }
  }

  // Counts pieces of short calls started between the first and last of `call`.
  static std::int64_t ShortPiecesWithin(const EngineRecord& record,
                                        const EngineCall& call) {
    return std::count_if(
        record.begun.begin() + static_cast<std::ptrdiff_t>(*call.first_piece),
        record.begun.begin() + static_cast<std::ptrdiff_t>(*call.last_piece),
        [&](std::size_t it) { return !record.calls[it].is_long(); });
  }

  // The engine must not start a long piece while a short prompt waits there.
  void CheckShortCall(const EngineRecord& record, const EngineCall& call) {
    std::int64_t long_before = 0;
    for (std::size_t i = call.arrival; i < *call.first_piece; ++i) {
      long_before += record.calls[record.begun[i]].is_long() ? 1 : 0;
    }
    run_.report().Check(
        "no_long_piece_before_a_short_one", long_before == 0,
        fmt::format("{} long pieces started before it", long_before));
  }

  // The agent must dispatch a long prompt only when the engine has no other.
  void CheckLongCall(const EngineRecord& record, std::size_t index) {
    std::int64_t concurrent = 0;
    for (std::size_t i = first_measured_; i < index; ++i) {
      const EngineCall& other = record.calls[i];
      const bool unfinished =
          !other.last_piece || *other.last_piece >= record.calls[index].arrival;
      concurrent += other.is_long() && unfinished ? 1 : 0;
    }
    run_.report().Check(
        "one_long_prompt_at_a_time", concurrent == 0,
        fmt::format("{} other long prompts unfinished", concurrent));
  }

  Run& run_;
  std::uint64_t next_ = 0;
  std::size_t first_measured_ = 0;  // Earlier calls were for warm-up.
};

}  // namespace

asio::awaitable<void> ShortBehindLong(Run& run) {
  for (const char* it :
       {"no_long_piece_before_a_short_one", "one_long_prompt_at_a_time",
        "short_is_answered", "long_is_answered"}) {
    run.report().Expect(it);
  }
  ShortBehindLongWorkload work(run);
  co_await work.WarmUp();
  co_await run.RunConcurrently(
      kShortCallers + kLongCallers,
      [&](std::size_t i) {
        return work.Caller(i < kShortCallers ? Length::kShort : Length::kLong);
      },
      [&]() -> asio::awaitable<void> { co_return; });
  co_await work.CheckOrder();
}

}  // namespace peridotgate::prove
