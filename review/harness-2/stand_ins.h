#pragma once

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/harness-2/fleet.h"

namespace review {

// An answer to a call of the control API; the status is 0 without one.
struct CallAnswer {
  int status = 0;
  std::string body = {};
};

// Makes one call of the control API, with a second for the answer.
inline CallAnswer Call(const std::string& ip, const std::string& call,
                       const std::string& body) {
  const auto deadline = Clock::now() + milliseconds(1000);
  const Socket socket = Socket::Connect(ip, kControlPort, milliseconds(1000));
  if (!socket.is_open()) return {};
  const std::string type =
      body.empty() ? "" : "Content-Type: application/json\r\n";
  const std::string request = fmt::format(
      "POST /api/rpc?call={} HTTP/1.1\r\nHost: {}:{}\r\n{}"
      "Content-Length: {}\r\n\r\n{}",
      call, ip, kControlPort, type, body.size(), body);
  std::string received;
  if (!socket.Write(request)) return {};
  const auto answer = ReadMessage(socket, received, deadline);
  if (!answer) return {};
  return {answer->Status(), answer->body};
}

// The operator. An order goes to one control host after the other until it is
// acknowledged or refused.
class Operator {
 public:
  explicit Operator(Fleet& fleet) : fleet_(fleet) {}

  // Sends an order, first to the control host `first`. Returns the status of
  // the answer that ended it.
  int Order(const std::string& call, const std::string& body, std::size_t first,
            int tries = 20) {
    for (int i = 0; i < tries; ++i) {
      const std::size_t host = (first + i) % fleet_.control_count();
      fleet_.record().Write(
          fmt::format("operator: {} sent to core-{}", call, host));
      const CallAnswer answer = Call(fleet_.ControlIp(host), call, body);
      fleet_.record().Write(fmt::format(
          "operator: {} answered {} by core-{}", call,
          answer.status == 0 ? "nothing" : std::to_string(answer.status),
          host));
      if (answer.status >= 200 && answer.status < 500) return answer.status;
      SleepMs(50 * (i + 1));
    }
    throw CannotRun("no control host acknowledges " + call);
  }

  // Orders that must be acknowledged.
  void MustOrder(const std::string& call, const std::string& body,
                 std::size_t first) {
    const int status = Order(call, body, first);
    if (status != 200) {
      throw CannotRun(fmt::format("{} was answered {}", call, status));
    }
  }

 private:
  Fleet& fleet_;
};

// A request that reached a backend server.
struct Arrival {
  std::int64_t at_ms = 0;
  std::string server;
  std::string request_id;
  Message request;
};

// A backend server. It runs the requests that expect it, one at a time on a
// connection, and announces itself to the control hosts in turn.
class Server {
 public:
  // What a server does with a request that it runs.
  struct Reply {
    std::string bytes;     // Written as they are.
    bool keep = true;      // The connection may carry another request.
    bool crashes = false;  // The server ends; the bytes are not written.
  };
  using Run = std::function<Reply(Server&, const Arrival&)>;

  struct Settings {
    std::string id;
    std::string ip;
    std::string service = "desk";
    std::string zone = "kochi";
    int slots = 3;
  };

  Server(Fleet& fleet, Settings settings, Run run)
      : fleet_(fleet), settings_(std::move(settings)), run_(std::move(run)) {
    Begin();
    heartbeat_thread_ = std::thread([this] { Announce(); });
  }
  ~Server() {
    is_over_ = true;
    End();
    heartbeat_thread_.join();
    for (std::thread& thread : crash_threads_) thread.join();
    for (Connection& connection : connections_) connection.thread.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const Settings& settings() const { return settings_; }

  // Returns a complete answer to a request, as a sound server writes it.
  static std::string SoundAnswer(const std::string& request_id,
                                 const std::string& body) {
    return fmt::format(
        "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: {}\r\n"
        "Sapphirebank-Server-Stamp: stamp.{}\r\nContent-Type: text/plain\r\n"
        "Content-Length: {}\r\n\r\n{}",
        request_id, request_id, body.size(), body);
  }

  // Ends the lifetime: closes the port and all connections, and is silent.
  void End() {
    if (!is_up_.exchange(false)) return;
    listener_.Shutdown();
    accept_thread_.join();
    listener_.Close();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& connection : connections_) connection.socket.Shutdown();
  }

  // Begins another lifetime at the same address, under `id`.
  void BeginAgain(const std::string& id) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      settings_.id = id;
    }
    Begin();
  }

  bool is_up() const { return is_up_; }
  void set_state(const std::string& state) {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = state;
  }

 private:
  struct Connection {
    Socket socket;
    std::thread thread;
    bool has_ended = false;
  };

  void Begin() {
    listener_ = Socket(::socket(AF_INET, SOCK_STREAM, 0));
    const int one = 1;
    ::setsockopt(listener_.handle(), SOL_SOCKET, SO_REUSEADDR, &one,
                 sizeof(one));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(kServerPort);
    ::inet_pton(AF_INET, settings_.ip.c_str(), &at.sin_addr);
    if (::bind(listener_.handle(), reinterpret_cast<sockaddr*>(&at),
               sizeof(at)) != 0 ||
        ::listen(listener_.handle(), 128) != 0) {
      throw CannotRun("cannot listen as a server");
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sequence_ = 0;
      born_ = std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    }
    is_up_ = true;
    accept_thread_ = std::thread([this] { Accept(); });
    fleet_.record().Write(fmt::format("server {}: starts", settings_.id));
  }

  void Accept() {
    while (is_up_) {
      Socket socket(::accept(listener_.handle(), nullptr, nullptr));
      if (!socket.is_open() || !is_up_) return;
      const int one = 1;
      ::setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &one,
                   sizeof(one));
      const std::lock_guard<std::mutex> lock(mutex_);
      JoinEnded();
      Connection& connection = connections_.emplace_back();
      connection.socket = std::move(socket);
      connection.thread = std::thread([this, &connection] {
        Serve(connection.socket);
        const std::lock_guard<std::mutex> end_lock(mutex_);
        connection.socket.Close();
        connection.has_ended = true;
      });
    }
  }

  // Joins the threads of connections that have ended.
  void JoinEnded() {
    std::erase_if(connections_, [](Connection& connection) {
      if (connection.has_ended) connection.thread.join();
      return connection.has_ended;
    });
  }

  void Serve(const Socket& socket) {
    std::string received;
    while (is_up_) {
      const auto deadline = Clock::now() + std::chrono::seconds(10);
      auto request = ReadMessage(socket, received, deadline);
      if (!request || !is_up_) return;
      Arrival arrival;
      arrival.at_ms = fleet_.record().Now();
      arrival.request_id = request->Field("sapphirebank-request-id");
      arrival.request = std::move(*request);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        arrival.server = settings_.id;
      }
      const std::string expected =
          arrival.request.Field("sapphirebank-expect-instance");
      if (!expected.empty() && expected != arrival.server) {
        fleet_.record().Write(fmt::format("server {}: 421 to {}",
                                          arrival.server, arrival.request_id));
        const bool is_written = socket.Write(fmt::format(
            "HTTP/1.1 421 Misdirected Request\r\nSapphirebank-Request-Id: {}"
            "\r\nSapphirebank-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            arrival.request_id, arrival.server));
        if (!is_written) return;
        continue;
      }
      const Reply reply = run_(*this, arrival);
      if (reply.crashes) {
        const std::lock_guard<std::mutex> lock(mutex_);
        crash_threads_.emplace_back([this] { End(); });
        return;
      }
      if (!socket.Write(reply.bytes) || !reply.keep) return;
    }
  }

  void Announce() {
    std::size_t host = 0;
    while (!is_over_) {
      if (is_up_) {
        nlohmann::json beat;
        std::string id;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          id = settings_.id;
          beat = {{"service", settings_.service},
                  {"address", fmt::format("{}:{}", settings_.ip, kServerPort)},
                  {"zone", settings_.zone},
                  {"version", "v1"},
                  {"slots", settings_.slots},
                  {"state", state_},
                  {"warmupLeft", "0ms"},
                  {"born", born_},
                  {"seq", ++sequence_}};
        }
        for (std::size_t i = 0; i < fleet_.control_count() && !is_over_; ++i) {
          const CallAnswer answer =
              Call(fleet_.ControlIp(host % fleet_.control_count()),
                   "instances.heartbeat&of=" + id, beat.dump());
          if (answer.status == 200) break;
          ++host;
        }
      }
      ++host;
      for (int i = 0; i < 30 && !is_over_ && announced_ == is_up_; ++i) {
        SleepMs(50);
      }
      announced_ = is_up_.load();
    }
  }

  Fleet& fleet_;
  std::mutex mutex_;
  Settings settings_;
  Run run_;
  std::string state_ = "ready";
  int sequence_ = 0;
  std::int64_t born_ = 0;
  std::atomic<bool> is_up_{false};
  std::atomic<bool> announced_{true};
  std::atomic<bool> is_over_{false};
  Socket listener_;
  std::thread accept_thread_;
  std::thread heartbeat_thread_;
  std::list<Connection> connections_;
  std::list<std::thread> crash_threads_;
};

// What a caller sends and gets.
struct CallerRequest {
  std::string method = "GET";
  std::string path = {};
  std::string key = "key-1";
  std::string id = {};
  std::string body = {};
  int deadline_ms = 3000;
};

// Sends one request on a new connection. Returns nothing without a complete
// answer.
inline std::optional<Message> SendRequest(Fleet& fleet, std::size_t entry,
                                          const CallerRequest& request) {
  const auto deadline = Clock::now() + milliseconds(request.deadline_ms);
  const Socket socket =
      Socket::Connect(fleet.EntryIp(entry), kCallerPort, milliseconds(1000));
  if (!socket.is_open()) return std::nullopt;
  const std::string length =
      request.method == "POST"
          ? fmt::format("Content-Length: {}\r\n", request.body.size())
          : "";
  const std::string bytes = fmt::format(
      "{} {} HTTP/1.1\r\nHost: desk.example\r\nSapphirebank-Request-Id: {}\r\n"
      "Sapphirebank-Deadline-Ms: {}\r\nAuthorization: Token {}\r\n{}\r\n{}",
      request.method, request.path, request.id, request.deadline_ms,
      request.key, length, request.body);
  std::string received;
  if (!socket.Write(bytes)) return std::nullopt;
  return ReadMessage(socket, received, deadline);
}

// A configuration with one service, a safe and an unsafe route and one tenant.
inline nlohmann::json MakeConfiguration(int version) {
  const auto route = [](const char* prefix, const char* kind,
                        const char* timeout) {
    return nlohmann::json{{"host", "desk.example"},
                          {"pathPrefix", prefix},
                          {"kind", kind},
                          {"timeout", timeout},
                          {"targetLatency", "600ms"},
                          {"priority", 1},
                          {"service", "desk"},
                          {"maxAttempts", 2},
                          {"public", false}};
  };
  return {{"version", fmt::format("r{}", version)},
          {"routes",
           {{"lookup", route("/lookup/", "safe", "1500ms")},
            {"order", route("/order/", "unsafe", "2000ms")}}},
          {"services",
           {{"desk",
             {{"healthPath", "/health"},
              {"maxConnections", 390},
              {"protocol", "h1"},
              {"tls", false},
              {"warmup", "3s"},
              {"warmupPerS", 5.9}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"tenants",
           {{"north",
             {{"apiKeys", {"key-1"}},
              {"priority", 1},
              {"ratePerS", 500},
              {"burst", 500}}}}}};
}

// Stores the first configuration and waits until all entry hosts serve.
inline void BeginTraffic(Fleet& fleet, Operator& operator_desk,
                         const nlohmann::json& configuration) {
  operator_desk.MustOrder("config.put", configuration.dump(), 0);
  for (std::size_t i = 0; i < fleet.entry_count(); ++i) {
    WaitUntil("an entry host is ready", std::chrono::seconds(20),
              [&] { return fleet.IsReady(i); });
    WaitUntil("an entry host serves", std::chrono::seconds(20), [&] {
      const auto answer =
          SendRequest(fleet, i, {.path = "/lookup/start", .id = "start"});
      return answer && answer->Status() == 200;
    });
  }
}

}  // namespace review
