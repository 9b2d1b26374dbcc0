// Orders of a former lease holder must not be executed, also if the agent has
// heard of no newer holder or the table is slow or down.
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "agent/orders.h"
#include "runtime/http.h"

namespace peridotgate::agent {
namespace {

namespace asio = boost::asio;
using platform::PlatformError;
using platform::Row;

// A table with the lease row. `before_answer` may change the row during a read.
class LeaseTable : public platform::Table {
 public:
  template <class T>
  using Answer = asio::awaitable<platform::Result<T, PlatformError>>;

  Answer<std::optional<Row>> Get(platform::RowKey key) override {
    ++reads;
    if (before_answer) {
      before_answer();
    }
    if (error) {
      co_return *error;
    }
    if (token == 0) {
      co_return std::optional<Row>();
    }
    Row row;
    row.key = key;
    row.version = token;
    row.body = body.empty() ? R"({"holder":"00000000000000010000000000000002",)"
                              R"("attempt":1,"token":)" +
                                  std::to_string(token) + "}"
                            : body;
    co_return std::optional<Row>(row);
  }
  Answer<void> Commit(std::vector<platform::RowWrite> /*writes*/,
                      coordination::Id128 /*token*/) override {
    co_return PlatformError::kUnavailable;
  }
  Answer<std::vector<Row>> Query(std::string /*partition*/,
                                 std::string /*after*/,
                                 std::size_t /*limit*/) override {
    co_return PlatformError::kUnavailable;
  }

  std::int64_t token = 0;
  std::string body;  // Overrides the row's body unless empty.
  std::optional<PlatformError> error;
  std::function<void()> before_answer;
  int reads = 0;
};

class StaleOrder : public testing::Test {
 protected:
  StaleOrder()
      : server_(
            context_,
            {},
            [this](runtime::HttpRequest /*request*/,
                   runtime::HttpExchange& exchange) -> asio::awaitable<void> {
              ++orders_executed_;
              if (on_server) {
                on_server();
              }
              co_await exchange.Send(
                  runtime::MakeResponse(runtime::http::status::ok, "{}"));
            },
            metrics_) {
    std::string error;
    server_.Listen({"127.0.0.1", 0}, error);
    orders_.emplace(context_, table_,
                    runtime::Endpoint{"127.0.0.1", server_.port()}, metrics_,
                    [this](LinkNumber, const wire::OrderResult& it) {
                      answers_.push_back(it);
                      if (answers_.size() == expected_answers_) {
                        context_.stop();
                      }
                    });
  }

  // Sends one order per token at once. Returns the results' details in order.
  std::vector<std::string> SendOrders(const std::vector<std::int64_t>& tokens) {
    answers_.clear();
    expected_answers_ = tokens.size();
    for (const std::int64_t it : tokens) {
      wire::Order order;
      order.fencing_token = it;
      orders_->OnOrder(1, order);
    }
    context_.restart();
    context_.run();
    std::vector<std::string> details;
    for (const wire::OrderResult& it : answers_) {
      EXPECT_EQ(it.accepted, it.detail == "accepted");
      details.push_back(it.detail);
    }
    return details;
  }

  using Details = std::vector<std::string>;

  asio::io_context context_{1};
  runtime::Metrics metrics_;
  LeaseTable table_;
  runtime::HttpServer server_;
  std::optional<Orders> orders_;
  std::vector<wire::OrderResult> answers_;
  std::size_t expected_answers_ = 0;
  int orders_executed_ = 0;
  std::function<void()> on_server;
};

TEST_F(StaleOrder, IsRefusedByAnAgentUnawareOfTheNewHolder) {
  {
    SCOPED_TRACE("an order of the current holder is executed");
    table_.token = 3;
    EXPECT_EQ(SendOrders({3}), Details{"accepted"});
  }
  {
    SCOPED_TRACE("another holder has the lease but sent no order here");
    table_.token = 4;
    EXPECT_EQ(SendOrders({3}), Details{"stale_token"});
    EXPECT_EQ(orders_executed_, 1);
  }
  {
    SCOPED_TRACE("after the row is lost, older tokens are still refused");
    table_.token = 0;
    EXPECT_EQ(SendOrders({3, 4}), (Details{"stale_token", "accepted"}));
  }
}

TEST_F(StaleOrder, IsNotExecutedWhileTheTableCannotBeRead) {
  table_.token = 3;
  ASSERT_EQ(SendOrders({3}), Details{"accepted"});
  for (const auto error :
       {PlatformError::kUnavailable, PlatformError::kUnknown,
        PlatformError::kThrottled, PlatformError::kBadAnswer}) {
    SCOPED_TRACE(Name(error));
    table_.error = error;
    EXPECT_EQ(SendOrders({3}), Details{"current_token_unknown"});
  }
  {
    SCOPED_TRACE("the row can't be parsed");
    table_.error.reset();
    table_.body = "{}";
    EXPECT_EQ(SendOrders({3}), Details{"current_token_unknown"});
    EXPECT_EQ(orders_executed_, 1);
  }
  {
    SCOPED_TRACE("orders are executed again after the table has recovered");
    table_.body.clear();
    EXPECT_EQ(SendOrders({3}), Details{"accepted"});
  }
}

TEST_F(StaleOrder, IsCheckedAgainstATokenReadForThisOrder) {
  {
    SCOPED_TRACE("the token changes during a slow read");
    table_.token = 3;
    table_.before_answer = [this] { table_.token = 4; };
    EXPECT_EQ(SendOrders({3}), Details{"stale_token"});
    table_.before_answer = nullptr;
  }
  {
    SCOPED_TRACE("it changes after the read: that order is still executed");
    on_server = [this] { table_.token = 5; };
    EXPECT_EQ(SendOrders({4, 4}), (Details{"accepted", "stale_token"}));
    EXPECT_EQ(table_.reads, 3);
    EXPECT_EQ(orders_executed_, 1);
  }
}

}  // namespace
}  // namespace peridotgate::agent
