// Process log on standard error: one JSON line for each state change.
#ifndef RUNTIME_LOG_H_
#define RUNTIME_LOG_H_

#include <string_view>

namespace peridotgate::runtime {

/** Sets the level and the line format of the process log. */
void StartLog(std::string_view instance, std::string_view level);

/** Logs that `what` changed to `state` because of `reason`. */
void LogStateChange(std::string_view what,
                    std::string_view state,
                    std::string_view reason);

}  // namespace peridotgate::runtime

#endif  // RUNTIME_LOG_H_
