// Starts gateways with the command of the deploy file, each with settings as
// the template of the deploy file gives them in a small deployment.
#ifndef REVIEW_STAND_INS_3_GATEWAYS_H_
#define REVIEW_STAND_INS_3_GATEWAYS_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net.h"

namespace review {

struct Gateway {
  std::string name;
  std::string zone;
  std::string host;
  std::uint16_t callers = 0;
  std::uint16_t ready = 0;
  std::uint16_t peers = 0;
  std::uint16_t operators = 0;
  std::uint16_t store = 0;  // The port of the store, or of a proxy before it.
  pid_t pid = 0;
};

class Gateways {
 public:
  /** One gateway for each zone, on a loopback address of its own. */
  Gateways(std::string folder,
           const std::vector<std::string>& zones,
           Record& record);
  ~Gateways();
  Gateways(const Gateways&) = delete;
  Gateways& operator=(const Gateways&) = delete;

  std::vector<Gateway>& all() { return all_; }
  void SetStore(std::uint16_t port);
  void Start(Gateway& gateway);
  void Signal(const Gateway& gateway, int number) const;
  /** Whether the process ended by itself or by a signal; reaps it. */
  bool HasEnded(Gateway& gateway, int& status) const;
  /** Waits until all say that they are ready. */
  bool WaitUntilReady(Millis timeout) const;
  bool IsReady(const Gateway& gateway) const;

 private:
  std::string folder_;
  Record& record_;
  std::vector<Gateway> all_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_GATEWAYS_H_
