// TCP connections and UDP datagrams that carry wire messages between processes.
#ifndef WIRE_LINK_H_
#define WIRE_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "runtime/metrics.h"
#include "runtime/settings_reader.h"
#include "wire/codec.h"

namespace peridotgate::wire {

namespace asio = boost::asio;

/** Unsent bytes above which a peer is considered stalled and disconnected. */
inline constexpr std::size_t kMaxUnsentBytes = 32 << 20;

/**
 * A connection to a peer. Not thread-safe: use on one io_context only.
 * `on_message` receives messages in order; `on_close` is called exactly once,
 * whichever side closes the connection.
 */
class Link : public std::enable_shared_from_this<Link> {
 public:
  using OnMessage = std::function<void(Link&, Message&&)>;
  using OnClose = std::function<void(Link&)>;

  /** Creates a link over an accepted socket. */
  static std::shared_ptr<Link> FromSocket(asio::ip::tcp::socket socket,
                                          runtime::Metrics& metrics);

  /**
   * Creates a link that connects to `peer`. Messages sent before the connection
   * is established are queued.
   */
  static std::shared_ptr<Link> Connecting(asio::io_context& context,
                                          runtime::Endpoint peer,
                                          runtime::Metrics& metrics);
  ~Link();

  /** Connects if necessary and starts reading. Call once. */
  void Start(OnMessage on_message, OnClose on_close);

  /**
   * Queues a message. Returns false when the link is closed, or is closed now
   * because more than `kMaxUnsentBytes` are unsent.
   */
  bool Send(const Message& message);

  /** Closes the connection and discards unsent messages. */
  void Close();

  bool closed() const;

  /**
   * Whether the connection was ever established. If not, the peer received
   * nothing.
   */
  bool was_connected() const;

  /**
   * Whether all queued messages were written to the socket, or the link is
   * closed.
   */
  bool drained() const;

  /** An identifier of the link that is unique in this process. */
  std::uint64_t number() const;

 private:
  Link();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Listens on an address and creates a `Link` for each connection. */
class LinkListener {
 public:
  using OnLink = std::function<void(const std::shared_ptr<Link>&)>;

  LinkListener(asio::io_context& context,
               runtime::Metrics& metrics,
               OnLink on_link);
  ~LinkListener();

  /** Binds and listens. On failure returns false and sets `error`. */
  bool Listen(const runtime::Endpoint& endpoint, std::string& error);
  /** The bound port; useful when `endpoint` had port 0. */
  std::uint16_t port() const;
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/** A UDP socket. Datagrams that can't be decoded are counted and dropped. */
class DatagramSocket {
 public:
  using OnMessage =
      std::function<void(const asio::ip::udp::endpoint&, Message&&)>;

  DatagramSocket(asio::io_context& context,
                 runtime::Metrics& metrics,
                 OnMessage on_message);
  ~DatagramSocket();

  bool Listen(const runtime::Endpoint& endpoint, std::string& error);

  /**
   * Sends without queueing. Returns false when the message is larger than
   * `kMaxDatagramBytes` or the send fails.
   */
  bool SendTo(const asio::ip::udp::endpoint& peer, const Message& message);
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/** Converts `endpoint` to an asio UDP endpoint. */
asio::ip::udp::endpoint ToUdp(const runtime::Endpoint& endpoint);

}  // namespace peridotgate::wire

#endif  // WIRE_LINK_H_
