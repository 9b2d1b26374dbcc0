#include "scenario.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string_view>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr Millis kReadyPoll{50};
// From brazos-line: memory of a front machine, bounds, store.
constexpr std::string_view kSettings =
    "stop_within_ms: 8000\nseeds: []\norders:\n  lease_ms: 3000\n  "
    "deadline_ms: 10000\n"
    "limits:\n  memory_mb: 110\n  cores: 0.19\n";
constexpr const char* kRetrySlack = "58";

std::string Env(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

}  // namespace

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n", Seconds(), line.c_str());
  std::fflush(file_);
}

Gateway::Gateway(std::string name, const std::string& store, Record& record)
    : name_(std::move(name)),
      store_(store),
      record_(record),
      callers_(FreePort("127.0.0.1")),
      readiness_(FreePort("127.0.0.1")),
      peers_(FreePort("127.0.0.1")),
      operators_(FreePort("127.0.0.1")) {
  const std::string folder = Env("REVIEW_TMP", "/tmp");
  settings_ = folder + "/" + name_ + ".yaml";
  log_ = folder + "/" + name_ + ".log";
  WriteSettings(kRetrySlack);
}

void Gateway::WriteSettings(const std::string& retry_slack) {
  std::ofstream file(settings_);
  const auto listen = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port) + "\n";
  };
  file << "instance: " << name_ << "\ndata_centre: zone-a\nlisten:\n"
       << "  callers: " << listen(callers_)
       << "  readiness: " << listen(readiness_) << "  peers: " << listen(peers_)
       << "  operators: " << listen(operators_) << "store: " << store_
       << "\nretries:\n  ratio: 0.2\n  slack: " << retry_slack << "\n"
       << kSettings;
}

std::string Gateway::LastOutput() const {
  std::ifstream file(log_);
  std::string last;
  std::string line;
  while (std::getline(file, line)) {
    last = line;
  }
  const std::size_t at = last.find(settings_);
  if (at != std::string::npos) {
    last.replace(at, settings_.size(), "SETTINGS");
  }
  return last;
}

void Gateway::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Gateway::Start() {
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const std::string program =
        Env("PERIDOTGATE", "target/operate/peridotgate");
    ::execl(program.c_str(), program.c_str(), "gateway", "--settings",
            settings_.c_str(), nullptr);
    std::_Exit(127);
  }
  record_.Add("started gateway " + name_);
  return pid_ > 0;
}

void Gateway::Signal(int signal) {
  record_.Add("signal " + std::to_string(signal) + " to " + name_);
  ::kill(pid_, signal);
}

bool Gateway::Running() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) != 0) {
    pid_ = -1;
  }
  return pid_ > 0;
}

double Gateway::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      constexpr double kKbPerMb = 1024;
      return std::strtod(line.c_str() + 6, nullptr) / kKbPerMb;
    }
  }
  return 0;
}

bool Gateway::WaitUntilReady(Millis time) const {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    Request request;
    request.method = "GET";
    request.path = "/v1/ready";
    if (ExchangeOnce(readiness_, request).status == 200) {
      return true;
    }
    Sleep(kReadyPoll);
  }
  return false;
}

Answer Exchange(Connection& connection, const Request& request) {
  std::string text = request.method + " " + request.path +
                     " HTTP/1.1\r\nHost: " + kHost + "\r\n";
  if (!request.id.empty()) {
    text += "Peridotgate-Request-Id: " + request.id + "\r\n";
    text += "Peridotgate-Deadline-Ms: " + std::to_string(request.deadline_ms) +
            "\r\n";
  }
  if (!request.key.empty()) {
    text += "Authorization: Token " + request.key + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n" + request.body;
  Answer answer;
  Message message;
  connection.SetReadTimeout(Millis(request.deadline_ms));
  if (!connection.Write(text) || !connection.ReadHead(message)) {
    return answer;
  }
  answer.status = std::atoi(message.Word(1).c_str());
  answer.seal = message.Header("Peridotgate-Server-Seal");
  answer.version =
      std::atoll(message.Header("Peridotgate-Weight-Versions").c_str());
  answer.complete = connection.ReadBody(message);
  answer.body = std::move(message.body);
  return answer;
}

Answer ExchangeOnce(std::uint16_t port, const Request& request) {
  const ConnectionPtr connection = Connection::Open("127.0.0.1", port);
  return connection ? Exchange(*connection, request) : Answer();
}

json::object Route(const std::string& prefix,
                   const std::string& kind,
                   const std::string& service,
                   std::int64_t timeout_ms,
                   std::int64_t slo_ms) {
  const bool streamed = kind == "stream";
  json::object route{{"name", "r" + prefix},
                     {"host", kHost},
                     {"prefix", prefix},
                     {"kind", kind},
                     {"timeout_ms", timeout_ms},
                     {"slo_ms", slo_ms},
                     {"priority", 1},
                     {"service", service},
                     {"attempts", kind == "unsafe" ? 1 : 2},
                     {"public", false},
                     {"sticky", streamed},
                     {"can_resume", streamed}};
  if (streamed) {
    route["gap_target_ms"] = 300;
  }
  return route;
}

json::object EngineService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_conns", 370},
          {"protocol", "h1"},
          {"tls", false},
          {"engine", json::object{{"slots", 64},
                                  {"kv_tokens", 117426},
                                  {"kv_token_bytes", 18432},
                                  {"link_mbps", 130000}}}};
}

json::object PlainService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_conns", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

json::object Tenant(const std::string& name,
                    const std::string& key,
                    bool dedicated) {
  return {
      {"name", name}, {"api_keys", json::array{key}}, {"dedicated", dedicated}};
}

std::string Configuration(std::int64_t version,
                          json::array routes,
                          json::array services,
                          json::array tenants) {
  return json::serialize(
      json::object{{"version", version},
                   {"routes", std::move(routes)},
                   {"services", std::move(services)},
                   {"tenants", std::move(tenants)},
                   {"limits", json::object{{"max_header_bytes", 16384},
                                           {"max_body_bytes", 4194304},
                                           {"header_timeout_ms", 3000},
                                           {"idle_timeout_ms", 15000}}}});
}

void Finish(Record& record, Gateway& gateway, Verdict verdict) {
  gateway.Kill();
  record.Add("exit " + std::to_string(static_cast<int>(verdict)));
  std::_Exit(static_cast<int>(verdict));
}

bool Trouble() {
  return Env("TROUBLE", "1") != "0";
}

void Sleep(Millis time) {
  std::this_thread::sleep_for(time);
}

}  // namespace review
