#include "runtime/event_log.h"

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace peridotgate::runtime {
namespace {

// How long shutdown waits for the reader of the output.
constexpr std::chrono::milliseconds kStopTimeout{500};
// Lines queued for the writer thread; the oldest are overwritten.
constexpr std::size_t kMaxQueuedLines = 2048;
// Maximum lines per event name and second.
constexpr int kRoutinePerSecond = 200;
constexpr int kNotablePerSecond = 1000;

// The rate limit of one event name: its lines in the current second, and the
// lines dropped since the last one that was written.
struct Rate {
  std::int64_t second = 0;
  int lines = 0;
  std::int64_t dropped = 0;
};

struct Writer {
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::string instance;
  Counter* dropped = nullptr;
  std::atomic<std::size_t> counted_overruns = 0;  // Included in `dropped`.

  std::mutex mutex;  // Guards `rates` and `sequence`.
  std::map<std::string, Rate, std::less<>> rates;
  std::int64_t sequence = 0;

  // Adds the lines that were overwritten in the queue since the last call.
  void CountOverrun() {
    const std::size_t present = pool->overrun_counter();
    const std::size_t before = counted_overruns.exchange(present);
    if (present > before) {
      dropped->Add(present - before);
    }
  }
};

// Set before the event-loop threads start and cleared after they stop.
std::atomic<Writer*> current_writer{nullptr};

template <class Number>
void AppendNumber(std::string& to, Number value) {
  std::array<char, 32> buf{};
  const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  to.append(buf.data(), end.ptr);
}

void AppendText(std::string& to, std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  to += '"';
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (it == '"' || it == '\\') {
      to += '\\';
      to += it;
    } else if (byte < 0x20) {
      to += "\\u00";
      to += kHex[byte >> 4];
      to += kHex[byte & 15];
    } else {
      to += it;
    }
  }
  to += '"';
}

std::int64_t SteadyMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void StartEventLog(std::string_view instance, Metrics& metrics) {
  auto* writer = new Writer;
  writer->instance = instance;
  writer->dropped = &metrics.GetCounter("peridotgate_log_dropped_total");
  writer->pool =
      std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1);
  writer->logger = std::make_shared<spdlog::async_logger>(
      "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), writer->pool,
      spdlog::async_overflow_policy::overrun_oldest);
  writer->logger->set_pattern("%v");
  current_writer.store(writer);
}

bool StopEventLog() {
  Writer* writer = current_writer.exchange(nullptr);
  // Destroying the writer flushes its queue and joins its thread, which blocks
  // while nobody reads the output; so do it on a detached thread.
  std::promise<void> ended;
  std::future<void> end = ended.get_future();
  std::thread([writer, it = std::move(ended)]() mutable {
    const std::unique_ptr<Writer> owned(writer);
    it.set_value_at_thread_exit();
  }).detach();
  return end.wait_for(kStopTimeout) == std::future_status::ready;
}

LogEvent::LogEvent(std::string_view name, LogClass log_class)
    : enabled_(false) {
  Writer* writer = current_writer.load();
  if (writer == nullptr) {
    return;
  }
  const std::int64_t now = SteadyMicros();
  std::int64_t dropped = 0;
  std::int64_t sequence = 0;
  {
    const std::lock_guard lock(writer->mutex);
    auto found = writer->rates.find(name);
    if (found == writer->rates.end()) {
      found = writer->rates.emplace(name, Rate{}).first;
    }
    Rate& rate = found->second;
    const std::int64_t second = now / 1000000;
    if (rate.second != second) {
      rate.second = second;
      rate.lines = 0;
    }
    const int max_lines =
        log_class == LogClass::kRoutine ? kRoutinePerSecond : kNotablePerSecond;
    if (rate.lines >= max_lines) {
      ++rate.dropped;
      writer->dropped->Add();
      return;
    }
    ++rate.lines;
    dropped = std::exchange(rate.dropped, 0);
    sequence = ++writer->sequence;
  }
  enabled_ = true;
  line_ = "{\"event\":";
  AppendText(line_, name);
  Add("instance", writer->instance);
  Add("seq", sequence);
  Add("steady_us", now);
  Add("unix_ms", WallMillis());
  if (dropped > 0) {
    Add("dropped_before", dropped);
  }
}

LogEvent::~LogEvent() {
  Writer* writer = current_writer.load();
  if (!enabled_ || writer == nullptr) {
    return;
  }
  line_ += '}';
  writer->logger->info(line_);
  writer->CountOverrun();
}

void LogEvent::AppendKey(std::string_view key) {
  line_ += ',';
  AppendText(line_, key);
  line_ += ':';
}

LogEvent& LogEvent::Add(std::string_view key, std::string_view value) {
  if (enabled_) {
    AppendKey(key);
    AppendText(line_, value);
  }
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, bool value) {
  if (enabled_) {
    AppendKey(key);
    line_ += value ? "true" : "false";
  }
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, double value) {
  if (enabled_) {
    AppendKey(key);
    AppendNumber(line_, value);
  }
  return *this;
}

LogEvent& LogEvent::AddInteger(std::string_view key, std::int64_t value) {
  if (enabled_) {
    AppendKey(key);
    AppendNumber(line_, value);
  }
  return *this;
}

}  // namespace peridotgate::runtime
