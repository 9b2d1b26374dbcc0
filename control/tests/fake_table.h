// In-memory platform table for tests that can lose responses, reject commits
// and become unreachable.
#ifndef CONTROL_TESTS_FAKE_TABLE_H_
#define CONTROL_TESTS_FAKE_TABLE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "platform/table.h"

namespace peridotgate::control {

namespace asio = boost::asio;

/** Orders rows as the table does. */
struct RowKeyLess {
  bool operator()(const platform::RowKey& a, const platform::RowKey& b) const {
    return std::tie(a.partition, a.sort) < std::tie(b.partition, b.sort);
  }
};

/** Counts every call and injects faults on request. */
class FakeTable : public platform::Table {
 public:
  template <class T>
  using TableResult =
      asio::awaitable<platform::Result<T, platform::PlatformError>>;

  TableResult<std::optional<platform::Row>> Get(platform::RowKey key) override {
    ++read_count;
    if (is_down()) {
      co_return platform::PlatformError::kUnavailable;
    }
    auto it = rows.find(key);
    co_return it == rows.end() ? std::nullopt : std::optional(it->second);
  }

  TableResult<void> Commit(std::vector<platform::RowWrite> writes,
                           coordination::Id128 /*token*/) override {
    if (is_down()) {
      co_return platform::PlatformError::kUnavailable;
    }
    ++commit_count;
    if (before_commit) {
      before_commit();
    }
    if (forced_conflicts > 0) {
      --forced_conflicts;
      co_return platform::PlatformError::kConflict;
    }
    rows_written += writes.size();
    for (const platform::RowWrite& it : writes) {
      if (!ConditionHolds(it)) {
        co_return platform::PlatformError::kConflict;
      }
    }
    for (const platform::RowWrite& it : writes) {
      if (it.remove) {
        rows.erase(it.row.key);
      } else {
        rows[it.row.key] = it.row;
      }
    }
    if (lose_responses || is_down()) {
      co_return platform::PlatformError::kUnknown;
    }
    co_return coordination::outcome::success();
  }

  TableResult<std::vector<platform::Row>> Query(std::string partition,
                                                std::string after,
                                                std::size_t limit) override {
    ++read_count;
    if (is_down()) {
      co_return platform::PlatformError::kUnavailable;
    }
    if (before_query) {
      before_query(partition);
    }
    std::vector<platform::Row> found;
    const platform::RowKey start{partition, after};
    for (auto it = rows.upper_bound(start);
         it != rows.end() && it->first.partition == partition &&
         found.size() < limit;
         ++it) {
      found.push_back(it->second);
    }
    co_return found;
  }

  std::map<platform::RowKey, platform::Row, RowKeyLess> rows;
  std::function<void(const std::string&)> before_query;
  std::function<void()> before_commit;
  bool lose_responses = false;
  std::size_t forced_conflicts = 0;  // Commits to reject with a conflict.
  // The table becomes unreachable after this many commits. The last one is
  // applied, but its response is lost.
  std::optional<std::size_t> fail_after_commits;
  std::size_t read_count = 0;
  std::size_t commit_count = 0;
  std::size_t rows_written = 0;  // Rows of attempted commits.

  bool is_down() const {
    return fail_after_commits && commit_count >= *fail_after_commits;
  }

 private:
  bool ConditionHolds(const platform::RowWrite& write) const {
    auto it = rows.find(write.row.key);
    switch (write.condition) {
      case platform::Condition::kNone:
        return true;
      case platform::Condition::kAbsent:
        return it == rows.end();
      case platform::Condition::kVersionIs:
        return it != rows.end() && it->second.version == write.expected_version;
    }
    return false;
  }
};

template <class T>
asio::awaitable<void> StoreResult(asio::awaitable<T> work,
                                  std::optional<T>& result) {
  result.emplace(co_await std::move(work));
}

/** Runs a coroutine to completion and returns its result. */
template <class T>
T RunToEnd(asio::awaitable<T> work) {
  asio::io_context context(1);
  std::optional<T> result;
  asio::co_spawn(context, StoreResult(std::move(work), result), asio::detached);
  context.run();
  return std::move(*result);
}

}  // namespace peridotgate::control

#endif  // CONTROL_TESTS_FAKE_TABLE_H_
