#include <fmt/format.h>

#include <utility>

#include "programs/sapphirebankd/entry_daemon.h"
#include "programs/sapphirebankd/process.h"
#include "sapphirebank/backend/backend_codec.h"
#include "sapphirebank/request/refusal.h"
#include "sapphirebank/transport/await_callback.h"

// The parts of EntryDaemon that run on the event loop: requests of callers,
// lookups, announcements of backend servers, metrics and health probes.

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr Duration kClaimTimeout = std::chrono::seconds(3);
constexpr Duration kCompleteClaimTimeout = std::chrono::minutes(5);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::size_t kAddressesInLookup = 4;
constexpr int kLookupTtlSeconds = 10;
constexpr std::string_view kLookupPath = "/.sapphirebank/lookup";
constexpr std::string_view kAnnouncementPath = "/announcements";
constexpr std::string_view kSecretField = "x-announcement-secret";
constexpr int kAccepted = 202;

HttpAnswer JsonAnswer(int status, const json& body) {
  HttpAnswer answer;
  answer.status = status;
  answer.fields.push_back({"content-type", "application/json"});
  answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return answer;
}

HttpAnswer Refusal(const Error& error) {
  HttpAnswer answer;
  answer.status = AnswerFor(error.kind).http_status;
  answer.fields.push_back({"content-type", std::string(kProblemMediaType)});
  answer.body = RefusalBody(error, RequestId());
  return answer;
}

HttpAnswer Refusal(ErrorKind kind, std::string detail) {
  return Refusal(Error(kind, std::move(detail)));
}

// Returns the service name in a lookup target "/.sapphirebank/lookup/NAME".
std::optional<std::string> LookupService(std::string_view target) {
  target = target.substr(0, target.find('?'));
  if (!target.starts_with(kLookupPath)) return std::nullopt;
  target.remove_prefix(kLookupPath.size());
  if (target.size() < 2 || target.front() != '/') return std::nullopt;
  return std::string(target.substr(1));
}

}  // namespace

RequestProxyHooks EntryDaemon::ProxyHooks() {
  RequestProxyHooks hooks;
  hooks.now = MonotonicNow;
  hooks.routes = [this] { return std::atomic_load(&table_); };
  hooks.keys_verifiable = [this] {
    const std::lock_guard<std::mutex> lock(freshness_mutex_);
    return freshness_.CheckAdmission(MonotonicNow()).has_value();
  };
  hooks.acquire_rate_token = [this](const WorkspaceId& workspace,
                                    Callback<Result<void>> callback) {
    traffic_thread_.Post([this, workspace, callback = std::move(callback)] {
      const auto number = next_admission_number_++;
      pending_admissions_.emplace(number, callback);
      ExecuteEffects(traffic_.Admit(MonotonicNow(), workspace, number));
    });
  };
  hooks.dispatch = [this](DispatchRequest request,
                          Callback<DispatchDecision> callback) {
    traffic_thread_.Post(
        [this, moved = std::move(request), callback = std::move(callback)] {
          pending_dispatches_.emplace(moved.id, callback);
          ExecuteEffects(traffic_.Dispatch(MonotonicNow(), moved));
        });
  };
  hooks.cancel_dispatch = [this](DispatchId id) {
    traffic_thread_.Post([this, id] { traffic_.CancelDispatch(id); });
  };
  hooks.finish_attempt = [this](AttemptId attempt, Outcome outcome,
                                Callback<ConnectionAdvice> callback) {
    traffic_thread_.Post([this, attempt, outcome,
                          callback = std::move(callback)] {
      FinishResult result;
      ExecuteEffects(traffic_.Finish(MonotonicNow(), attempt, outcome, result));
      callback(result.connection);
    });
  };
  hooks.acquire_retry_token = [this](const ServiceId& service,
                                     Callback<bool> callback) {
    traffic_thread_.Post([this, service, callback = std::move(callback)] {
      callback(traffic_.TakeRetry(service));
    });
  };
  hooks.claim = [this](Claim claim, Callback<Result<ClaimResult>> callback) {
    control_thread_.Post(
        [this, moved = std::move(claim), callback = std::move(callback)] {
          const Instant now = MonotonicNow();
          const auto token = next_token_++;
          pending_claims_.emplace(token, callback);
          ExecuteEffects(
              control_client_.Submit(now, moved, now + kClaimTimeout, token));
        });
  };
  hooks.complete_claim = [this](CompleteClaim completion) {
    control_thread_.Post([this, moved = std::move(completion)] {
      const Instant now = MonotonicNow();
      ExecuteEffects(control_client_.Submit(
          now, moved, now + kCompleteClaimTimeout, next_token_++));
    });
  };
  hooks.log = [this](std::string_view event, json fields) {
    log_.Write(LogLevel::kInfo, event, std::move(fields));
  };
  hooks.count_request = [this](const ServiceId& service, const WorkspaceId&,
                               const ErrorKind* kind, Duration added,
                               std::size_t) { Count(service, kind, added); };
  return hooks;
}

Result<std::uint64_t> EntryDaemon::AcceptCallerHead(
    const HttpRequestHead& head) const {
  if (LookupService(head.target)) return std::uint64_t{0};
  if (draining_) {
    return Fail(ErrorKind::kHostLeaving, "this host is shutting down");
  }
  return proxy_->AcceptCallerHead(head);
}

asio::awaitable<HttpAnswer> EntryDaemon::HandleCaller(HttpRequest request) {
  const auto service = LookupService(request.head.target);
  if (service) return HandleLookup(*service);
  return proxy_->HandleCaller(std::move(request));
}

asio::awaitable<HttpAnswer> EntryDaemon::HandleLookup(std::string service) {
  const auto table = std::atomic_load(&table_);
  if (!table) {
    co_return Refusal(ErrorKind::kNoConfiguration,
                      "this host has not received a configuration yet");
  }
  if (table->FindService(service) == nullptr) {
    co_return Refusal(ErrorKind::kNotFound,
                      fmt::format("no service \"{}\"", service));
  }
  const auto owners =
      co_await AwaitCallback<std::vector<OwnerLoad>>(loop_, [&](auto callback) {
        traffic_thread_.Post([this, service, callback] {
          callback(traffic_.OwnersOf(MonotonicNow(), ServiceId(service)));
        });
      });
  json addresses = json::array();
  for (const Endpoint& endpoint :
       ChooseAddresses(lookup_hosts_, owners, kAddressesInLookup, random_)) {
    addresses.push_back(ToString(endpoint));
  }
  const json body = {{"service", service},
                     {"addresses", addresses},
                     {"keep_seconds", kLookupTtlSeconds}};
  co_return JsonAnswer(200, body);
}

asio::awaitable<HttpAnswer> EntryDaemon::HandleAnnouncement(
    HttpRequest request) {
  if (request.head.target != kAnnouncementPath) {
    co_return Refusal(ErrorKind::kNoRoute, "POST /announcements");
  }
  const auto announcement =
      ParseAnnouncement(json::parse(request.body, nullptr, false));
  if (!announcement) co_return Refusal(announcement.error());
  const auto table = std::atomic_load(&table_);
  if (!table) {
    co_return Refusal(ErrorKind::kNoConfiguration,
                      "this host has not received a configuration yet");
  }
  const auto* service = table->FindService(announcement->key.service.value());
  if (service == nullptr) {
    co_return Refusal(
        ErrorKind::kNotFound,
        fmt::format("no service \"{}\"", announcement->key.service.value()));
  }
  const auto secret = FieldValue(request.head.fields, kSecretField);
  if (!RouteTable::AnnouncementAllowed(*service, secret)) {
    co_return Refusal(ErrorKind::kPeerRejected,
                      "wrong announcement secret for this service");
  }
  const auto routed =
      co_await AwaitCallback<Result<void>>(loop_, [&](auto callback) {
        control_thread_.Post([this, callback, announcement = *announcement] {
          auto effects =
              control_.RouteAnnouncement(MonotonicNow(), announcement);
          if (!effects) {
            callback(tl::unexpected(effects.error()));
            return;
          }
          ExecuteEffects(std::move(*effects));
          callback(Result<void>());
        });
      });
  if (!routed) co_return Refusal(routed.error());
  const json body = {{"accepted", true}};
  co_return JsonAnswer(kAccepted, body);
}

asio::awaitable<HttpAnswer> EntryDaemon::HandleMetrics(HttpRequest request) {
  if (request.head.target != "/metrics") {
    co_return Refusal(ErrorKind::kNoRoute, "GET /metrics");
  }
  metrics_->SetLogLinesDropped(log_.dropped());
  HttpAnswer answer;
  answer.fields.push_back({"content-type", "text/plain; version=0.0.4"});
  answer.body = metrics_->Serialize();
  co_return answer;
}

asio::awaitable<void> EntryDaemon::Probe(ProbeRequest probe) {
  HttpExchange exchange;
  exchange.to = {probe.address.ip, probe.address.port};
  exchange.method = "GET";
  exchange.target = "/health";
  exchange.answer_timeout = kProbeTimeout;
  exchange.fresh_connection = true;
  const ExchangeResult result =
      co_await probe_client_.Exchange(std::move(exchange), nullptr);
  ProbeOutcome outcome = ProbeOutcome::kBad;
  if (const auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
    if (answer->status < 400) outcome = ProbeOutcome::kGood;
  } else {
    const auto& failure = std::get<AttemptFailure>(result.outcome);
    if (failure.timed_out) outcome = ProbeOutcome::kTimedOut;
    if (failure.stage == AttemptStage::kNotConnected) {
      outcome = ProbeOutcome::kRefused;
    }
  }
  probe_client_.CloseIdleConnections({probe.address.ip, probe.address.port});
  traffic_thread_.Post([this, backend = probe.backend, outcome] {
    traffic_.FinishProbe(MonotonicNow(), backend, outcome);
  });
}

void EntryDaemon::Count(const ServiceId& service, const ErrorKind* kind,
                        Duration added) {
  if (service.empty()) return;
  if (kind != nullptr) {
    metrics_->CountRefusal(service, *kind);
    return;
  }
  metrics_->CountAnswer(service);
  metrics_->ObserveAddedLatency(service, added);
}

}  // namespace sapphirebank
