#include "bench/slopes_meter.h"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

#include <spdlog/fmt/fmt.h>

namespace peridotgate::bench {
namespace {

constexpr double kNanosPerSecond = 1e9;

// Run time of a thread, which schedstat gives in nanoseconds.
Seconds RunTime(const std::filesystem::path& task) {
  std::ifstream file(task / "schedstat");
  double nanos = 0;
  file >> nanos;
  return Seconds(nanos / kNanosPerSecond);
}

double VoluntarySwitches(const std::filesystem::path& task) {
  constexpr std::string_view kField = "voluntary_ctxt_switches:";
  std::ifstream file(task / "status");
  std::string word;
  double count = 0;
  while (file >> word) {
    if (word == kField) {
      file >> count;
      break;
    }
  }
  return count;
}

double ResidentBytes(int pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::filesystem::directory_iterator Tasks(int pid) {
  std::error_code ec;
  return {fmt::format("/proc/{}/task", pid), ec};
}

}  // namespace

Seconds ProcessTime() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return Seconds(static_cast<double>(now.tv_sec) +
                 static_cast<double>(now.tv_nsec) / kNanosPerSecond);
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

ProcessCounts ReadProcess(int pid) {
  ProcessCounts counts;
  counts.resident_bytes = ResidentBytes(pid);
  for (const auto& it : Tasks(pid)) {
    counts.processor += RunTime(it.path());
    counts.wakeups += VoluntarySwitches(it.path());
  }
  return counts;
}

Seconds ThreadTime(int pid, std::string_view thread_name) {
  Seconds time{0};
  for (const auto& it : Tasks(pid)) {
    std::ifstream file(it.path() / "comm");
    std::string name;
    std::getline(file, name);
    if (name == thread_name) {
      time += RunTime(it.path());
    }
  }
  return time;
}

}  // namespace peridotgate::bench
