#include "use_exchange.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/ids.h"
#include "wire/codec.h"

namespace peridotgate::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Changes within this time leave in one datagram.
constexpr std::chrono::milliseconds kLeastGather{4};
// The most datagrams that a gateway sends in a second, so that a small
// instance's processor and link are left to its callers: with more peers,
// changes are gathered for longer.
constexpr std::size_t kMostDatagramsPerSecond = 400;
// All that holds is told again, since datagrams are lost.
constexpr std::chrono::milliseconds kRepeat{600};
// The most gateways that are told; a fleet of hundreds tells its neighbours.
constexpr std::size_t kMostPeers = 32;
constexpr std::size_t kDatagramBytes = 64 << 10;

}  // namespace

struct UseExchange::Contents : std::enable_shared_from_this<Contents> {
  Contents(asio::io_context& context,
           const coordination::Clock& clock,
           ServerBook& book,
           runtime::Endpoint own)
      : clock(clock),
        book(book),
        own(std::move(own)),
        socket(context),
        timer(context),
        incarnation(static_cast<std::int64_t>(coordination::NewId().low >> 1)) {
  }

  const coordination::Clock& clock;
  ServerBook& book;
  runtime::Endpoint own;
  udp::socket socket;
  asio::steady_timer timer;
  std::int64_t incarnation;
  std::int64_t sequence = 0;
  std::vector<udp::endpoint> peers;
  std::map<std::string, ServerUse>
      told;              // What the peers were told, by server.
  TimePoint whole_at{};  // When they were told all of it.
  bool pending = false;  // A change waits to be told.
  std::vector<char> buf = std::vector<char>(kDatagramBytes);
  udp::endpoint sender;
  struct Last {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
  };
  std::map<std::string, Last> last;  // By peer.

  std::chrono::milliseconds Gather() const {
    const std::chrono::milliseconds paced(1000 * peers.size() /
                                          kMostDatagramsPerSecond);
    return std::max(kLeastGather, paced);
  }

  void Schedule(std::chrono::milliseconds after) {
    timer.expires_after(after);
    timer.async_wait([self = shared_from_this()](const error_code& ec) {
      if (!ec) {
        self->Tell();
      }
    });
  }

  void OnChange() {
    if (!pending && !peers.empty()) {
      pending = true;
      Schedule(Gather());
    }
  }

  // What differs from what the peers were told, or all that holds.
  std::vector<ServerUse> Changes(bool whole) {
    std::map<std::string, ServerUse> present;
    std::vector<ServerUse> changes;
    for (ServerUse& it : book.OwnUse()) {
      const auto known = told.find(it.server_id);
      if (whole || known == told.end() || !(known->second == it)) {
        changes.push_back(it);
      }
      present[it.server_id] = std::move(it);
    }
    for (const auto& [id, it] : told) {
      if (!whole && !present.contains(id)) {
        changes.push_back({id, 0, 0});
      }
    }
    told = std::move(present);
    return changes;
  }

  void Tell() {
    pending = false;
    const TimePoint now = clock.Now();
    const bool was_idle = told.empty();
    wire::UseNotice notice;
    notice.whole = now - whole_at >= kRepeat;
    notice.incarnation = incarnation;
    notice.sequence = ++sequence;
    for (const ServerUse& it : Changes(notice.whole)) {
      wire::ServerUse use;
      use.id = it.server_id;
      use.in_flight = it.in_flight;
      use.unread_tokens = it.unread_tokens;
      notice.uses.push_back(std::move(use));
    }
    for (SentPrompt& it : book.TakeSent()) {
      wire::SentPrompt prompt;
      prompt.server = std::move(it.server_id);
      prompt.parts.assign(it.parts.begin(), it.parts.end());
      prompt.tokens = std::move(it.tokens);
      notice.prompts.push_back(std::move(prompt));
    }
    whole_at = notice.whole ? now : whole_at;
    const std::string bytes = wire::EncodeStruct(notice);
    for (const udp::endpoint& it : peers) {
      error_code ignored;  // A lost notice is repeated.
      socket.send_to(asio::buffer(bytes), it, 0, ignored);
    }
    if (!was_idle || !told.empty()) {
      Schedule(kRepeat);
    }
  }

  void Receive() {
    socket.async_receive_from(
        asio::buffer(buf), sender,
        [self = shared_from_this()](const error_code& ec, std::size_t n) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          if (!ec) {
            self->Take({self->buf.data(), n});
          }
          self->Receive();
        });
  }

  void Take(std::string_view bytes) {
    auto notice = wire::DecodeStruct<wire::UseNotice>(bytes);
    if (!notice) {
      return;
    }
    const wire::UseNotice& it = notice.value();
    const std::string peer = sender.address().to_string();
    Last& known = last[peer];
    if (it.incarnation == known.incarnation && it.sequence <= known.sequence) {
      return;  // Overtaken by a newer one.
    }
    known = {it.incarnation, it.sequence};
    std::vector<ServerUse> uses;
    for (const wire::ServerUse& use : it.uses) {
      uses.push_back({use.id, use.in_flight, use.unread_tokens});
    }
    book.OnPeerUse(peer, uses, it.whole, clock.Now());
    std::vector<SentPrompt> prompts;
    for (const wire::SentPrompt& prompt : it.prompts) {
      prompts.push_back({prompt.server,
                         {prompt.parts.begin(), prompt.parts.end()},
                         prompt.tokens});
    }
    book.OnPeerSent(prompts, clock.Now());
  }
};

UseExchange::UseExchange(asio::io_context& context,
                         const coordination::Clock& clock,
                         ServerBook& book,
                         runtime::Endpoint own)
    : contents_(
          std::make_shared<Contents>(context, clock, book, std::move(own))) {}

UseExchange::~UseExchange() = default;

bool UseExchange::Listen(std::string& error) {
  Contents& it = *contents_;
  error_code ec;
  const auto address = asio::ip::make_address(it.own.address, ec);
  if (!ec) {
    const udp::endpoint endpoint(address, it.own.port);
    it.socket.open(endpoint.protocol(), ec);
    it.socket.bind(endpoint, ec);
  }
  if (ec) {
    error = runtime::ToString(it.own) + ": " + ec.message();
    return false;
  }
  it.socket.non_blocking(true, ec);
  it.Receive();
  return true;
}

void UseExchange::SetPeers(const std::vector<runtime::Endpoint>& peers) {
  contents_->peers.clear();
  for (const runtime::Endpoint& it : peers) {
    error_code ec;
    const auto address = asio::ip::make_address(it.address, ec);
    if (!ec && contents_->peers.size() < kMostPeers) {
      contents_->peers.emplace_back(address, it.port);
    }
  }
}

void UseExchange::OnChange() {
  contents_->OnChange();
}

}  // namespace peridotgate::gateway
