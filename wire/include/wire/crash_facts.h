// Converts what instances tell each other of crashes between the times of a
// process and the relative times of a message.
#ifndef WIRE_CRASH_FACTS_H_
#define WIRE_CRASH_FACTS_H_

#include "coordination/crash_attribution.h"
#include "wire_types.h"

namespace peridotgate::wire {

/** Keeps a message within a datagram; what is left out is repeated later. */
CrashFacts ToWire(const coordination::CrashFacts& facts,
                  coordination::TimePoint now);

coordination::CrashFacts FromWire(const CrashFacts& facts,
                                  coordination::TimePoint now);

}  // namespace peridotgate::wire

#endif  // WIRE_CRASH_FACTS_H_
