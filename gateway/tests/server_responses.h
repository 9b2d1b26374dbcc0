// A connection to a server whose responses arrive in pieces.
#ifndef GATEWAY_TESTS_SERVER_RESPONSES_H_
#define GATEWAY_TESTS_SERVER_RESPONSES_H_

#include <memory>
#include <optional>
#include <string>

#include "coordination/clock.h"
#include "http/piecewise.h"
#include "plain_protocol.h"
#include "server_connection.h"

namespace peridotgate::gateway {

/** Reads responses as an exchange does; keeps the connection where it can. */
class ServerResponses {
 public:
  // The request that the connection asks for.
  static constexpr std::string_view kRequestId = "own";
  static constexpr std::chrono::seconds kTimeout{2};

  /** The body that the gateway accepts as complete. Sets `finished` to false if
   * the connection neither completes nor fails. */
  std::optional<std::string> Receive(const runtime::Pieces& response,
                                     bool close,
                                     bool& finished) {
    std::optional<std::string> body;
    finished = server_.Serve(Read(body), response, close);
    if (!finished || (connection_ && !connection_->reusable())) {
      connection_.reset();
    }
    return body;
  }

 private:
  asio::awaitable<void> Read(std::optional<std::string>& body) {
    const TimePoint deadline = clock_.Now() + kTimeout;
    if (connection_ && connection_->stale(clock_.Now())) {
      connection_.reset();
    }
    if (!connection_) {
      connection_.emplace(context_, clock_, protocol_);
      const auto connected =
          co_await connection_->Connect(server_.endpoint(), Millis(1000));
      if (!connected) {
        co_return;
      }
    }
    connection_->Send("GET / HTTP/1.1\r\n\r\n",
                      std::make_shared<HeldBody>(HeldBody{
                          "", BufferShare(account_, BufferKind::kBody)}));
    const auto head = co_await connection_->ReadHead(
        kRequestId, false, deadline, [](const ResponseHead&) {});
    if (!head) {
      co_return;
    }
    std::string received;
    bool last = false;
    while (!last) {
      const auto piece = co_await connection_->ReadPiece(deadline);
      if (!piece) {
        co_return;
      }
      received += piece.value().bytes;
      last = piece.value().last;
    }
    connection_->set_idle_since(clock_.Now());
    body = std::move(received);
  }

  asio::io_context context_;
  coordination::SteadyClock clock_;
  PlainProtocol protocol_;
  GatewaySettings settings_;
  std::shared_ptr<BufferAccount> account_ =
      std::make_shared<BufferAccount>(settings_);
  runtime::PiecewiseServer server_{context_};
  std::optional<ServerConnection> connection_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TESTS_SERVER_RESPONSES_H_
