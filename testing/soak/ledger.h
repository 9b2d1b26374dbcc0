// Records what callers sent and what backend servers executed, and checks that
// the two are consistent.
#ifndef TESTING_SOAK_LEDGER_H_
#define TESTING_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "prove/report.h"

namespace peridotgate::soak {

/** Kind of a request, which decides whether it may be retried. */
enum class Kind { kStream, kUnsafe, kSafe };

/** A request as its caller sent it, and what became of it. */
struct SentRequest {
  Kind kind = Kind::kSafe;
  std::string path;
  std::string body;
  std::string organisation;
  int runs = 0;          // Executions on all servers.
  bool refused = false;  // The caller was told that it never executes.
};

/** All requests by id. Every event is checked when it is recorded. */
class Ledger {
 public:
  explicit Ledger(prove::Report& report) : report_(report) {}

  std::string Send(SentRequest request) {
    const std::string id = "soak-" + std::to_string(++last_id_);
    requests_[id] = std::move(request);
    report_.AddRequest();
    return id;
  }

  /** A server began to execute a request; arguments are as it received them. */
  void OnRun(const std::string& id,
             const std::string& path,
             const std::string& body,
             const std::string& organisation) {
    auto found = requests_.find(id);
    const bool known = found != requests_.end();
    report_.Check("only_what_was_asked_runs", known, id);
    if (!known) {
      return;
    }
    SentRequest& it = found->second;
    ++it.runs;
    const bool unchanged = it.path == path && it.body == body;
    report_.Check("runs_unchanged", unchanged, id + " " + path);
    report_.Check("names_the_organisation", it.organisation == organisation,
                  id + " " + organisation);
    report_.Check("unsafe_runs_once", it.kind != Kind::kUnsafe || it.runs == 1,
                  id);
    report_.Check("refused_never_runs", !IsRefusedUnsafe(it), id);
  }

  /** The response told the caller that the request never executes. */
  void OnRefused(const std::string& id) {
    SentRequest& it = requests_.at(id);
    it.refused = true;
    report_.Check("refused_never_runs", it.runs == 0 || !IsRefusedUnsafe(it),
                  id);
  }

 private:
  static bool IsRefusedUnsafe(const SentRequest& it) {
    return it.refused && it.kind == Kind::kUnsafe;
  }

  prove::Report& report_;
  std::map<std::string, SentRequest> requests_;
  std::uint64_t last_id_ = 0;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_LEDGER_H_
