// Callers of a soak, who check every answer that they get.
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

/** How one attempt ended for its caller. */
enum class Outcome { kServed, kRefused, kFailed, kLost };

/** Sends requests to gateways through `address`, and counts outcomes. */
class Callers {
 public:
  Callers(Surroundings& around, std::vector<runtime::Endpoint> gateways);

  /** One caller with a connection of its own; until `ended`. */
  asio::awaitable<void> Run(std::uint64_t seed, const bool& ended);

  /** One request to one gateway on a new connection. */
  asio::awaitable<Outcome> One(std::size_t gateway, Kind kind);

  /** The status of a request on a path that one version of the rules has. */
  asio::awaitable<unsigned> Probe(std::size_t gateway, std::string path);

 private:
  runtime::HttpRequest MakeRequest(const std::string& id,
                                   const SentRequest& sent) const;
  asio::awaitable<Outcome> Send(runtime::HttpClient& client, Kind kind);
  Outcome Judge(const std::string& id,
                Kind kind,
                const runtime::HttpResponse& answer);

  Surroundings& around_;
  std::vector<runtime::Endpoint> gateways_;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_CALLERS_H_
