// What callers sent and what backend servers ran, and the promises that the
// two must keep together.
#ifndef TESTING_SOAK_LEDGER_H_
#define TESTING_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "prove/report.h"

namespace peridotgate::soak {

/** How a request may be treated. */
enum class Kind { kStream, kUnsafe, kSafe };

/** One attempt of a caller. */
struct SentRequest {
  Kind kind = Kind::kSafe;
  std::string path;
  std::string body;
  std::string organisation;
  int runs = 0;          // At all servers.
  bool refused = false;  // Its caller was promised that it never runs.
};

/** Every attempt by its id; checks as things happen, and at the end. */
class Ledger {
 public:
  explicit Ledger(prove::Report& report) : report_(report) {}

  std::string Send(SentRequest request) {
    const std::string id = "soak-" + std::to_string(++last_);
    requests_[id] = std::move(request);
    report_.AddRequest();
    return id;
  }

  /** A server began to run a request as it arrived there. */
  void OnRun(const std::string& id,
             const std::string& path,
             const std::string& body,
             const std::string& organisation) {
    auto found = requests_.find(id);
    const bool asked = found != requests_.end();
    report_.Check("only_what_was_asked_runs", asked, id);
    if (!asked) {
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

  /** The caller was told that the request has not run and never will. */
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
  std::uint64_t last_ = 0;
};

}  // namespace peridotgate::soak

#endif  // TESTING_SOAK_LEDGER_H_
