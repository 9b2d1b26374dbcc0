// Runs one coroutine to completion on its own io_context.
#ifndef OPERATE_RUN_SYNC_H_
#define OPERATE_RUN_SYNC_H_

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "coordination/check.h"

namespace peridotgate::operate {

namespace asio = boost::asio;

/** Awaits `work` and stores its result. */
template <class T>
asio::awaitable<void> StoreResult(asio::awaitable<T> work,
                                  std::optional<T>& result) {
  result.emplace(co_await std::move(work));
}

/** Runs `work` to completion on `context` and returns its result. */
template <class T>
T RunSync(asio::io_context& context, asio::awaitable<T> work) {
  std::optional<T> result;
  asio::co_spawn(context, StoreResult(std::move(work), result),
                 [](const std::exception_ptr& e) {
                   if (e) {
                     std::rethrow_exception(e);
                   }
                 });
  context.run();
  PG_CHECK(result.has_value());
  return std::move(*result);
}

}  // namespace peridotgate::operate

#endif  // OPERATE_RUN_SYNC_H_
