// The settings change: a bound becomes a fraction. Later all processes, here
// the only one, are killed. Exits with 1 if less than a quarter of the requests
// is served later than `recover_s` after that.
#include <csignal>
#include <cstdlib>
#include <string>

#include "../common/scenario.h"

namespace review {
namespace {

constexpr int kRequests = 20;
constexpr Millis kReadyTime{10000};
// `recover_s` of brazos-line.
constexpr Millis kRecover{12000};
// The platform starts a process that has ended again after a short delay.
constexpr Millis kRestartDelay{500};

std::string Config() {
  constexpr std::int64_t kTimeoutMs = 800;
  constexpr std::int64_t kObjectiveMs = 150;
  return Configuration(
      1, {Route("/book/", "unsafe", "ledger", kTimeoutMs, kObjectiveMs)},
      {PlainService("ledger")}, {Tenant("tailors", "key-1", false)});
}

int CountServed(Record& record, const Gateway& gateway, const char* when) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    Request request;
    request.id = std::string("booking-") + when + "-" + std::to_string(i);
    request.path = "/book/x";
    request.key = "key-1";
    request.deadline_ms = 1500;
    request.body = "two slabs";
    const Answer answer = ExchangeOnce(gateway.port(), request);
    served += answer.status == 200 ? 1 : 0;
  }
  record.Add(std::string(when) + " the kill: " + std::to_string(served) +
             " of " + std::to_string(kRequests) + " bookings served");
  return served;
}

void Run(Record& record) {
  Store store;
  store.Put("op", "config", Config());
  Replica* self = nullptr;
  Replica replica(
      store, {.id = "i-a1", .service = "ledger", .models = {}},
      [&](const Message& request, const ConnectionPtr& connection) {
        connection->Write(Response(200, self->Headers(request), "booked"));
      });
  self = &replica;
  replica.Register();
  Gateway gateway("gateway-1", store.address(), record);
  if (!gateway.Start() || !gateway.WaitUntilReady(kReadyTime) ||
      CountServed(record, gateway, "before") != kRequests) {
    Finish(record, gateway, Verdict::kNotRun);
  }
  const std::string slack = Trouble() ? "58.5" : "58";
  gateway.WriteSettings(slack);
  record.Add("the settings are written anew, budget_slack is " + slack);
  gateway.Signal(SIGHUP);
  Sleep(Millis(1000));
  gateway.Kill();
  record.Add("all processes are killed");
  const auto end = Clock::now() + kRecover;
  bool running = false;
  while (Clock::now() < end) {
    running = gateway.Running();
    if (!running) {
      record.Add("no process runs, the platform starts it");
      gateway.Start();
    }
    Sleep(kRestartDelay);
  }
  record.Add("its output ends with: " + gateway.LastOutput());
  const int served = CountServed(record, gateway, "after");
  const bool broken = 4 * served < kRequests;
  Finish(record, gateway, broken ? Verdict::kBroken : Verdict::kHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  review::Run(record);
}
