// Test data for the benches: rules, seats, calls and an agent core without I/O.
#ifndef TESTING_BENCH_SLOPES_FIXTURES_H_
#define TESTING_BENCH_SLOPES_FIXTURES_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "agent/core.h"
#include "coordination/configuration_follower.h"
#include "routing/placement.h"
#include "wire/codec.h"

namespace peridotgate::bench {

inline constexpr std::size_t kKindsPerOrganisation = 4;

/** The data of one streamed token event of an engine. */
inline constexpr std::string_view kTokenEvent =
    R"({"id":"0123456789abcdef0123456789abcdef",)"
    R"("object":"chat.completion.chunk","choices":[{"index":0,"delta":)"
    R"({"role":"assistant","content":"w01ab "},"finish_reason":null}]})";

/** Rules of organisation `index` with `kinds` kinds of work. */
wire::OrganisationRules MakeOrganisation(std::size_t index, std::size_t kinds);

/** One configuration section for each of `organisations` organisations. */
std::vector<coordination::Section> MakeSections(std::size_t organisations,
                                                std::size_t kinds);

/** A configuration change to the rules of organisation `index`. */
wire::ConfigChange MakeChange(std::int64_t version, std::size_t index);

std::vector<routing::ServerSeat> MakeSeats(std::size_t n);

/** A call of typical size; `index` selects its id and organisation. */
wire::Dispatch MakeDispatch(std::size_t index);

wire::ProbeRequest MakeProbe();

agent::AttemptId IdOf(const wire::Dispatch& dispatch);

/** Discards everything that a core sends. */
class DiscardingOutputs : public agent::AgentOutputs {
 public:
  void Reply(agent::LinkNumber link, const wire::Message& message) override;
  bool SendBackend(agent::BackendCommand command) override;
  bool SendPlatform(agent::PlatformCommand command) override;
};

/** An agent core and its dependencies. */
struct CoreFixture {
  CoreFixture(std::int32_t slots, std::size_t queued);

  coordination::SteadyClock clock;
  DiscardingOutputs outputs;
  runtime::Metrics metrics;
  agent::AgentCore core;
};

}  // namespace peridotgate::bench

#endif  // TESTING_BENCH_SLOPES_FIXTURES_H_
