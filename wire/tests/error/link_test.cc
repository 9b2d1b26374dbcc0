// Messages on a connection arrive in order; a peer that sends malformed bytes
// is counted and disconnected.
#include "wire/link.h"

#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace peridotgate::wire {
namespace {

using asio::ip::tcp;

constexpr const char* kLoopback = "127.0.0.1";

class LinkTest : public testing::Test {
 protected:
  LinkTest()
      : listener_(context_, metrics_, [this](const std::shared_ptr<Link>& it) {
          Accept(it);
        }) {
    std::string error;
    EXPECT_TRUE(listener_.Listen({kLoopback, 0}, error)) << error;
  }

  void Accept(const std::shared_ptr<Link>& link) {
    links_.push_back(link);
    link->Start(
        [this](Link& /*from*/, Message&& message) {
          received_.push_back(std::move(message));
        },
        [this](Link& /*closed*/) { ++closed_; });
  }

  // Runs the event loop until `done` returns true, within a bounded number of
  // turns.
  template <class Done>
  bool RunUntil(Done done) {
    constexpr int kTurns = 2000;
    for (int i = 0; i < kTurns && !done(); ++i) {
      context_.run_for(std::chrono::milliseconds(5));
      context_.restart();
    }
    return done();
  }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address(kLoopback), listener_.port()});
    return socket;
  }

  asio::io_context context_{1};
  runtime::Metrics metrics_;
  LinkListener listener_;
  std::vector<std::shared_ptr<Link>> links_;
  std::vector<Message> received_;
  int closed_ = 0;
};

TEST_F(LinkTest, MessagesArriveInOrder) {
  auto link =
      Link::Connecting(context_, {kLoopback, listener_.port()}, metrics_);
  link->Start([](Link&, Message&&) {}, [](Link&) {});
  constexpr int kMessages = 500;
  for (int i = 0; i < kMessages; ++i) {
    ReplyChunk chunk;
    chunk.sequence = i;
    chunk.data = std::string(static_cast<std::size_t>(i * 7), 'x');
    ASSERT_TRUE(link->Send(chunk));
  }
  ASSERT_TRUE(RunUntil([&] { return received_.size() == kMessages; }));
  for (int i = 0; i < kMessages; ++i) {
    EXPECT_EQ(
        std::get<ReplyChunk>(received_[static_cast<std::size_t>(i)]).sequence,
        i);
  }
  link->Close();
  RunUntil([&] { return closed_ == 1; });
}

TEST_F(LinkTest, DisconnectsPeersThatSendMalformedBytes) {
  auto expect_disconnect = [&](const std::string& bytes, int nth) {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(bytes));
    EXPECT_TRUE(RunUntil([&] { return closed_ == nth; }));
  };
  {
    SCOPED_TRACE("a frame length over the limit");
    expect_disconnect(std::string("\x7f\xff\xff\xff", 4), 1);
  }
  {
    SCOPED_TRACE("a different protocol version");
    std::string frame;
    AppendFrame(Cancel(), frame);
    frame[kLengthBytes] = kProtocol + 1;
    expect_disconnect(frame, 2);
  }
  {
    SCOPED_TRACE("a message with a malformed body");
    std::string frame;
    AppendFrame(Cancel(), frame);
    expect_disconnect(
        frame.substr(0, 4) + std::string(frame.size() - 4, '\x01'), 3);
  }
  EXPECT_EQ(metrics_.GetCounter("peridotgate_wire_malformed_total").value(),
            3U);
  EXPECT_TRUE(received_.empty());
}

}  // namespace
}  // namespace peridotgate::wire
