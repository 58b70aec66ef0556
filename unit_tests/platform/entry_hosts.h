#pragma once

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform/plan_codec.h"
#include "platform/request_codec.h"
#include "programs/fleet_host/entry_request_handler.h"
#include "sapphirebank/core/compression.h"
#include "sapphirebank/transport/http_server.h"
#include "sapphirebank/transport/process_clock.h"
#include "unit_tests/fleet/fleet_fixtures.h"
#include "unit_tests/transport/loop_thread.h"

namespace sapphirebank {

// Returns the request id in the head of a request, as a host writes it.
inline std::string RequestIdIn(const std::string& head) {
  const std::string name = "sapphirebank-request-id: ";
  const auto begin = head.find(name) + name.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// A backend server at a loopback address that answers by a script.
class ScriptedBackend {
 public:
  using Script = std::function<HttpAnswer(const HttpRequest&)>;

  explicit ScriptedBackend(LoopThread& loop, Script script = Answer)
      : script_(std::move(script)) {
    HttpServer::Hooks hooks;
    hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
      return std::uint64_t{1} << 20U;
    };
    hooks.handle =
        [this](HttpRequest request) -> boost::asio::awaitable<HttpAnswer> {
      ++requests_;
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      delay_.load());
      co_await timer.async_wait(boost::asio::use_awaitable);
      co_return script_(request);
    };
    server_.emplace(
        HttpServer::Listen(loop.loop(), HttpServerSettings(), std::move(hooks))
            .value());
  }

  // Sets the time that each request takes.
  void set_delay(Duration delay) { delay_ = delay; }

  int requests() const { return requests_; }
  Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }

  // Answers with status 200 and the body of the request.
  static HttpAnswer Answer(const HttpRequest& request) {
    HttpAnswer answer;
    answer.fields.push_back(
        {"sapphirebank-request-id",
         std::string(
             FieldValue(request.head.fields, "sapphirebank-request-id"))});
    answer.fields.push_back({"sapphirebank-server-stamp", "stamp"});
    answer.body = "ran " + request.body;
    return answer;
  }

 private:
  Script script_;
  std::atomic<Duration> delay_ = Duration::zero();
  std::atomic<int> requests_ = 0;
  std::optional<HttpServer> server_;
};

// An entry host without its links: the part that handles requests, with a port
// for those of other entry hosts. It chooses servers itself.
class TestEntryHost {
 public:
  // Time for which the host may use what it was told.
  static constexpr Duration kLease = std::chrono::seconds(60);

  static constexpr ViewLeaseSettings kLongLease = {.lease = kLease,
                                                   .contact_lease = kLease,
                                                   .plan_bound = kLease,
                                                   .departure_bound = kLease,
                                                   .zone_bound = kLease};

  // `fleet_port` is 0 for any; all hosts of a test use the same.
  TestEntryHost(LoopThread& loop, const std::string& ip,
                std::uint16_t fleet_port = 0,
                const ViewLeaseSettings& lease = kLongLease)
      : loop_(loop) {
    HttpServerSettings settings;
    settings.ip = ip;
    settings.port = fleet_port;
    settings.marks_refusals = true;
    HttpServer::Hooks hooks;
    hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
      return std::uint64_t{1} << 20U;
    };
    hooks.handle = [this](HttpRequest request) {
      ++detours_;
      return handler_->HandleDetour(std::move(request));
    };
    server_.emplace(
        HttpServer::Listen(loop.loop(), settings, std::move(hooks)).value());
    log_ = LogWriter::Create({.host = ip}, WallNow, [](std::string_view) {
           }).value();
    metrics_ = FleetMetrics::Create({HostId(ip), ZoneId("kochi")}).value();
    EntryState::Hooks state_hooks;
    state_hooks.report_now = [] {};
    state_hooks.request_server = [](std::uint64_t, const DispatchQuery&) {
      return false;
    };
    state_hooks.end_assignment = [](std::uint64_t, AssignmentOutcome) {};
    state_ = std::make_unique<EntryState>(
        loop.loop(), ReadPlanDocument,
        ServerPathMonitor::Create(ServerPathSettings()).value(), lease, 60,
        ZoneId("kochi"), 1, std::move(state_hooks));
    handler_ = std::make_unique<EntryRequestHandler>(
        loop.loop(), *state_, PlatformEntryCodec(),
        Endpoint{ip, server_->port()}, FleetSecret("secret"),
        EntryHostResources(), *log_, *metrics_);
  }

  // Coroutines of the host may run until the loop has stopped.
  ~TestEntryHost() { loop_.Stop(); }
  TestEntryHost(const TestEntryHost&) = delete;
  TestEntryHost& operator=(const TestEntryHost&) = delete;

  std::uint16_t fleet_port() const { return server_->port(); }
  int detours() const { return detours_; }

  // Tells the host the plan, the addresses of its servers and the entry hosts
  // that it may send requests to, confirmed `age` ago.
  void Update(const std::vector<Endpoint>& servers,
              std::vector<std::string> detour_hosts, int plan_version = 1,
              Duration age = Duration::zero()) {
    FleetUpdate update;
    update.full_registry = true;
    update.gates_changes = true;
    for (const Endpoint& server : servers) {
      ServerAnnouncement announcement =
          MakeServer(fmt::format("s{}", update.servers.size()));
      announcement.endpoint = server;
      update.servers.push_back({announcement});
    }
    PlanUpdate plan;
    plan.version = static_cast<PlanVersion>(plan_version);
    plan.compressed_text = Compress(PlanText(plan_version));
    update.plan = std::move(plan);
    update.shared_state = true;
    update.detour_hosts = std::move(detour_hosts);
    RunOnLoop([&] {
      const Instant now = MonotonicNow();
      return state_->Apply(now, now - age, update).has_value();
    });
  }

  // Handles a caller's request. Paths below /order/ must run once and have the
  // body.
  HttpAnswer Send(const std::string& path, const std::string& id = "q1",
                  const std::string& body = "body") {
    HttpRequest request;
    request.head = {path.starts_with("/order/") ? "POST" : "GET",
                    path,
                    {{"host", "desk.example"},
                     {"sapphirebank-request-id", id},
                     {"authorization", "Token key-north"},
                     {"sapphirebank-deadline-ms", "2000"}}};
    if (request.head.method == "POST") request.body = body;
    request.watch = std::make_shared<CallerWatch>();
    return loop_.Run(handler_->Handle(std::move(request)));
  }

  // From the next plan on requests need a key and the workspace of the one
  // that Send() uses has this rate per second.
  void set_workspace_rate(double rate) { workspace_rate_ = rate; }

  // Begins to drain as if the termination signal had come `ago` before now.
  void BeginDrain(const DrainSchedule& schedule, Duration ago) {
    RunOnLoop([&] {
      handler_->BeginDrain(MonotonicNow() - ago, schedule);
      return true;
    });
  }

  // Ends the attempts of all requests after `delay`, without waiting for it.
  void EndAttemptsAfter(Duration delay) {
    RunOnLoop([&] {
      auto timer =
          std::make_shared<boost::asio::steady_timer>(loop_.loop(), delay);
      timer->async_wait([this, timer](boost::system::error_code error) {
        if (!error) handler_->EndAttempts();
      });
      return true;
    });
  }

  // Returns the report to the hub since the last one.
  EntryReport TakeReport() {
    EntryReport report;
    RunOnLoop([&] {
      state_->FillReport(MonotonicNow(), report, false);
      return true;
    });
    return report;
  }

  // Waits at most two seconds until the path is not lost.
  void AwaitPath() {
    for (int i = 0; i < 100 && path_is_lost(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  bool path_is_lost() {
    return RunOnLoop([&] { return state_->path().IsLost(); });
  }

 private:
  bool RunOnLoop(std::function<bool()> work) {
    return loop_.Run(Invoke(std::move(work)));
  }
  static boost::asio::awaitable<bool> Invoke(std::function<bool()> work) {
    co_return work();
  }

  std::string PlanText(int version) const {
    const auto route = [](const char* prefix, const char* kind) {
      return nlohmann::json{{"host", "desk.example"}, {"pathPrefix", prefix},
                            {"kind", kind},           {"timeout", "2s"},
                            {"targetLatency", "1s"},  {"service", "desk"},
                            {"maxAttempts", 3}};
    };
    nlohmann::json plan = {
        {"version", fmt::format("r{}", version)},
        {"routes",
         {{"lookup", route("/lookup/", "safe")},
          {"order", route("/order/", "unsafe")},
          {"download", route("/download/", "download")}}},
        {"services", {{"desk", {{"warmup", "1s"}, {"warmupPerS", 5}}}}},
        {"limits", {{"idleTimeout", "15s"}}}};
    if (workspace_rate_) {
      plan["tenants"]["north"] = {{"apiKeys", {"key-north"}},
                                  {"ratePerS", *workspace_rate_}};
    }
    return plan.dump();
  }

  LoopThread& loop_;
  std::atomic<int> detours_ = 0;
  std::optional<double> workspace_rate_;
  std::optional<HttpServer> server_;
  std::unique_ptr<LogWriter> log_;
  std::unique_ptr<FleetMetrics> metrics_;
  std::unique_ptr<EntryState> state_;
  std::unique_ptr<EntryRequestHandler> handler_;
};

// An address that refuses connections.
class ClosedPort {
 public:
  ClosedPort() : socket_(loop_) {
    socket_.open(boost::asio::ip::tcp::v4());
    socket_.bind({boost::asio::ip::address_v4::loopback(), 0});
  }
  Endpoint endpoint() const {
    return {"127.0.0.1", socket_.local_endpoint().port()};
  }

 private:
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace sapphirebank
