#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/request/dispatcher.h"
#include "sapphirebank/request/route_table.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/forward_fields.h"
#include "sapphirebank/transport/http_client.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

struct RequestProxySettings {
  HostId host;
  Incarnation incarnation = 0;
  std::string key_field = "x-api-key";  // Lower case.
  // Largest encoded answer in bytes that is stored with an idempotency key.
  std::size_t max_stored_answer = std::size_t{16} << 10U;
};

// Functions of the host that the proxy depends on. A hook with a callback
// invokes it exactly once, on any thread.
struct RequestProxyHooks {
  template <typename T>
  using Callback = std::function<void(T)>;

  std::function<Instant()> now;
  // Returns the declarations in force; null before the first configuration.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  // Returns whether this host's list of caller keys is recent enough to be
  // trusted.
  std::function<bool()> keys_verifiable;
  // Takes one token for a request from the workspace's rate limit.
  std::function<void(const WorkspaceId&, Callback<Result<void>>)>
      acquire_rate_token;
  std::function<void(DispatchRequest, Callback<DispatchDecision>)> dispatch;
  // Cancels a dispatch whose callback has not been invoked yet.
  std::function<void(DispatchId)> cancel_dispatch;
  // Reports the outcome of an attempt on a backend server that this host owns
  // and releases its slot.
  std::function<void(AttemptId, Outcome, Callback<ConnectionAdvice>)>
      finish_attempt;
  // Takes a token from the service's retry budget; false when it is empty.
  std::function<void(const ServiceId&, Callback<bool>)> acquire_retry_token;
  // Claims an idempotency key at the control hosts, so that its request runs at
  // most once.
  std::function<void(Claim, Callback<Result<ClaimResult>>)> claim;
  // Records the outcome of a claim at the control hosts. Resent until they
  // acknowledge it or the time-out of the call passes.
  std::function<void(CompleteClaim)> complete_claim;
  // Writes a structured log line.
  std::function<void(std::string_view event, nlohmann::json fields)> log;
  // Called once per finished request, for metrics. `kind` is null unless the
  // request was refused; `added` is the latency that the proxy added, that is
  // the total time less the time spent in attempts.
  std::function<void(const ServiceId&, const WorkspaceId&,
                     const ErrorKind* kind, Duration added, std::size_t bytes)>
      count_request;
};

// Proxies requests from callers to backend servers: authorization, rate limit,
// idempotency claims, dispatch, attempts and retries. Used on one event loop
// only.
class RequestProxy {
 public:
  RequestProxy(boost::asio::io_context& loop, RequestProxySettings settings,
               FleetSecret secret, RequestProxyHooks hooks);

  // Returns the body limit in bytes for a caller's request, or the Error with
  // which it is refused before its body is read.
  Result<std::uint64_t> AcceptCallerHead(const HttpRequestHead& head) const;

  // Handles a request that a caller sent to this host.
  boost::asio::awaitable<HttpAnswer> HandleCaller(HttpRequest request);

  // As AcceptCallerHead() and HandleCaller(), for a request that another entry
  // host forwards.
  Result<std::uint64_t> AcceptForwardHead(const HttpRequestHead& head) const;
  boost::asio::awaitable<HttpAnswer> HandleForward(HttpRequest request);

 private:
  struct ProxiedRequest;
  class SlotStream;

  Result<RouteTable::Match> Authorize(const RouteTable& table,
                                      const HttpRequestHead& head) const;
  boost::asio::awaitable<HttpAnswer> Serve(ProxiedRequest& proxied);
  boost::asio::awaitable<Result<ClaimResult>> AcquireClaim(
      const ProxiedRequest& proxied, const Claim& claim);
  boost::asio::awaitable<Result<HttpAnswer>> RunWithClaim(
      ProxiedRequest& proxied);
  CompleteClaim ClaimCompletion(const Claim& claim,
                                const Result<HttpAnswer>& result) const;
  boost::asio::awaitable<Result<HttpAnswer>> RunAttemptsWithProof(
      ProxiedRequest& proxied);
  boost::asio::awaitable<Result<HttpAnswer>> RunAttempts(
      ProxiedRequest& proxied);
  boost::asio::awaitable<ExchangeResult> SendAttempt(
      ProxiedRequest& proxied, DispatchDecision dispatch_decision);
  boost::asio::awaitable<ExchangeResult> SendToBackend(
      ProxiedRequest& proxied, const Placement& placement);
  boost::asio::awaitable<ExchangeResult> ForwardToPeer(ProxiedRequest& proxied,
                                                       const ForwardTo& to);
  boost::asio::awaitable<bool> RetryAllowed(ProxiedRequest& proxied,
                                            const AttemptFailure& failure,
                                            AttemptDecision& decision);
  void Finish(AttemptId attempt, const Outcome& outcome,
              const Endpoint& server);
  DispatchRequest MakeDispatchRequest(const ProxiedRequest& proxied);
  HttpAnswer Refuse(const ProxiedRequest& proxied, const Error& error) const;
  void LogAndCount(const ProxiedRequest& proxied, const HttpAnswer& answer,
                   const ErrorKind* kind) const;
  RequestId NextRequestId();

  boost::asio::io_context& loop_;
  RequestProxySettings settings_;
  FleetSecret secret_;
  RequestProxyHooks hooks_;
  HttpClient client_;
  std::uint64_t next_request_ = 1;
  DispatchId next_dispatch_ = 1;
};

}  // namespace sapphirebank
