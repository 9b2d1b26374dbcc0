// Tells other gateways what this one has at the backend servers, and takes
// what they tell: without it, gateways that prefer the same server for a
// prefix meet there unseen.
#ifndef GATEWAY_USE_EXCHANGE_H_
#define GATEWAY_USE_EXCHANGE_H_

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "coordination/clock.h"
#include "gateway/server_book.h"
#include "runtime/settings_reader.h"

namespace peridotgate::gateway {

/** Datagrams on the peers' address. Belongs to the traffic duty. */
class UseExchange {
 public:
  UseExchange(boost::asio::io_context& context,
              const coordination::Clock& clock,
              ServerBook& book,
              runtime::Endpoint own);
  ~UseExchange();

  /** Binds; false with `error` filled when the address can't be had. */
  bool Listen(std::string& error);
  void SetPeers(const std::vector<runtime::Endpoint>& peers);
  /** The own use changed: it is told within a few milliseconds. */
  void OnChange();

 private:
  struct Contents;
  std::shared_ptr<Contents> contents_;
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_USE_EXCHANGE_H_
