// The callers of a soak run, which check every response.
#ifndef TESTING_SOAK_CALLERS_H_
#define TESTING_SOAK_CALLERS_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "runtime/http.h"
#include "soak/server_stand_in.h"

namespace peridotgate::soak {

/** How a request ended for its caller. */
enum class Outcome { kServed, kRefused, kFailed, kLost };

/** Sends requests to gateways and counts the outcomes. */
class Callers {
 public:
  Callers(SoakEnvironment& environment,
          std::vector<runtime::Endpoint> gateways);

  /** Runs one caller with its own connection until `ended` is true. */
  asio::awaitable<void> Run(std::uint64_t seed, const bool& ended);

  /** Sends one request to a gateway on a new connection. */
  asio::awaitable<Outcome> SendOne(std::size_t gateway, Kind kind);

  /** The status of a request to `path`, which only one rules version routes. */
  asio::awaitable<unsigned> Probe(std::size_t gateway, std::string path);

 private:
  runtime::HttpRequest MakeRequest(const std::string& id,
                                   const SentRequest& sent) const;
  asio::awaitable<Outcome> Send(runtime::HttpClient& client, Kind kind);
  Outcome CheckResponse(const std::string& id,
                        Kind kind,
                        const runtime::HttpResponse& response);

  SoakEnvironment& environment_;
  std::vector<runtime::Endpoint> gateways_;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_CALLERS_H_
