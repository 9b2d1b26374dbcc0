// An entry instance as a process: its event-loop threads, channels and
// listeners.
#ifndef ENTRY_PROCESS_H_
#define ENTRY_PROCESS_H_

#include "entry/settings.h"

namespace peridotgate::entry {

/** Runs an entry until SIGTERM or SIGINT; returns the exit status. */
int RunEntry(const EntrySettings& settings);

}  // namespace peridotgate::entry

#endif  // ENTRY_PROCESS_H_
