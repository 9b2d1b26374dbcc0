// A protocol towards servers with a request id only.
#ifndef GATEWAY_TESTS_PLAIN_PROTOCOL_H_
#define GATEWAY_TESTS_PLAIN_PROTOCOL_H_

#include <string>

#include "gateway/protocol.h"

namespace peridotgate::gateway {

class PlainProtocol : public ServerProtocol {
 public:
  void Prepare(RequestHead& /*head*/,
               const DispatchHead& /*with*/) const override {}
  ServerHead Read(const ResponseHead& head) const override {
    ServerHead read;
    read.request_id = std::string(head["Id"]);
    return read;
  }
  http::request<http::string_body> AskReport(
      const std::string& /*server_id*/) const override {
    return {};
  }
  std::optional<ServerReport> ReadReport(
      std::string_view /*body*/) const override {
    return std::nullopt;
  }
  http::request<http::string_body> MakeOrder(
      const std::string& /*server_id*/,
      const WeightsOrder& /*order*/) const override {
    return {};
  }
  OrderAnswer ReadOrderAnswer(unsigned /*status*/) const override {
    return OrderAnswer::kInvalid;
  }
  http::request<http::string_body> AskCacheChanges(
      std::int64_t /*since*/,
      Millis /*wait*/) const override {
    return {};
  }
  std::optional<CacheChanges> ReadCacheChanges(
      std::string_view /*body*/) const override {
    return std::nullopt;
  }
  void CleanAnswer(ResponseHead& /*head*/) const override {}
};

}  // namespace peridotgate::gateway

#endif  // GATEWAY_TESTS_PLAIN_PROTOCOL_H_
