// Adjusts a caller's request for the engine.
#ifndef AGENT_ENGINE_REQUEST_H_
#define AGENT_ENGINE_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgate::agent {

/**
 * Returns the JSON object `body` with its `priority` set, overriding the
 * caller's value: callers may not choose their order in the engine. Lower
 * values run first. A body that isn't an object is returned unchanged.
 *
 *     WithPriority(R"({"prompt":"x"})", 1);  // {"prompt":"x","priority":1}
 */
std::string WithPriority(std::string_view body, std::int32_t priority);

}  // namespace peridotgate::agent

#endif  // AGENT_ENGINE_REQUEST_H_
