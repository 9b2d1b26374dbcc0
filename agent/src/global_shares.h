// Fair shares over all servers: an organisation that received less than its
// share overall gets a higher weight on this server.
#ifndef AGENT_GLOBAL_SHARES_H_
#define AGENT_GLOBAL_SHARES_H_

#include <string>
#include <unordered_map>

#include "wire/codec.h"

namespace peridotgate::agent {

/**
 * Sums the service of this server and, from reports, that of the others, and
 * derives a factor on each organisation's weight here. Service decays with each
 * period, so only the last seconds count.
 */
class GlobalShares {
 public:
  /** A call of `organisation` was queued here. */
  void OnQueued(const std::string& organisation, double weight);
  /** A call of `organisation` left the queue. */
  void OnDequeued(const std::string& organisation);

  /** Records service by this server. */
  void OnServed(const std::string& organisation, double cost);

  /**
   * Records service by other servers: either the current sums over all of them
   * (`kTotal`), which replace earlier reports, or that of one server in one
   * period, which is added.
   */
  void OnReport(const wire::ShareReport& report);

  /** Ends a period; returns the service in it, to report to other servers. */
  wire::ShareReport EndPeriod();

  /** Recent service of this server. */
  wire::ShareReport RecentService() const;

  /** Factor on the weight; 1 if the organisation received its fair share. */
  double WeightBoost(const std::string& organisation) const;

 private:
  struct Account {
    double weight = 0;  // 0 until the organisation sends calls to this server.
    double local = 0;
    double remote = 0;
    double period_service = 0;  // By this server in the current period.
    std::int64_t waiting = 0;
    double correction = 0;  // Log of a factor: the integral of past errors.
  };

  void ApplyTotals(const wire::ShareReport& report);
  void UpdateMeanError();
  void UpdateCorrections();
  double ShareError(const Account& account) const;
  double ProportionalGain() const;

  std::unordered_map<std::string, Account> accounts_;
  double mean_error_ = 0;
  bool has_totals_ = false;   // Other servers are reported as `kTotal` sums.
  std::int64_t waiting_ = 0;  // Sum over all accounts.
  std::int64_t next_period_ = 1;
  double periods_since_totals_ = 0;
  double mean_periods_between_totals_ = 1;
};

}  // namespace peridotgate::agent

#endif  // AGENT_GLOBAL_SHARES_H_
