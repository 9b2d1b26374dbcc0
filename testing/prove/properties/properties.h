// The property functions listed in property.cc, one source file each.
#ifndef TESTING_PROVE_PROPERTIES_PROPERTIES_H_
#define TESTING_PROVE_PROPERTIES_PROPERTIES_H_

#include "prove/property.h"

namespace peridotgate::prove {

/**
 * A non-repeatable call runs at most once, and one reported as "not run" did
 * not run.
 */
asio::awaitable<void> AtMostOnce(Run& run);
/** Every stream is complete and in order, or ends with an error event. */
asio::awaitable<void> WholeAndOrdered(Run& run);
/** Every process applies an accepted change within the time bound. */
asio::awaitable<void> ConfigurationEverywhere(Run& run);
/** The configuration version in force in a process never decreases. */
asio::awaitable<void> ConfigurationNeverReverts(Run& run);
/**
 * When operators change the same version concurrently, one wins and the others
 * get a conflict.
 */
asio::awaitable<void> RacingOperators(Run& run);
/** The fencing tokens of the orders that an engine receives never decrease. */
asio::awaitable<void> FencedOrders(Run& run);
/** Entries restarted while the platform is down serve the newest rules. */
asio::awaitable<void> RestartWithoutPlatform(Run& run);

/** A call refused as "not run" did not run. */
asio::awaitable<void> NotRunIsTrue(Run& run);
/** Engines are released from the streams of a stalled entry. */
asio::awaitable<void> AbandonedStreams(Run& run);
/** A stream can be resumed through any entry. */
asio::awaitable<void> ResumeElsewhere(Run& run);
/** Draining entries and agents interrupts no request. */
asio::awaitable<void> GracefulShutdown(Run& run);
/** An agent that is draining receives no new work. */
asio::awaitable<void> Leaving(Run& run);
/** A server listed as leaving receives no new work until listed as live. */
asio::awaitable<void> ListedLeaving(Run& run);
/** Each caller receives the answer to its own request. */
asio::awaitable<void> OwnAnswer(Run& run);
/** A second attempt on another server answers for a stalled one. */
asio::awaitable<void> SecondAttemptsAnswer(Run& run);
/**
 * A part of prompts that crashes engines reaches few of them; other calls are
 * served.
 */
asio::awaitable<void> DeadlyPart(Run& run);
/** The message that crashes engines in `DeadlyPart`. */
inline constexpr std::string_view kDeadlyPartOfPrompt = "sheet that crashes";
/** Long prompts do not delay short prompts that wait at the same engine. */
asio::awaitable<void> ShortBehindLong(Run& run);
/** A slow engine receives less work while it is slow. */
asio::awaitable<void> Stragglers(Run& run);
/**
 * A backlogged organisation receives its fair share, counted over all engines.
 */
asio::awaitable<void> EqualShares(Run& run);
/**
 * Cached prefixes are reported neither for a dead engine nor to another
 * organisation.
 */
asio::awaitable<void> CacheScope(Run& run);

}  // namespace peridotgate::prove

#endif  // TESTING_PROVE_PROPERTIES_PROPERTIES_H_
