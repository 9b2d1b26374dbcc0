#include "stand_ins.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

namespace review {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Base64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8U;
      if (i + j < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + j]);
      }
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool used = i + j <= bytes.size();
      text += used ? kAlphabet[(group >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string Lower(std::string text) {
  for (char& it : text) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return text;
}

std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find("?" + name + "=");
  at = at == std::string::npos ? target.find("&" + name + "=") : at;
  if (at == std::string::npos) {
    return {};
  }
  at += name.size() + 2;
  return target.substr(at, target.find_first_of("& ", at) - at);
}

bool ReadMore(int fd, std::string& rest) {
  std::array<char, 16384> piece{};
  const ssize_t n = ::recv(fd, piece.data(), piece.size(), 0);
  if (n <= 0) {
    return false;
  }
  rest.append(piece.data(), static_cast<std::size_t>(n));
  return true;
}

// The body of a chunked message; false if it ended too soon.
bool ReadChunks(int fd, std::string& rest, std::string& body) {
  while (true) {
    std::size_t end = rest.find("\r\n");
    while (end == std::string::npos) {
      if (!ReadMore(fd, rest)) {
        return false;
      }
      end = rest.find("\r\n");
    }
    const std::size_t size = std::strtoul(rest.c_str(), nullptr, 16);
    while (rest.size() < end + 2 + size + 2) {
      if (!ReadMore(fd, rest)) {
        return false;
      }
    }
    body += rest.substr(end + 2, size);
    rest.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

sockaddr_in Address(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

bool IsFree(const std::string& host, int port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(host, port);
  const bool free =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return free;
}

// The first of four successive ports that are free at the addresses of the
// gateways. They lie below the range for outgoing connections.
int FindPorts() {
  constexpr int kFirst = 20000;
  constexpr int kLast = 32000;
  constexpr int kPorts = 4;
  for (int port = kFirst + ::getpid() % 1000 * kPorts; port < kLast;
       port += kPorts) {
    bool free = true;
    for (const char* host : {"127.0.0.2", "127.0.0.3", "127.0.0.4"}) {
      for (int i = 0; i < kPorts; ++i) {
        free = free && IsFree(host, port + i, SOCK_STREAM) &&
               IsFree(host, port + i, SOCK_DGRAM);
      }
    }
    if (free) {
      return port;
    }
  }
  std::exit(2);
}

// The objects of a JSON array of flat objects.
std::vector<std::string> ObjectsIn(const std::string& json,
                                   const std::string& name) {
  std::vector<std::string> objects;
  std::size_t at = json.find("\"" + name + "\":[");
  if (at == std::string::npos) {
    return objects;
  }
  const std::size_t last = json.find(']', at);
  while ((at = json.find('{', at)) < last) {
    const std::size_t end = json.find('}', at);
    objects.push_back(json.substr(at, end - at + 1));
    at = end;
  }
  return objects;
}

}  // namespace

Record::Record(const std::string& path) : file_(path) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Add(const std::string& line) {
  std::array<char, 32> time{};
  (void)std::snprintf(time.data(), time.size(), "%8.3f ", Seconds());
  const std::lock_guard lock(mutex_);
  file_ << time.data() << line << std::endl;
}

std::string Message::Get(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::optional<Message> ReadMessage(int fd, std::string& rest, bool response) {
  std::size_t end = rest.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(fd, rest)) {
      return std::nullopt;
    }
    end = rest.find("\r\n\r\n");
  }
  Message message;
  std::string head = rest.substr(0, end + 2);
  rest.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  message.start_line = head.substr(0, at);
  at += 2;
  while (at < head.size()) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields[Lower(line.substr(0, colon))] = value;
    }
    at = line_end + 2;
  }
  if (Lower(message.Get("transfer-encoding")) == "chunked") {
    if (!ReadChunks(fd, rest, message.body)) {
      return std::nullopt;
    }
    return message;
  }
  const std::string length = message.Get("content-length");
  if (length.empty() && response) {
    while (ReadMore(fd, rest)) {
    }
    message.body = std::exchange(rest, {});
    return message;
  }
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (rest.size() < size) {
    if (!ReadMore(fd, rest)) {
      return std::nullopt;
    }
  }
  message.body = rest.substr(0, size);
  rest.erase(0, size);
  return message;
}

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string MakeResponse(int status,
                         const std::string& body,
                         const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(const std::string& host, int port, Handler handler)
    : handler_(std::move(handler)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Address(host, port);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 512;
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(listener_, kBacklog) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  std::unique_lock lock(mutex_);
  for (const int fd : open_) {
    ::shutdown(fd, SHUT_RDWR);
  }
  closed_.wait(lock, [this] { return open_.empty(); });
}

void Server::Accept() {
  while (!stopping_) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  std::string rest;
  while (!stopping_) {
    const auto request = ReadMessage(fd, rest, false);
    const auto answer = request ? handler_(*request) : std::nullopt;
    if (!answer || !WriteAll(fd, *answer)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  ::close(fd);
  open_.erase(fd);
  closed_.notify_all();
}

RowStore::RowStore()
    : server_(std::make_unique<Server>(
          "127.0.0.1",
          0,
          [this](const Message& request) { return Handle(request); })) {}

void RowStore::Put(const std::string& table,
                   const std::string& key,
                   const std::string& value) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {Base64(value), ++version_, false};
  changed_.notify_all();
}

void RowStore::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {"", ++version_, true};
  changed_.notify_all();
}

std::string RowStore::Rows(const std::string& table,
                           std::int64_t after,
                           bool removed_too) {
  std::string rows;
  for (const auto& [key, row] : tables_[table]) {
    if (row.version <= after || (row.removed && !removed_too)) {
      continue;
    }
    rows += rows.empty() ? "" : ",";
    rows.append(R"({"table":")").append(table);
    rows.append(R"(","part":"","key":")").append(key);
    rows.append(R"(","value":")").append(row.value);
    rows.append(R"(","ver":)").append(std::to_string(row.version));
    rows += row.removed ? R"(,"removed":true})" : "}";
  }
  return rows;
}

std::string RowStore::Tail() const {
  const auto now =
      std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch());
  return "\"ver\":" + std::to_string(version_) +
         ",\"now_ms\":" + std::to_string(now.count()) + "}";
}

std::string RowStore::Transact(const std::string& body) {
  for (const std::string& it : ObjectsIn(body, "expected")) {
    const auto& table = tables_[TextIn(it, "table")];
    const auto found = table.find(TextIn(it, "key"));
    const bool held = found != table.end() && !found->second.removed;
    if ((held ? found->second.version : 0) != NumberIn(it, "ver")) {
      return MakeResponse(412, "{\"rows\":[]," + Tail());
    }
  }
  ++version_;
  for (const std::string& it : ObjectsIn(body, "writes")) {
    tables_[TextIn(it, "table")][TextIn(it, "key")] = {TextIn(it, "value"),
                                                       version_, false};
  }
  changed_.notify_all();
  return MakeResponse(200, "{" + Tail());
}

std::optional<std::string> RowStore::Handle(const Message& request) {
  const std::string target =
      request.start_line.substr(request.start_line.find(' ') + 1);
  std::unique_lock lock(mutex_);
  if (target.starts_with("/v1/rows-tx")) {
    return Transact(request.body);
  }
  const std::string table = Query(target, "table");
  if (target.starts_with("/v1/rows-get")) {
    return MakeResponse(200, "{\"rows\":[" + Rows(table, 0, false) +
                                 "],\"truncated\":false," + Tail());
  }
  if (target.starts_with("/v1/rows-feed")) {
    const std::int64_t after = std::atoll(Query(target, "after").c_str());
    const Millis wait(std::atoll(Query(target, "wait_ms").c_str()));
    std::string rows;
    changed_.wait_for(lock, wait, [&] {
      rows = Rows(table, after, true);
      return !rows.empty();
    });
    return MakeResponse(200, "{\"rows\":[" + rows + "]," + Tail());
  }
  return MakeResponse(404, "{}");
}

int Gateway::CallersPort() {
  static const int port = FindPorts();
  return port;
}

Gateway::Gateway(const std::string& host,
                 const std::string& name,
                 int store_port,
                 const std::vector<std::string>& seeds,
                 int memory_mb,
                 int descriptors)
    : host_(host) {
  const char* folder = std::getenv("REVIEW_TEMP");
  const std::string base =
      std::string(folder == nullptr ? "/tmp" : folder) + "/" + name;
  const std::string settings = base + ".yaml";
  std::string listed;
  for (const std::string& it : seeds) {
    listed +=
        (listed.empty() ? "" : ",") + it + ":" + std::to_string(PeersPort());
  }
  std::ofstream(settings)
      << "instance: " << name
      << "\ndata_centre: porto-a\nlisten:\n  callers: " << host << ":"
      << CallersPort() << "\n  readiness: " << host << ":" << ReadyPort()
      << "\n  peers: " << host << ":" << PeersPort()
      << "\n  operators: " << host << ":" << OperatorsPort()
      << "\nstop_within_ms: 8e3\nstore: 127.0.0.1:" << store_port
      << "\nseeds: [" << listed
      << "]\nretries:\n  ratio: 0.2\n  slack: 56\norders:\n  lease_ms: 3000\n"
         "  deadline_ms: 10000\nlimits:\n  memory_mb: "
      << memory_mb << "\n  cores: 0.19\n";
  const std::string log = base + ".log";
  const char* program = std::getenv("PERIDOTGATE");
  const std::string path =
      program == nullptr ? "target/operate/peridotgate" : program;
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(127);
    }
    const rlimit limit{static_cast<rlim_t>(descriptors),
                       static_cast<rlim_t>(descriptors)};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    FILE* out = std::fopen(log.c_str(), "a");
    ::dup2(::fileno(out), 1);
    ::dup2(::fileno(out), 2);
    ::execl(path.c_str(), path.c_str(), "gateway", "--settings",
            settings.c_str(), nullptr);
    ::_exit(127);
  }
}

Gateway::~Gateway() {
  if (Runs()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
  }
}

void Gateway::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

bool Gateway::Runs() {
  if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

std::int64_t Gateway::ResidentKb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atoll(line.c_str() + 6);
    }
  }
  return 0;
}

bool Gateway::WaitUntilReady(Millis limit) const {
  const auto end = Clock::now() + limit;
  while (Clock::now() < end) {
    const auto answer =
        Ask(host_, ReadyPort(), "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n",
            Millis(500));
    if (StatusOf(answer) == 200) {
      return true;
    }
    std::this_thread::sleep_for(Millis(100));
  }
  return false;
}

int Connect(const std::string& host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(host, port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

std::optional<Message> Ask(const std::string& host,
                           int port,
                           const std::string& request,
                           Millis limit) {
  const int fd = Connect(host, port);
  if (fd < 0) {
    return std::nullopt;
  }
  const timeval time{limit.count() / 1000, limit.count() % 1000 * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  std::optional<Message> answer;
  if (WriteAll(fd, request)) {
    std::string rest;
    answer = ReadMessage(fd, rest, true);
  }
  ::close(fd);
  return answer;
}

int StatusOf(const std::optional<Message>& answer) {
  constexpr std::size_t kStatusAt = 9;
  return answer && answer->start_line.size() > kStatusAt
             ? std::atoi(answer->start_line.c_str() + kStatusAt)
             : 0;
}

std::int64_t NumberIn(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  const std::size_t at = json.find(key);
  return at == std::string::npos ? 0
                                 : std::atoll(json.c_str() + at + key.size());
}

std::string TextIn(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":\"";
  const std::size_t at = json.find(key);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t first = at + key.size();
  return json.substr(first, json.find('"', first) - first);
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  std::array<char, 20> text{};
  (void)std::snprintf(text.data(), text.size(), "%016llx",
                      static_cast<unsigned long long>(random()));
  return text.data();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool WithoutTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value != nullptr && std::string_view(value) == "0";
}

}  // namespace review
