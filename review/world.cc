#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

constexpr size_t kRowBytes = 65'536;
constexpr size_t kCallBytes = 1'000'000;
constexpr size_t kMaxEntries = 100;
constexpr size_t kMaxRows = 500;
constexpr size_t kMaxListedEnds = 500;
constexpr int kStatusFenced = 409;
constexpr int kStatusBusy = 503;
constexpr int kStatusOtherLife = 421;
constexpr unsigned kLongestCaseSeconds = 115;
constexpr int64_t kHeartbeatMs = 1'500;

int64_t GetUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in MakeLoopback(uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Binds a socket to a free loopback port and returns the port.
uint16_t BindFreePort(int socket) {
  sockaddr_in address = MakeLoopback(0);
  socklen_t size = sizeof(address);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no free port");
  }
  return ntohs(address.sin_port);
}

uint16_t FindFreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const uint16_t port = BindFreePort(probe);
  close(probe);
  return port;
}

bool SendAll(int socket, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Takes one message off the front of `buffer`, if it is there in full.
std::optional<Message> TakeMessage(std::string& buffer) {
  const size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::istringstream lines(buffer.substr(0, end));
  std::string line;
  std::getline(lines, message.first_line);
  if (!message.first_line.empty() && message.first_line.back() == '\r') {
    message.first_line.pop_back();
  }
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[ToLower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  const auto length = message.headers.find("content-length");
  const size_t size =
      length == message.headers.end() ? 0 : std::stoul(length->second);
  if (buffer.size() < end + 4 + size) {
    return std::nullopt;
  }
  message.body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return message;
}

// Reads until a whole message has come, the peer closes or `until` passes.
std::optional<Message> ReadMessage(int socket, std::string& buffer,
                                   Clock::time_point until) {
  while (true) {
    if (auto message = TakeMessage(buffer)) {
      return message;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    pollfd entry = {socket, POLLIN, 0};
    if (left.count() <= 0 || poll(&entry, 1,
                                  static_cast<int>(std::min<int64_t>(
                                      left.count(), 1'000'000))) <= 0) {
      return std::nullopt;
    }
    char bytes[16'384];
    const ssize_t count = recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return std::nullopt;
    }
    buffer.append(bytes, static_cast<size_t>(count));
  }
}

int64_t ReadNumber(const HttpRequest& request, const std::string& name,
                   int64_t usual) {
  const std::string text = request.GetParameter(name);
  return text.empty() ? usual : std::stoll(text);
}

// The part of a task's name that its step's tasks share: ID.K.STEP.
std::string GetStepName(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the words of the `run` line of the deploy file.
std::vector<std::string> ReadRunLine(const std::string& root) {
  std::istringstream lines(ReadFile(root + "/deploy/system.toml"));
  std::string line;
  const std::string key = "run = \"";
  while (std::getline(lines, line)) {
    if (line.compare(0, key.size(), key) == 0) {
      std::istringstream words(
          line.substr(key.size(), line.rfind('"') - key.size()));
      std::vector<std::string> run;
      std::string word;
      while (words >> word) {
        run.push_back(word);
      }
      return run;
    }
  }
  throw std::runtime_error("the deploy file has no run line");
}

}  // namespace

void SleepMs(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool WaitFor(int64_t timeout_ms, const std::function<bool()>& condition) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  while (!condition()) {
    if (Clock::now() >= until) {
      return false;
    }
    SleepMs(20);
  }
  return true;
}

std::string EncodeBase64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 0x3f];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+') {
      digit = 62;
    } else if (c == '/') {
      digit = 63;
    } else {
      break;
    }
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 0xff);
    }
  }
  return bytes;
}

Json MakeRoute(const std::string& name, const std::string& prefix,
               const std::string& service, int attempts) {
  return {{"name", name},     {"host", "127.0.0.1"}, {"prefix", prefix},
          {"kind", "unsafe"}, {"timeoutMs", 3'000},  {"sloMs", 600},
          {"priority", 0},    {"service", service},  {"attempts", attempts},
          {"stretch", 1.6}};
}

std::string MakeConfig(int64_t version, const Json& routes,
                       const std::vector<std::string>& services) {
  Json list = Json::array();
  for (const std::string& service : services) {
    list.push_back(
        {{"name", service}, {"standby", false}, {"enforcesCapacity", false}});
  }
  return Json{{"version", version},
              {"routes", routes},
              {"services", list},
              {"limits", {{"maxBodyBytes", 262'144}}}}
      .dump();
}

Record::Record(const std::string& path) : m_file(path) {}

int64_t Record::GetMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               m_start)
      .count();
}

void Record::Note(const std::string& who, const std::string& what) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  char at[32];
  std::snprintf(at, sizeof(at), "%8.3f ",
                static_cast<double>(GetMs()) / 1'000.0);
  m_file << at << who << ": " << what << std::endl;
}

std::string HttpRequest::GetPath() const {
  return target.substr(0, target.find('?'));
}

std::string HttpRequest::GetParameter(const std::string& name) const {
  const size_t query = target.find('?');
  if (query == std::string::npos) {
    return "";
  }
  std::istringstream parts(target.substr(query + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const size_t equals = part.find('=');
    if (equals == std::string::npos || part.substr(0, equals) != name) {
      continue;
    }
    std::string value;
    for (size_t i = equals + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        value +=
            static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += part[i];
      }
    }
    return value;
  }
  return "";
}

HttpServer::HttpServer(Handler handler) : m_handler(std::move(handler)) {
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  m_port = BindFreePort(m_socket);
  if (listen(m_socket, 512) != 0) {
    throw std::runtime_error("cannot listen");
  }
  m_accepting = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  m_is_stopping = true;
  shutdown(m_socket, SHUT_RDWR);
  m_accepting.join();
  close(m_socket);
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const int open : m_open) {
      shutdown(open, SHUT_RDWR);
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

std::string HttpServer::GetAddress() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void HttpServer::Accept() {
  while (!m_is_stopping) {
    const int connection = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const int enabled = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open.insert(connection);
    m_threads.emplace_back([this, connection] { Serve(connection); });
  }
}

void HttpServer::Serve(int connection) {
  std::string buffer;
  while (!m_is_stopping) {
    auto message =
        ReadMessage(connection, buffer, Clock::now() + std::chrono::minutes(5));
    if (!message) {
      break;
    }
    HttpRequest request;
    std::istringstream first(message->first_line);
    first >> request.method >> request.target;
    request.headers = std::move(message->headers);
    request.body = std::move(message->body);
    std::optional<HttpResponse> response;
    try {
      response = m_handler(std::move(request));
    } catch (const std::exception& error) {
      response = HttpResponse{400, Json{{"fault", error.what()}}.dump()};
    }
    // A channel on which a response is lost delivers nothing further.
    if (!response) {
      ReadMessage(connection, buffer, Clock::now() + std::chrono::minutes(5));
      break;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(response->status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
    if (!SendAll(connection, text)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_open.erase(connection);
  close(connection);
}

std::optional<HttpResponse> Call(uint16_t port, const std::string& method,
                                 const std::string& target,
                                 const std::string& host,
                                 const std::string& body, int64_t timeout_ms) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeLoopback(port);
  std::optional<HttpResponse> response;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Shallotwick-Deadline-Ms: " + std::to_string(timeout_ms) + "\r\n";
    if (!body.empty()) {
      text += "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n";
    }
    std::string buffer;
    if (SendAll(connection, text + "\r\n" + body)) {
      const auto message =
          ReadMessage(connection, buffer,
                      Clock::now() + std::chrono::milliseconds(timeout_ms));
      if (message) {
        std::istringstream first(message->first_line);
        std::string version;
        response.emplace();
        first >> version >> response->status;
        response->body = message->body;
      }
    }
  }
  close(connection);
  return response;
}

Store::Store(Record& record) : m_record(record) {}

size_t Store::AddFront() {
  m_fronts.push_back(std::make_unique<Front>());
  Front& front = *m_fronts.back();
  front.server =
      std::make_unique<HttpServer>([this, &front](const HttpRequest& request) {
        auto response = front.is_turned_away ? std::optional<HttpResponse>()
                                             : Handle(request);
        return front.is_turned_away
                   ? std::optional(HttpResponse{kStatusBusy, "{}"})
                   : response;
      });
  return m_fronts.size() - 1;
}

std::string Store::GetFrontAddress(size_t front) const {
  return m_fronts.at(front)->server->GetAddress();
}

void Store::SetTurnedAway(size_t front, bool is_turned_away) {
  m_fronts.at(front)->is_turned_away = is_turned_away;
}

void Store::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_is_stopping = true;
  }
  m_changed.notify_all();
  m_fronts.clear();
}

int64_t Store::GetNowMs() const {
  return 50'000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                      Clock::now() - m_start)
                      .count();
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_rows[{table, "", key}] = {EncodeBase64(value), ++m_version, false};
  m_changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_rows.find({table, "", key});
  if (found != m_rows.end() && !found->second.is_removed) {
    found->second = {"", ++m_version, true};
    m_changed.notify_all();
  }
}

std::string Store::Get(const std::string& table, const std::string& part,
                       const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_rows.find({table, part, key});
  return found == m_rows.end() || found->second.is_removed
             ? ""
             : DecodeBase64(found->second.value);
}

Json Store::Format(const Key& key, const Row& row) {
  Json json = {{"table", std::get<0>(key)},
               {"part", std::get<1>(key)},
               {"key", std::get<2>(key)},
               {"ver", row.version}};
  if (row.is_removed) {
    json["tombstone"] = true;
  } else {
    json["value"] = row.value;
  }
  return json;
}

std::optional<HttpResponse> Store::Handle(const HttpRequest& request) {
  const std::string path = request.GetPath();
  if (path == "/v1/rows-get") {
    return Read(request);
  }
  if (path == "/v1/rows-feed") {
    return Follow(request);
  }
  if (path != "/v1/rows-tx") {
    return HttpResponse{404, "{}"};
  }
  const Json transaction = Json::parse(request.body);
  if (request.body.size() > kCallBytes) {
    return HttpResponse{400, R"({"fault":"a call holds at most 1 MB"})"};
  }
  // About txMs.
  SleepMs(3);
  const CommitFate fate =
      m_on_commit ? m_on_commit(transaction) : CommitFate::kNormal;
  if (fate == CommitFate::kLate) {
    SleepMs(m_late_ms);
    const HttpResponse late = Commit(transaction);
    m_record.Note("store", "late transaction carried out, status " +
                               std::to_string(late.status));
    return std::nullopt;
  }
  HttpResponse response = Commit(transaction);
  if (fate == CommitFate::kLost) {
    return std::nullopt;
  }
  return response;
}

HttpResponse Store::Commit(const Json& transaction) {
  const auto read_key = [](const Json& entry) {
    return Key(entry.at("table").get<std::string>(), entry.value("part", ""),
               entry.at("key").get<std::string>());
  };
  const Json expected = transaction.value("expectedRev", Json::array());
  const Json writes = transaction.value("writes", Json::array());
  const Json removals = transaction.value("remove", Json::array());
  if (expected.size() + writes.size() + removals.size() > kMaxEntries) {
    return {400, R"({"fault":"more than 100 entries"})"};
  }
  for (const Json& entry : writes) {
    if (DecodeBase64(entry.at("value").get<std::string>()).size() > kRowBytes) {
      m_record.Note("store", "refuses a row of over rowBytes: " +
                                 entry.at("table").get<std::string>() + "/" +
                                 entry.at("key").get<std::string>());
      return {400, R"({"fault":"a value is longer than rowBytes"})"};
    }
    const std::string table = entry.at("table").get<std::string>();
    if (table == "op" || table == "servers") {
      return {403, "{}"};
    }
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  bool holds = true;
  Json current = Json::array();
  for (const Json& entry : expected) {
    const auto found = m_rows.find(read_key(entry));
    const bool exists = found != m_rows.end() && !found->second.is_removed;
    if (exists) {
      current.push_back(Format(found->first, found->second));
    }
    holds = holds && entry.at("ver").get<uint64_t>() ==
                         (exists ? found->second.version : 0);
  }
  if (!holds) {
    return {412,
            Json{{"rows", current}, {"ver", m_version}, {"nowMs", GetNowMs()}}
                .dump()};
  }
  ++m_version;
  for (const Json& entry : writes) {
    m_rows[read_key(entry)] = {entry.at("value").get<std::string>(), m_version,
                               false};
  }
  for (const Json& entry : removals) {
    const auto found = m_rows.find(read_key(entry));
    if (found != m_rows.end() && !found->second.is_removed) {
      found->second = {"", m_version, true};
    }
  }
  m_changed.notify_all();
  return {200, Json{{"ver", m_version}, {"nowMs", GetNowMs()}}.dump()};
}

HttpResponse Store::Read(const HttpRequest& request) {
  const std::string table = request.GetParameter("table");
  const std::string part = request.GetParameter("part");
  const std::string until = request.GetParameter("target");
  const size_t limit = std::min(
      kMaxRows, static_cast<size_t>(ReadNumber(request, "limit", 500)));
  const std::lock_guard<std::mutex> lock(m_mutex);
  Json rows = Json::array();
  bool is_truncated = false;
  size_t bytes = 0;
  for (auto row =
           m_rows.lower_bound({table, part, request.GetParameter("from")});
       row != m_rows.end(); ++row) {
    const auto& [row_table, row_part, key] = row->first;
    if (row_table != table || row_part != part ||
        (!until.empty() && key >= until)) {
      break;
    }
    if (row->second.is_removed) {
      continue;
    }
    bytes += row->second.value.size() + 200;
    if (rows.size() == limit || bytes > kCallBytes) {
      is_truncated = true;
      break;
    }
    rows.push_back(Format(row->first, row->second));
  }
  return {200, Json{{"rows", rows},
                    {"truncated", is_truncated},
                    {"ver", m_version},
                    {"nowMs", GetNowMs()}}
                   .dump()};
}

HttpResponse Store::Follow(const HttpRequest& request) {
  const std::string table = request.GetParameter("table");
  const auto after = static_cast<uint64_t>(ReadNumber(request, "after", 0));
  const auto until = Clock::now() + std::chrono::milliseconds(
                                        ReadNumber(request, "waitMs", 0));
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    std::map<std::pair<uint64_t, Key>, Json> changes;
    for (auto row = m_rows.lower_bound({table, "", ""});
         row != m_rows.end() && std::get<0>(row->first) == table; ++row) {
      if (row->second.version > after) {
        changes[{row->second.version, row->first}] =
            Format(row->first, row->second);
      }
    }
    if (!changes.empty() || Clock::now() >= until || m_is_stopping) {
      Json rows = Json::array();
      for (const auto& [key, row] : changes) {
        rows.push_back(row);
      }
      return {200,
              Json{{"rows", rows}, {"ver", m_version}, {"nowMs", GetNowMs()}}
                  .dump()};
    }
    m_changed.wait_until(lock, until);
  }
}

Executor::Executor(Executors& all, Store& store, std::string machine,
                   std::string service, std::string rack)
    : m_all(all),
      m_store(store),
      m_machine(std::move(machine)),
      m_service(std::move(service)),
      m_rack(std::move(rack)) {
  m_server = std::make_unique<HttpServer>(
      [this](const HttpRequest& request) { return Handle(request); });
}

int64_t Executor::GetClockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               m_born)
      .count();
}

void Executor::Boot() {
  m_is_up = true;
  m_id = "i-" + m_machine + "-" + std::to_string(++m_life);
  m_born = Clock::now();
  m_born_ms = GetUnixMs();
  m_fence = 0;
  m_lease_until_ms = 0;
  m_next_end = 1;
  m_sequence = 0;
  m_runs.clear();
  m_highest_ended.clear();
  m_ended = Json::array();
  WriteEntry();
}

void Executor::LoseRuns() {
  for (const auto& [task, run] : m_runs) {
    m_all.NoteEvent({0, m_id, task, run.number, "lost", run.checkpoint});
  }
  m_runs.clear();
  m_is_up = false;
  m_all.m_ended.notify_all();
}

void Executor::Leave() {
  LoseRuns();
  m_store.Remove("servers", m_id);
}

void Executor::Crash() {
  LoseRuns();
  m_all.CallAfter(3 * kHeartbeatMs,
                  [this, id = m_id] { m_store.Remove("servers", id); });
}

void Executor::WriteEntry() {
  const Json entry = {
      {"service", m_service},
      {"addr", m_server->GetAddress()},
      {"zone", "z1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"capacity", {{"cpu", 32'000}, {"memMb", 65'536}, {"gpu", 0}}},
      {"labels", {"a", m_rack}},
      {"machine", m_machine},
      {"born", m_born_ms},
      {"clockMs", GetClockMs()},
      {"seq", ++m_sequence}};
  m_store.Put("servers", m_id, entry.dump());
}

HttpResponse Executor::Refuse(const char* reason) const {
  return {kStatusFenced,
          Json{{"clockMs", GetClockMs()}, {"reason", reason}}.dump()};
}

bool Executor::IsFenced(const Json& order) {
  const auto fence = order.value("fence", uint64_t{0});
  if (fence < m_fence) {
    return true;
  }
  m_fence = fence;
  return false;
}

void Executor::Extend(const Json& order) {
  const int64_t wanted = order.value("untilMs", int64_t{0});
  m_lease_until_ms =
      std::max(m_lease_until_ms,
               std::min(wanted, GetClockMs() + Executors::kLongestLeaseMs));
}

std::optional<HttpResponse> Executor::Handle(const HttpRequest& request) {
  const Json order = Json::parse(request.body);
  std::unique_lock<std::mutex> lock(m_all.m_mutex);
  if (!m_is_up) {
    return std::nullopt;
  }
  const auto expected = request.headers.find("x-shallotwick-expect-instance");
  if (expected != request.headers.end() && expected->second != m_id) {
    return HttpResponse{kStatusOtherLife, "{}"};
  }
  Advance();
  const std::string path = request.GetPath();
  if (IsFenced(order)) {
    return Refuse("fence");
  }
  if (path == "/v1/run-start") {
    return Start(order);
  }
  if (path == "/v1/run-stop") {
    return Stop(order);
  }
  if (path == "/v1/hold") {
    return Hold(order, lock);
  }
  return HttpResponse{200, Json{{"clockMs", GetClockMs()}}.dump()};
}

HttpResponse Executor::Start(const Json& order) {
  Extend(order);
  const auto task = order.at("task").get<std::string>();
  const auto number = order.at("run").get<int64_t>();
  const auto present = m_runs.find(task);
  if (present == m_runs.end() || present->second.number != number) {
    const auto ended = m_highest_ended.find(task);
    if (present != m_runs.end() ||
        (ended != m_highest_ended.end() && number <= ended->second)) {
      return Refuse("old");
    }
    if (order.value("untilMs", int64_t{0}) <= GetClockMs()) {
      return Refuse("late");
    }
    const RunPlan plan = m_all.m_plan ? m_all.m_plan(task, number) : RunPlan{};
    Run run;
    run.number = number;
    run.started_ms = GetClockMs();
    run.duration_ms = plan.duration_ms;
    run.end = plan.end;
    run.carried = order.value("checkpoint", "");
    run.checkpoint = run.carried;
    const bool is_gang = m_all.m_gang_size && m_all.m_gang_size(task) > 0;
    if (!is_gang) {
      run.works_since_ms = run.started_ms;
    }
    m_runs[task] = run;
    m_all.NoteEvent({0, m_id, task, number, "start", run.carried});
    m_all.AdvanceGangs();
  }
  return {200, Json{{"clockMs", GetClockMs()}}.dump()};
}

HttpResponse Executor::Stop(const Json& order) {
  const auto task = order.at("task").get<std::string>();
  const auto number = order.at("run").get<int64_t>();
  const auto present = m_runs.find(task);
  if (present != m_runs.end() && present->second.number == number) {
    if (!present->second.is_stopping) {
      present->second.is_stopping = true;
      present->second.stops_ms = GetClockMs() + Executors::kStopMs;
    }
  } else {
    int64_t& highest = m_highest_ended[task];
    highest = std::max(highest, number);
  }
  return {200, Json{{"clockMs", GetClockMs()}}.dump()};
}

std::optional<HttpResponse> Executor::Hold(const Json& order,
                                           std::unique_lock<std::mutex>& lock) {
  Extend(order);
  const auto seen = order.value("lastSeen", int64_t{0});
  Json left = Json::array();
  for (const Json& end : m_ended) {
    if (end.at(0).get<int64_t>() > seen) {
      left.push_back(end);
    }
  }
  m_ended = left;
  const int life = m_life;
  const auto until = Clock::now() + std::chrono::milliseconds(
                                        order.value("waitMs", int64_t{0}));
  while (m_ended.empty() && Clock::now() < until && m_is_up &&
         !m_all.m_is_stopping) {
    m_all.m_ended.wait_until(lock, until);
  }
  if (!m_is_up || life != m_life) {
    return std::nullopt;
  }
  Advance();
  Json running = Json::array();
  for (const auto& [task, run] : m_runs) {
    const int64_t worked =
        run.works_since_ms ? GetClockMs() - *run.works_since_ms : 0;
    const int64_t percent = std::clamp<int64_t>(
        worked * 100 / std::max<int64_t>(1, run.duration_ms), 0, 100);
    running.push_back({task, run.number, run.checkpoint, percent, 100});
  }
  Json ended = Json::array();
  for (const Json& end : m_ended) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back(end);
    }
  }
  return HttpResponse{200, Json{{"clockMs", GetClockMs()},
                                {"born", m_born_ms},
                                {"running", running},
                                {"ended", ended}}
                               .dump()};
}

void Executor::End(const std::string& task, const std::string& how) {
  const Run run = m_runs.at(task);
  m_runs.erase(task);
  int64_t& highest = m_highest_ended[task];
  highest = std::max(highest, run.number);
  m_ended.push_back({m_next_end++, task, run.number, how,
                     how == "done" ? "" : run.checkpoint});
  m_all.NoteEvent({0, m_id, task, run.number, how, run.checkpoint});
  m_all.m_ended.notify_all();
}

void Executor::Advance() {
  const int64_t now = GetClockMs();
  std::vector<std::pair<std::string, std::string>> ending;
  for (auto& [task, run] : m_runs) {
    const bool is_gang = m_all.m_gang_size && m_all.m_gang_size(task) > 0;
    if (now > m_lease_until_ms) {
      ending.emplace_back(task, "lapsed");
    } else if (run.is_stopping) {
      if (now >= run.stops_ms) {
        ending.emplace_back(task, "stopped");
      }
    } else if (!run.works_since_ms) {
      if (now >= run.started_ms + Executors::kGangMs) {
        ending.emplace_back(task, "alone");
      }
    } else if (now >= *run.works_since_ms + run.duration_ms) {
      ending.emplace_back(task, run.end);
    } else if (is_gang) {
      // One value of its work each checkpointIntervalS.
      const int64_t count =
          (now - *run.works_since_ms) / Executors::kCheckpointMs;
      if (count > 0) {
        const std::string value =
            std::to_string(run.number) + "-" + std::to_string(count);
        run.checkpoint = value;
      }
    }
  }
  for (const auto& [task, how] : ending) {
    End(task, how);
  }
}

Executors::Executors(Record& record, Store& store)
    : m_record(record), m_store(store) {
  m_clock = std::thread([this] { RunClock(); });
}

Executors::~Executors() {
  m_is_stopping = true;
  m_ended.notify_all();
  m_clock.join();
  for (auto& executor : m_executors) {
    executor->m_server.reset();
  }
}

Executor& Executors::Add(const std::string& machine, const std::string& service,
                         const std::string& rack) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_executors.push_back(
      std::make_unique<Executor>(*this, m_store, machine, service, rack));
  m_executors.back()->Boot();
  return *m_executors.back();
}

void Executors::NoteEvent(const RunEvent& event) {
  RunEvent noted = event;
  noted.at_ms = m_record.GetMs();
  m_events.push_back(noted);
  m_record.Note(
      event.executor,
      event.what + " " + event.task + " run " + std::to_string(event.run) +
          (event.checkpoint.empty() ? "" : " checkpoint " + event.checkpoint));
}

std::vector<RunEvent> Executors::GetEvents() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_events;
}

int Executors::CountPresent(const std::string& task) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  int present = 0;
  for (const auto& executor : m_executors) {
    present += executor->m_runs.count(task) > 0 ? 1 : 0;
  }
  return present;
}

void Executors::CallAfter(int64_t milliseconds, std::function<void()> call) {
  m_calls.emplace(Clock::now() + std::chrono::milliseconds(milliseconds),
                  std::move(call));
}

// The tasks of a gang's run start to work when all of them are present, and
// end together. They work only together if they resume from one value.
void Executors::AdvanceGangs() {
  if (!m_gang_size) {
    return;
  }
  std::map<std::pair<std::string, int64_t>,
           std::vector<std::pair<Executor*, std::string>>>
      gangs;
  for (auto& executor : m_executors) {
    for (const auto& [task, run] : executor->m_runs) {
      if (m_gang_size(task) > 0) {
        gangs[{GetStepName(task), run.number}].emplace_back(executor.get(),
                                                            task);
      }
    }
  }
  for (const auto& [key, members] : gangs) {
    const auto size = static_cast<size_t>(m_gang_size(members.front().second));
    std::set<std::string> values;
    bool has_worked = false;
    for (const auto& [executor, task] : members) {
      values.insert(executor->m_runs.at(task).carried);
      has_worked =
          has_worked || executor->m_runs.at(task).works_since_ms.has_value();
    }
    if (members.size() == size && values.size() == 1 && !has_worked) {
      for (const auto& [executor, task] : members) {
        executor->m_runs.at(task).works_since_ms = executor->GetClockMs();
      }
    } else if (members.size() < size && has_worked) {
      for (const auto& [executor, task] : members) {
        const Executor::Run& run = executor->m_runs.at(task);
        const bool is_done =
            run.works_since_ms &&
            executor->GetClockMs() >= *run.works_since_ms + run.duration_ms;
        executor->End(task, is_done ? run.end : "broken");
      }
    }
  }
}

void Executors::RunClock() {
  auto beat = Clock::now();
  while (!m_is_stopping) {
    SleepMs(5);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool is_due = Clock::now() >= beat;
    if (is_due) {
      beat = Clock::now() + std::chrono::milliseconds(kHeartbeatMs);
    }
    for (auto& executor : m_executors) {
      if (!executor->m_is_up) {
        continue;
      }
      executor->Advance();
      if (is_due) {
        executor->WriteEntry();
      }
    }
    AdvanceGangs();
    while (!m_calls.empty() && m_calls.begin()->first <= Clock::now()) {
      const auto call = std::move(m_calls.begin()->second);
      m_calls.erase(m_calls.begin());
      call();
    }
  }
}

Cloud::Cloud(Record& record, Executors& executors)
    : m_record(record), m_executors(executors) {
  m_server = std::make_unique<HttpServer>(
      [this](const HttpRequest& request) { return Handle(request); });
}

void Cloud::SetWave(int64_t number, const Wave& wave) {
  const std::lock_guard<std::mutex> lock(m_executors.GetMutex());
  m_waves[number] = wave;
}

std::vector<Cloud::Upkeep> Cloud::GetUpkeeps() {
  const std::lock_guard<std::mutex> lock(m_executors.GetMutex());
  return m_upkeeps;
}

std::vector<Cloud::CallSeen> Cloud::GetCalls() {
  const std::lock_guard<std::mutex> lock(m_executors.GetMutex());
  return m_calls;
}

std::optional<HttpResponse> Cloud::Handle(const HttpRequest& request) {
  if (request.GetPath() == "/v1/machines") {
    return List();
  }
  const Json body = Json::parse(request.body);
  {
    const std::lock_guard<std::mutex> lock(m_executors.GetMutex());
    m_calls.push_back(
        {m_record.GetMs(), body.at("machine").get<std::string>(),
         request.headers.at("x-shallotwick-lease-holder"),
         std::stoull(request.headers.at("x-shallotwick-fencing-token"))});
  }
  const CallFate fate =
      m_on_call ? m_on_call(request.GetPath(), body) : CallFate::kNormal;
  const std::string what = request.GetPath() + " " + request.body + " holder " +
                           request.headers.at("x-shallotwick-lease-holder") +
                           " token " +
                           request.headers.at("x-shallotwick-fencing-token");
  if (fate == CallFate::kBusy) {
    m_record.Note("cloud", "answers 503 to " + what);
    return HttpResponse{kStatusBusy, "{}"};
  }
  if (fate == CallFate::kSilent) {
    m_record.Note("cloud", "neither carries out nor answers " + what);
    return std::nullopt;
  }
  if (fate == CallFate::kLate) {
    m_record.Note("cloud", "delays " + what);
    SleepMs(m_late_ms);
  }
  const HttpResponse response = Operate(request);
  const bool is_answered = fate == CallFate::kNormal;
  m_record.Note("cloud", std::string(is_answered ? "answers " : "loses ") +
                             std::to_string(response.status) + " " +
                             response.body + " to " + what);
  return is_answered ? std::optional(response) : std::nullopt;
}

HttpResponse Cloud::List() {
  const std::lock_guard<std::mutex> lock(m_executors.GetMutex());
  Json machines = Json::array();
  for (const auto& executor : m_executors.Get()) {
    const auto absent = m_absent.find(executor->GetMachine());
    const bool is_up = executor->IsUp();
    Json row = {{"machine", executor->GetMachine()},
                {"pool", executor->GetService()},
                {"state", absent != m_absent.end() ? absent->second.state
                          : is_up                  ? "up"
                                                   : "down"},
                {"zone", "z1"},
                {"labels", {"a", executor->GetRack()}},
                {"capacity", {{"cpu", 32'000}, {"memMb", 65'536}, {"gpu", 0}}}};
    if (is_up) {
      row["id"] = executor->GetId();
    }
    machines.push_back(row);
  }
  return {200, Json{{"machines", machines}, {"nextToken", nullptr}}.dump()};
}

Executor* Cloud::Find(const std::string& machine) {
  for (const auto& executor : m_executors.Get()) {
    if (executor->GetMachine() == machine) {
      return executor.get();
    }
  }
  return nullptr;
}

void Cloud::TakeDown(Executor& executor, const Absence& absence,
                     int64_t for_ms) {
  executor.Leave();
  m_absent[executor.GetMachine()] = absence;
  m_executors.CallAfter(for_ms, [this, &executor] {
    m_absent.erase(executor.GetMachine());
    executor.Boot();
    m_record.Note("cloud", executor.GetMachine() + " is up again");
  });
}

HttpResponse Cloud::Operate(const HttpRequest& request) {
  const Json body = Json::parse(request.body);
  const auto machine = body.at("machine").get<std::string>();
  const uint64_t token =
      std::stoull(request.headers.at("x-shallotwick-fencing-token"));
  const std::lock_guard<std::mutex> lock(m_executors.GetMutex());
  Executor* executor = Find(machine);
  if (executor == nullptr) {
    return {400, "{}"};
  }
  if (token < m_fences[machine]) {
    return {kStatusFenced, R"({"reason":"fence"})"};
  }
  m_fences[machine] = token;
  if (request.GetPath() == "/v1/machine-move") {
    const auto pool = body.at("pool").get<std::string>();
    if (executor->GetService() == pool) {
      return {200, "{}"};
    }
    if (!executor->IsUp()) {
      return {kStatusFenced, R"({"reason":"busy"})"};
    }
    executor->SetService(pool);
    TakeDown(*executor, {"moving", 0}, kMoveMs);
    return {200, "{}"};
  }
  const auto number = body.at("wave").get<int64_t>();
  const auto wave = m_waves.find(number);
  if (wave == m_waves.end() || wave->second.machines.count(machine) == 0) {
    return {kStatusFenced, R"({"reason":"wave"})"};
  }
  if (m_done.count({machine, number}) > 0) {
    return {200, "{}"};
  }
  if (!executor->IsUp()) {
    return {kStatusFenced, R"({"reason":"busy"})"};
  }
  int others_down = 0;
  for (const auto& [name, absence] : m_absent) {
    others_down += absence.state == "upkeep" && absence.wave == number ? 1 : 0;
  }
  m_upkeeps.push_back(
      {m_record.GetMs(), machine, others_down, wave->second.max_count});
  m_record.Note("cloud", "upkeep of " + machine + " begins, " +
                             std::to_string(others_down) +
                             " others of the wave are down for theirs");
  m_done.insert({machine, number});
  TakeDown(*executor, {"upkeep", number}, kUpkeepMs);
  return {200, "{}"};
}

Scheduler::Scheduler(const std::string& root, const std::string& log_directory,
                     const std::string& name, const std::string& store,
                     const std::string& cloud)
    : m_name(name), m_log(log_directory + "/" + name + ".log") {
  m_front = FindFreePort();
  m_ready = FindFreePort();
  const std::map<std::string, std::string> settings = {
      {"node", name},
      {"listen.front", "127.0.0.1:" + std::to_string(m_front)},
      {"listen.ready", "127.0.0.1:" + std::to_string(m_ready)},
      {"ip", "127.0.0.1"},
      {"portRange.0", std::to_string(FindFreePort())},
      {"platform.addr", store},
      {"cloud.addr", cloud},
      {"bounds.maintenanceS", "2"},
      {"bounds.moveS", "1.5"},
      {"bounds.leaseMs", "3000"},
      {"bounds.holdMaxMs", std::to_string(Executors::kLongestLeaseMs)},
      {"bounds.stopMs", "200"},
      {"bounds.status_s", "120"},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"bounds.graceS", "6"}};
  std::vector<std::string> words = ReadRunLine(root);
  for (std::string& word : words) {
    for (const auto& [key, value] : settings) {
      ReplaceAll(word, "{{" + key + "}}", value);
    }
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    if (chdir(root.c_str()) == 0) {
      execv(arguments[0], arguments.data());
    }
    _exit(127);
  }
}

Scheduler::~Scheduler() { Kill(); }

bool Scheduler::IsReady() const {
  const auto response =
      Call(m_ready, "GET", "/v1/readyz", "127.0.0.1", "", 500);
  return response && response->status == 200;
}

bool Scheduler::IsRunning() {
  if (m_pid < 0) {
    return false;
  }
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_pid = -1;
    return false;
  }
  return true;
}

void Scheduler::Signal(int signal) {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void Scheduler::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
  }
}

bool Scheduler::HasLogged(const std::vector<std::string>& texts) const {
  std::istringstream lines(ReadFile(m_log));
  std::string line;
  while (std::getline(lines, line)) {
    if (std::all_of(texts.begin(), texts.end(), [&](const std::string& text) {
          return line.find(text) != std::string::npos;
        })) {
      return true;
    }
  }
  return false;
}

Deployment::Deployment(const CaseContext& context, Record& record)
    : m_store(record),
      m_executors(record, m_store),
      m_cloud(record, m_executors),
      m_context(context),
      m_record(record) {}

Deployment::~Deployment() {
  m_schedulers.clear();
  m_cloud.Stop();
  m_store.Stop();
}

void Deployment::PutConfig(int64_t version, const Json& routes,
                           const std::vector<std::string>& services) {
  const std::string config = MakeConfig(version, routes, services);
  m_store.Put("op", "config", config);
  m_record.Note("operator", "config " + config);
}

void Deployment::StartSchedulers(int count) {
  for (int i = 0; i < count; ++i) {
    m_schedulers.push_back(std::make_unique<Scheduler>(
        m_context.root, m_context.temporary, "edge-" + std::to_string(i + 1),
        m_store.GetFrontAddress(m_store.AddFront()), m_cloud.GetAddress()));
  }
  const bool are_ready = WaitFor(15'000, [this] {
    return std::all_of(
        m_schedulers.begin(), m_schedulers.end(),
        [](const auto& scheduler) { return scheduler->IsReady(); });
  });
  if (!are_ready) {
    throw std::runtime_error("the processes weren't ready in time");
  }
  // Traffic starts 10 s after the machines do.
  SleepMs(5'000);
  m_record.Note("case", std::to_string(count) + " processes are ready");
}

int Deployment::Request(size_t scheduler, const std::string& method,
                        const std::string& target, const std::string& body,
                        int64_t timeout_ms) {
  const std::string what =
      method + " " + target + " at " + m_schedulers.at(scheduler)->GetName();
  m_record.Note("consumer", what + " " + body.substr(0, 400));
  const auto response = Call(m_schedulers.at(scheduler)->GetFront(), method,
                             target, "127.0.0.1", body, timeout_ms);
  m_record.Note("consumer", "answer to " + what + ": " +
                                (response ? std::to_string(response->status) +
                                                " " + response->body
                                          : std::string("none")));
  return response ? response->status : 0;
}

std::string Deployment::GetState(size_t scheduler, const std::string& target) {
  const auto response = Call(m_schedulers.at(scheduler)->GetFront(), "GET",
                             target, "127.0.0.1", "", 3'000);
  if (!response) {
    return "";
  }
  m_record.Note("consumer", "GET " + target + " at " +
                                m_schedulers.at(scheduler)->GetName() + ": " +
                                std::to_string(response->status) + " " +
                                response->body);
  if (response->status != 200) {
    return std::to_string(response->status);
  }
  return Json::parse(response->body).value("state", "");
}

std::optional<size_t> Deployment::FindOwner(const std::string& pool) {
  for (size_t i = 0; i < m_schedulers.size(); ++i) {
    if (m_schedulers[i]->HasLogged({"\"pool\":\"" + pool + "\"", "loaded"})) {
      return i;
    }
  }
  return std::nullopt;
}

int RunCase(int argc, char** argv,
            const std::function<int(const CaseContext&, Record&)>& run) {
  std::signal(SIGPIPE, SIG_IGN);
  // A case runs for 120 seconds at most. Its processes end with this one.
  std::signal(SIGALRM, [](int) { _exit(kExitNotRun); });
  alarm(kLongestCaseSeconds);
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " ROOT FOLDER\n";
    return kExitNotRun;
  }
  CaseContext context;
  context.root = argv[1];
  context.folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  context.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    return kExitNotRun;
  }
  context.temporary = pattern;
  int code = kExitNotRun;
  {
    Record record(context.folder + "/record.txt");
    record.Note("case", context.has_trouble ? "with the disruption"
                                            : "TROUBLE=0: without it");
    try {
      code = run(context, record);
    } catch (const std::exception& error) {
      record.Note("case", std::string("could not run: ") + error.what());
    }
    record.Note("case", code == kExitHeld     ? "the rule held"
                        : code == kExitBroken ? "the rule was broken"
                                              : "the case could not run");
  }
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(context.temporary);
  } else {
    std::cerr << context.temporary << "\n";
  }
  return code;
}

}  // namespace review
