// Commits configuration changes to the platform's table.
#ifndef CONTROL_CONFIGURATION_WRITER_H_
#define CONTROL_CONFIGURATION_WRITER_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "coordination/result.h"
#include "platform/table.h"
#include "wire/codec.h"

namespace peridotgate::control {

namespace asio = boost::asio;

/** Why a change was not accepted. */
enum class AcceptError {
  kPlatform,  // The table was unreachable; nothing was committed.
  kConflict,  // Another change was committed first.
  kUnknown,   // The response was lost and the outcome could not be read back.
  kTooLarge,  // The change does not fit one transaction.
};

/** Why a change was not accepted, and which change was accepted instead. */
struct AcceptFailure {
  AcceptError error = AcceptError::kPlatform;
  std::optional<wire::ConfigChange> winner;  // If its row is still retained.
  std::int64_t version = 0;                  // The newest, for kConflict.
};

/** Limits and pauses for table requests. */
struct WriterOptions {
  int max_attempts = 8;
  std::chrono::milliseconds retry_pause{300};
  // Between transactions of pending section rows, so that other writers get a
  // turn.
  std::chrono::milliseconds section_batch_pause{250};
};

/**
 * Commits `change` atomically under its version. A repeated call with the same
 * change id finds the change already committed and succeeds.
 */
asio::awaitable<coordination::Result<std::int64_t, AcceptFailure>> AcceptChange(
    platform::Table& table,
    wire::ConfigChange change,
    WriterOptions options = {});

/**
 * Writes the pending section rows of a large change, if any. Safe to interrupt
 * at any point and to run concurrently.
 */
asio::awaitable<coordination::Result<void, platform::PlatformError>>
WritePendingSections(platform::Table& table, WriterOptions options = {});

}  // namespace peridotgate::control

#endif  // CONTROL_CONFIGURATION_WRITER_H_
