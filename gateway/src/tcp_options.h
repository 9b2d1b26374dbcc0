// Socket options of all connections: no delay for small writes, and detection
// of silent peers.
#ifndef GATEWAY_TCP_OPTIONS_H_
#define GATEWAY_TCP_OPTIONS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

namespace peridotgate::gateway {

// A connection is closed when data stays unacknowledged for this time, in
// milliseconds: well over a round trip between data centres and a few
// retransmissions.
inline constexpr int kTcpUserTimeoutMs = 3000;
// Keep-alive probes of an idle connection, in seconds and number.
inline constexpr int kKeepAliveIdleS = 2;
inline constexpr int kKeepAliveIntervalS = 1;
inline constexpr int kKeepAliveProbes = 2;

/** Sets the options; ignores those that the system refuses. */
inline void SetTcpOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.non_blocking(true, ignored);
  const int fd = socket.native_handle();
  const auto set = [fd](int name, int value) {
    (void)::setsockopt(fd, IPPROTO_TCP, name, &value, sizeof(value));
  };
  set(TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  set(TCP_KEEPIDLE, kKeepAliveIdleS);
  set(TCP_KEEPINTVL, kKeepAliveIntervalS);
  set(TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TCP_OPTIONS_H_
