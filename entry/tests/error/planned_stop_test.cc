// An entry that stops on purpose passes on no call that it would cut, and
// leaves no call without an answer.
#include <array>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "../router_harness.h"
#include "entry/caller_server.h"
#include "runtime/digest.h"

namespace peridotgate::entry {
namespace {

using asio::ip::tcp;
using std::chrono::seconds;

constexpr std::int64_t kWaitLimitMs = 10000;

class PlannedStop : public testing::Test {
 protected:
  PlannedStop() {
    std::string error;
    EXPECT_TRUE(callers_.Listen(endpoint_, error)) << error;
    duty_.Start();
    wire::KindRules kind;
    kind.name = "book";
    kind.target = "service:ledger";
    kind.wait_limit_ms = kWaitLimitMs;
    wire::OrganisationRules organisation;
    organisation.name = "tailors";
    organisation.key_digests = {runtime::Sha256Hex("key")};
    organisation.default_kind = kind.name;
    organisation.kinds = {kind};
    const std::vector<coordination::Section> sections{
        {std::string(kOrganisationSection) + "tailors",
         wire::EncodeStruct(organisation), false, 1}};
    RunOnThread([&] {
      ClusterView view;
      view.rules = std::make_shared<const RulesBook>(1, sections);
      callers_.OnClusterView(std::move(view));
    });
  }
  ~PlannedStop() override { duty_.Stop(); }

  void RunOnThread(const std::function<void()>& work) {
    std::promise<void> done;
    asio::post(duty_.context(), [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect(tcp::endpoint(asio::ip::make_address(endpoint_.address),
                                 endpoint_.port));
    return socket;
  }

  static void SendBooking(tcp::socket& socket) {
    const std::string request =
        "POST /services/ledger/book HTTP/1.1\r\nHost: entry\r\n"
        "Authorization: Bearer key\r\nIdempotency-Key: cut-1\r\n"
        "Content-Length: 3\r\n\r\ncut";
    asio::write(socket, asio::buffer(request));
  }

  static std::string ReadHead(tcp::socket& socket) {
    std::string text;
    std::array<char, 1024> buf{};
    boost::system::error_code ec;
    while (!ec && text.find("\r\n\r\n") == std::string::npos) {
      text.append(buf.data(), socket.read_some(asio::buffer(buf), ec));
    }
    return text;
  }

  std::size_t Routed() {
    std::size_t n = 0;
    RunOnThread([&] { n = routed_; });
    return n;
  }

  // Waits until a call is passed on.
  bool WaitUntilRouted() {
    const auto end = clock_.Now() + seconds(5);
    while (Routed() == 0 && clock_.Now() < end) {
    }
    return Routed() > 0;
  }

  asio::io_context context_;
  runtime::Endpoint endpoint_ = FreeEndpoint(context_);
  runtime::Metrics metrics_;
  coordination::SteadyClock clock_;
  EntrySettings settings_;
  runtime::Duty duty_{"callers"};
  BurnLog burn_{clock_, metrics_};
  std::size_t routed_ = 0;
  runtime::Port<RouterCommand> commands_{
      duty_, 64, [this](RouterCommand&& it) {
        routed_ += std::holds_alternative<RouteCall>(it) ? 1 : 0;
      }};
  CallerServer callers_{duty_, settings_, clock_, commands_, burn_, metrics_};
};

TEST_F(PlannedStop, DoesNotPassOnALateCallThatItWouldCut) {
  tcp::socket late = Connect();
  tcp::socket in_time = Connect();
  RunOnThread([&] { callers_.StopAccepting(clock_.Now() + seconds(60)); });
  SendBooking(in_time);
  ASSERT_TRUE(WaitUntilRouted());
  RunOnThread([&] { callers_.StopAccepting(clock_.Now() + seconds(5)); });
  SendBooking(late);
  EXPECT_TRUE(ReadHead(late).starts_with("HTTP/1.1 503"));
  EXPECT_EQ(Routed(), 1U);
}

TEST_F(PlannedStop, AnswersABookingThatIsStillOpenAtTheEnd) {
  tcp::socket caller = Connect();
  SendBooking(caller);
  ASSERT_TRUE(WaitUntilRouted());
  RunOnThread([&] {
    callers_.StopAccepting(clock_.Now());
    callers_.EndCalls();
  });
  EXPECT_TRUE(ReadHead(caller).starts_with("HTTP/1.1 504"));
}

}  // namespace
}  // namespace peridotgate::entry
