#include "caller_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include "tcp_options.h"

namespace peridotgate::gateway {
namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// How long a caller may leave a response unread.
constexpr Millis kWriteTimeout{10000};
constexpr std::string_view kLineEnd = "\r\n";

std::string Chunk(std::string_view bytes) {
  std::array<char, 20> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  std::string text(size.data(), end.ptr);
  text.append(kLineEnd).append(bytes).append(kLineEnd);
  return text;
}

}  // namespace

std::string FormatHead(const ResponseHead& head) {
  std::string text = "HTTP/1.1 ";
  text += std::to_string(head.result_int());
  text += ' ';
  text += head.reason();
  text += kLineEnd;
  for (const auto& it : head) {
    text.append(it.name_string()).append(": ").append(it.value());
    text += kLineEnd;
  }
  return text;
}

CallerStream::CallerStream(asio::ip::tcp::socket socket)
    : stream_(std::move(socket)) {
  SetTcpOptions(stream_.socket());
}

asio::awaitable<bool> CallerStream::Send(const ResponseHead& head,
                                         std::string_view body,
                                         bool keep,
                                         bool body_expected) {
  std::string text = FormatHead(head);
  if (!keep) {
    text += "Connection: close\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size());
  text.append(kLineEnd).append(kLineEnd);
  co_return co_await WriteAll(std::move(text), body_expected ? body : "");
}

asio::awaitable<bool> CallerStream::BeginChunks(const ResponseHead& head,
                                                std::string_view bytes,
                                                bool keep) {
  std::string text = FormatHead(head);
  if (!keep) {
    text += "Connection: close\r\n";
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  if (!bytes.empty()) {
    text += Chunk(bytes);
  }
  co_return co_await WriteAll(std::move(text));
}

asio::awaitable<bool> CallerStream::WriteChunk(std::string_view bytes) {
  co_return co_await WriteAll(Chunk(bytes));
}

asio::awaitable<bool> CallerStream::EndChunks() {
  co_return co_await WriteAll("0\r\n\r\n");
}

asio::awaitable<bool> CallerStream::WriteAll(std::string text,
                                             std::string_view body) {
  using Buffers = std::array<asio::const_buffer, 2>;
  if (gone_ || aborted_) {
    co_return false;
  }
  beast::buffers_suffix<Buffers> rest(
      Buffers{asio::buffer(text), asio::buffer(body)});
  beast::error_code ec;
  const std::size_t taken = stream_.socket().write_some(rest, ec);
  rest.consume(ec ? 0 : taken);
  if (!ec && beast::buffer_bytes(rest) == 0) {
    co_return true;
  }
  if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
    gone_ = true;
    co_return false;
  }
  stream_.expires_after(kWriteTimeout);
  auto [failed, n] = co_await asio::async_write(stream_, rest, kNoThrow);
  stream_.expires_never();
  gone_ = gone_ || static_cast<bool>(failed);
  co_return !failed;
}

void CallerStream::Abort() {
  aborted_ = true;
  beast::error_code ignored;
  stream_.socket().close(ignored);
}

bool CallerStream::HasClosed() {
  pollfd poll_fd{stream_.socket().native_handle(), POLLRDHUP, 0};
  constexpr short kClosed = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;
  const bool closed =
      ::poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & kClosed) != 0;
  gone_ = gone_ || closed;
  return gone_;
}

void CallerStream::Watch(std::function<void()> gone) {
  on_gone_ = std::move(gone);
  if (buf_.size() == 0 && !watching_) {
    WaitForClose();
  }
}

void CallerStream::StopWatching() {
  on_gone_ = nullptr;
  if (watching_) {
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
  }
}

void CallerStream::WaitForClose() {
  watching_ = true;
  stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](beast::error_code ec) {
        self->watching_ = false;
        if (ec || !self->on_gone_) {
          return;
        }
        char byte = 0;
        const auto n = ::recv(self->stream_.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
        if (n > 0) {
          // The next request arrived, so the caller is still connected.
          return;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
          self->WaitForClose();
          return;
        }
        self->gone_ = true;
        std::exchange(self->on_gone_, nullptr)();
      });
}

}  // namespace peridotgate::gateway
