// Finds the part of requests that makes servers crash, so that requests with it
// can be refused before they crash the next server. No I/O; time is passed in.
#ifndef COORDINATION_CRASH_ATTRIBUTION_H_
#define COORDINATION_CRASH_ATTRIBUTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "coordination/clock.h"

namespace peridotgate::coordination {

/** Hash of a part of a request that other requests may share. */
using PartKey = std::uint64_t;

/** Limits of `CrashAttribution`. */
struct CrashAttributionLimits {
  /** Crashes with a part, and without a sound answer on it since, until the
   * part is quarantined. */
  int min_crashes = 4;
  /** The same if the part had a sound answer before them, or if all crashes are
   * of one server. */
  int min_crashes_of_sound_part = 8;
  /** Share of all crashes since the first one with the part that must have it
   * too. */
  double min_share = 0.5;
  /** A part with a sound answer this shortly before a crash is no suspect. */
  Duration sound_before = std::chrono::seconds(2);
  /** Time in which sound answers on a part become known; younger crashes do not
   * count yet. */
  Duration settling = std::chrono::milliseconds(250);
  /** Crashes are forgotten after this time, and with the end of a quarantine
   * that they led to. */
  Duration memory = std::chrono::minutes(10);
  /** Duration of the first quarantine; doubled each time a server crashes on
   * the part afterwards. */
  Duration first_quarantine = std::chrono::seconds(60);
  Duration max_quarantine = std::chrono::hours(1);
  /** How long other requests with a part wait for the end of one that was let
   * through after a quarantine. */
  Duration probe_time = std::chrono::seconds(5);
  std::size_t max_crashes = 256;
  std::size_t max_suspects = 64;  // Per crash.
  std::size_t max_sound_parts = 16384;
  std::size_t max_quarantines = 256;
};

/** A crash of a server, with the parts of the requests that it had not answered
 * yet. */
struct Crash {
  std::uint64_t server = 0;  // Identifies the server by its address.
  TimePoint at{};
  std::vector<PartKey> suspects;  // Those of a request in their order.
};

/** The last known sound answer to a request with a part. */
struct SoundAnswer {
  PartKey part = 0;
  TimePoint at{};
};

/** A part with which no request may be sent to a server. */
struct Quarantine {
  PartKey part = 0;
  TimePoint since{};
  TimePoint until{};
  TimePoint held_until{};  // A request that was let through may run until then.
  int crashes = 0;         // Crashes that the part explains.
  int servers = 0;         // Different servers among them.
  int level = 0;           // Number of earlier quarantines of the part.
};

/** What one instance tells the others. */
struct CrashFacts {
  std::vector<Crash> crashes;
  std::vector<SoundAnswer> sound;
  std::vector<Quarantine> quarantines;

  bool empty() const {
    return crashes.empty() && sound.empty() && quarantines.empty();
  }
};

/** The facts of both. */
CrashFacts Join(CrashFacts facts, CrashFacts more);

/** What became known, for other instances. */
struct CrashNews {
  CrashFacts own;      // Seen by this instance; nobody else tells it.
  CrashFacts relayed;  // From others, or concluded, as others may have done.
};

/** Whether requests with a part may be sent. */
enum class PartState {
  kFree,
  kProbing,      // Let through once, to find out whether servers still crash.
  kQuarantined,  // Must be refused.
};

/** The strictest state among the parts of one request. */
struct PartVerdict {
  PartState state = PartState::kFree;
  PartKey part = 0;
  Duration left{};  // Until a request with the part may be tried again.
};

/**
 * Each instance records the crashes and sound answers that it sees, and
 * exchanges them with the others; all come to the same result.
 *
 * A part is quarantined if `min_crashes` crashes had it among their suspects,
 * most other crashes since the first of them had it too, and no request with it
 * was answered since. Crashes at the same moment count once: they have another
 * common cause, such as a loss of power. A crash that a quarantined part
 * explains is no evidence against others. A quarantine ends with a sound answer
 * on the part, which requests that were sent before may still get, or with
 * time. After that, one request with the part is let through at a time.
 *
 *     CrashAttribution attribution;
 *     attribution.OnCrash({server, now, suspects});
 *     attribution.OnSound(parts, now);
 *     if (attribution.Check(parts, now).state == PartState::kQuarantined) ...
 */
class CrashAttribution {
 public:
  explicit CrashAttribution(CrashAttributionLimits limits = {});
  ~CrashAttribution();

  /** A server crashed; `crash.suspects` are the parts of the requests that this
   * instance had there, without their last, which no other request has. */
  void OnCrash(Crash crash);
  /** A request with these parts was answered completely. */
  void OnSound(std::span<const PartKey> parts, TimePoint now);

  /** Decides about a request that is to be sent now. Other requests with a part
   * that is `kProbing` are held back for `probe_time`. */
  PartVerdict Check(std::span<const PartKey> parts, TimePoint now);

  /** As `Check`, for a request that is not sent yet: holds nothing back. */
  PartVerdict Find(std::span<const PartKey> parts, TimePoint now);

  /** Adds what another instance knows. */
  void Merge(const CrashFacts& facts, TimePoint now);
  /** What became known since the last call. */
  CrashNews TakeNews();
  /** All crashes and quarantines that still matter, for instances that missed
   * them. */
  CrashFacts Current(TimePoint now);

  /** Parts that were quarantined or freed since the last call, for logs. */
  std::vector<Quarantine> TakeQuarantined();
  std::vector<PartKey> TakeFreed();

  std::vector<Quarantine> quarantines(TimePoint now);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peridotgate::coordination

#endif  // COORDINATION_CRASH_ATTRIBUTION_H_
