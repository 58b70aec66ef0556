#include "sapphirebank/transport/operator_server.h"

#include <fmt/format.h>
#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/request/refusal.h"
#include "sapphirebank/request/route_table.h"
#include "sapphirebank/telemetry/totals_codec.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;
using httplib::Request;
using httplib::Response;

constexpr const char* kJsonMediaType = "application/json";
constexpr std::string_view kBearer = "Bearer ";
constexpr int kOkStatus = 200;

// A thread pool with a bounded queue. enqueue() blocks while the queue is full,
// which stops the server from accepting connections.
class BoundedTaskQueue : public httplib::TaskQueue {
 public:
  BoundedTaskQueue(std::size_t threads, std::size_t max_waiting)
      : max_waiting_(max_waiting) {
    for (std::size_t i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { RunTasks(); });
    }
  }

  void enqueue(std::function<void()> task) override {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return tasks_.size() < max_waiting_; });
    tasks_.push_back(std::move(task));
    changed_.notify_all();
  }

  void shutdown() override {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
      changed_.notify_all();
    }
    for (std::thread& thread : threads_) thread.join();
  }

 private:
  void RunTasks() {
    while (true) {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [&] { return closed_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      const std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      changed_.notify_all();
      lock.unlock();
      task();
    }
  }

  std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  bool closed_ = false;
  std::vector<std::thread> threads_;
};

// Sets SO_REUSEADDR, so that a restarted daemon can bind its port at once, but
// not SO_REUSEPORT, which the library sets by default and which would let two
// daemons share a port.
void SetSocketOptions(socket_t socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

Result<void> CheckHooks(const OperatorHooks& hooks) {
  if (hooks.operator_of_digest && hooks.declarations && hooks.apply &&
      hooks.status && hooks.backends && hooks.totals && hooks.leader) {
    return {};
  }
  return Fail(ErrorKind::kInvalidSettings,
              "a hook of the operators' server is not set");
}

// Checks the header fields that delimit a request's body before any of the body
// is read.
Result<void> CheckFraming(const Request& request, std::size_t max_body_bytes) {
  if (request.has_header("Transfer-Encoding")) {
    return Fail(ErrorKind::kMalformedRequest,
                "Transfer-Encoding is not served, expected Content-Length");
  }
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  if (lengths == 0 && request.method == "GET") return {};
  if (lengths != 1) {
    return Fail(ErrorKind::kMalformedRequest, "expected one Content-Length");
  }
  const std::string text = request.get_header_value("Content-Length");
  std::uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, length);
  if (error != std::errc() || rest != end) {
    return Fail(ErrorKind::kMalformedRequest,
                "expected a Content-Length of digits");
  }
  if (length <= max_body_bytes) return {};
  return Fail(ErrorKind::kBodyTooLarge,
              fmt::format("the body has {} bytes, expected at most {}", length,
                          max_body_bytes));
}

}  // namespace

class OperatorServer::Core {
 public:
  Core(const OperatorServerSettings& settings, OperatorHooks hooks)
      : settings_(settings), hooks_(std::move(hooks)) {
    server_.new_task_queue = [this] {
      return new BoundedTaskQueue(settings_.threads, settings_.max_waiting);
    };
    server_.set_socket_options(SetSocketOptions);
    server_.set_keep_alive_max_count(1);
    server_.set_read_timeout(settings_.io_timeout);
    server_.set_write_timeout(settings_.io_timeout);
    server_.set_payload_max_length(settings_.max_body_bytes);
    AddRoutes();
  }

  ~Core() {
    server_.stop();
    if (thread_.joinable()) thread_.join();
  }

  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  Result<void> Start() {
    const Endpoint& endpoint = settings_.endpoint;
    if (endpoint.port == 0) {
      port_ = server_.bind_to_any_port(endpoint.ip);
    } else if (server_.bind_to_port(endpoint.ip, endpoint.port)) {
      port_ = endpoint.port;
    }
    if (port_ <= 0) {
      return Fail(ErrorKind::kInvalidSettings,
                  fmt::format("cannot open the operators' port {}",
                              ToString(endpoint)));
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // stop() has no effect until the server is running, so wait for that.
    while (!server_.is_running()) std::this_thread::yield();
    return {};
  }

  int port() const { return port_; }

 private:
  void AddRoutes() {
    server_.set_pre_routing_handler(
        [this](const Request& request, Response& response) {
          const auto accepted = Accept(request);
          if (accepted) return httplib::Server::HandlerResponse::Unhandled;
          SendRefusal(response, accepted.error());
          return httplib::Server::HandlerResponse::Handled;
        });
    Serve("/v1/declarations", [this](const Request&) -> Result<Json> {
      return hooks_.declarations();
    });
    Serve("/v1/status",
          [this](const Request&) -> Result<Json> { return hooks_.status(); });
    Serve("/v1/backends",
          [this](const Request&) -> Result<Json> { return hooks_.backends(); });
    Serve("/v1/totals",
          [this](const Request& request) { return Totals(request); });
    server_.Post("/v1/changes",
                 [this](const Request& request, Response& response) {
                   SendJson(response, ApplyRequest(request));
                 });
    server_.set_error_handler([this](const Request&, Response& response) {
      if (!response.body.empty()) return;
      SendRefusal(response, ErrorForStatus(response.status));
    });
    server_.set_exception_handler(
        [this](const Request&, Response& response, const std::exception_ptr&) {
          SendRefusal(response,
                      {ErrorKind::kInternal,
                       "unexpected exception while handling the request"});
        });
  }

  void Serve(const char* path,
             std::function<Result<Json>(const Request&)> make) {
    server_.Get(path, [this, make = std::move(make)](const Request& request,
                                                     Response& response) {
      SendJson(response, make(request));
    });
  }

  // Checks the method and framing of a request and authenticates the operator.
  Result<void> Accept(const Request& request) const {
    if (request.method != "GET" && request.method != "POST") {
      return Fail(ErrorKind::kMethodNotAllowed, "expected GET or POST");
    }
    if (auto framing = CheckFraming(request, settings_.max_body_bytes);
        !framing) {
      return framing;
    }
    auto name = OperatorOf(request);
    if (!name) return tl::unexpected(name.error());
    return {};
  }

  Result<std::string> OperatorOf(const Request& request) const {
    const std::string field = request.get_header_value("Authorization");
    if (field.starts_with(kBearer)) {
      const std::string digest = Sha256Hex(field.substr(kBearer.size()));
      auto name = hooks_.operator_of_digest(digest);
      if (!name) return tl::unexpected(name.error());
      if (*name) return std::move(**name);
    }
    return Fail(ErrorKind::kOperatorUnknown,
                "expected \"Authorization: Bearer\" with an operator's key");
  }

  Result<Json> ApplyRequest(const Request& request) const {
    auto name = OperatorOf(request);
    if (!name) return tl::unexpected(name.error());
    auto change = ChangeFromBody(request.body);
    if (!change) return tl::unexpected(change.error());
    change->operator_id = std::move(*name);
    const auto answer = hooks_.apply(*change);
    if (!answer) return tl::unexpected(answer.error());
    return Json{{"revision", answer->revision}};
  }

  Result<Json> Totals(const Request& request) const {
    const std::string day = request.get_param_value("day");
    if (!ParseCalendarTime(day + "T00:00Z")) {
      return Fail(ErrorKind::kMalformedRequest,
                  "expected the parameter day as YYYY-MM-DD");
    }
    return hooks_.totals(day);
  }

  void SendJson(Response& response, const Result<Json>& json) const {
    if (!json) return SendRefusal(response, json.error());
    response.status = kOkStatus;
    response.set_content(
        json->dump(-1, ' ', false, Json::error_handler_t::replace),
        kJsonMediaType);
  }

  void SendRefusal(Response& response, const Error& error) const {
    OperatorRefusal refusal{error, std::nullopt};
    if (error.kind == ErrorKind::kNotLeader) refusal.leader = hooks_.leader();
    response.status = AnswerFor(error.kind).http_status;
    response.set_content(RefusalToBody(refusal),
                         std::string(kProblemMediaType).c_str());
  }

  // Returns the Error for a status that the library generated itself.
  static Error ErrorForStatus(int status) {
    if (status == AnswerFor(ErrorKind::kNotFound).http_status) {
      return {ErrorKind::kNotFound, "expected a path under /v1/"};
    }
    if (status == AnswerFor(ErrorKind::kBodyTooLarge).http_status) {
      return {ErrorKind::kBodyTooLarge, "the body is too large"};
    }
    return {ErrorKind::kMalformedRequest, "the request cannot be parsed"};
  }

  OperatorServerSettings settings_;
  OperatorHooks hooks_;
  httplib::Server server_;
  std::thread thread_;
  int port_ = 0;
};

OperatorServer::OperatorServer(std::unique_ptr<Core> core)
    : core_(std::move(core)) {}

OperatorServer::~OperatorServer() = default;

Result<std::unique_ptr<OperatorServer>> OperatorServer::Start(
    const OperatorServerSettings& settings, OperatorHooks hooks) {
  if (auto checked = CheckHooks(hooks); !checked) {
    return tl::unexpected(checked.error());
  }
  auto core = std::make_unique<Core>(settings, std::move(hooks));
  if (auto started = core->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(core)));
}

std::uint16_t OperatorServer::port() const {
  return static_cast<std::uint16_t>(core_->port());
}

}  // namespace sapphirebank
