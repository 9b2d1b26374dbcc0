// Measures processor time, heap use and kernel counters for the benches.
#ifndef TESTING_BENCH_SLOPES_METER_H_
#define TESTING_BENCH_SLOPES_METER_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace peridotgate::bench {

using Seconds = std::chrono::duration<double>;

/** Processor time used by all threads of this process. */
Seconds ProcessTime();

/** Bytes that this process has allocated on the heap. */
double HeapBytes();

/** Kernel counters of a process. */
struct ProcessCounts {
  Seconds processor{0};  // All threads, user and system.
  double resident_bytes = 0;
  double wakeups = 0;  // Voluntary context switches, all threads.
};

/** Reads the counters of `pid`; zeros if it has exited. */
ProcessCounts ReadProcess(int pid);

/** Processor time of the threads of `pid` named `thread_name`. */
Seconds ThreadTime(int pid, std::string_view thread_name);

/** Keeps the compiler from optimising away the computation of `value`. */
template <class T>
void DoNotOptimise(const T& value) {
  asm volatile("" : : "g"(&value) : "memory");
}

/** Heap growth while `make` runs, including the object that it returns. */
template <class Make>
double HeapGrowth(Make make) {
  const double before = HeapBytes();
  const auto kept = make();
  DoNotOptimise(kept);
  return HeapBytes() - before;
}

/** Processor time of `work`, in microseconds. */
template <class Work>
double CpuMicros(Work work) {
  constexpr double kMicrosPerSecond = 1e6;
  const Seconds before = ProcessTime();
  work();
  return (ProcessTime() - before).count() * kMicrosPerSecond;
}

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_SLOPES_METER_H_
