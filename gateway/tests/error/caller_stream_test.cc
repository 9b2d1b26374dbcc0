// A disconnected caller must be detected even when bytes that it sent before
// were not read.
#include "caller_stream.h"

#include <gtest/gtest.h>
#include <boost/asio/write.hpp>

namespace peridotgate::gateway {
namespace {

using asio::ip::tcp;

struct Connection {
  Connection() {
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    caller.connect(acceptor.local_endpoint());
    stream = std::make_shared<CallerStream>(acceptor.accept());
  }

  asio::io_context context;
  tcp::socket caller{context};
  std::shared_ptr<CallerStream> stream;
};

TEST(CallerStream, DetectsACloseBehindUnreadBytes) {
  Connection connection;
  asio::write(connection.caller, asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
  {
    SCOPED_TRACE("unread bytes do not count as a close");
    EXPECT_FALSE(connection.stream->HasClosed());
    EXPECT_FALSE(connection.stream->gone());
  }
  connection.caller.close();
  while (!connection.stream->HasClosed()) {
  }
  EXPECT_TRUE(connection.stream->gone());
}

}  // namespace
}  // namespace peridotgate::gateway
