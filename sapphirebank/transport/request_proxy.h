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
  // Bytes of an answer at most that are kept with an idempotency key.
  std::size_t max_stored_answer = std::size_t{16} << 10U;
};

// What the proxy asks of the rest of the host. A hook with a callback calls it
// once, on any thread.
struct RequestProxyHooks {
  template <typename T>
  using Callback = std::function<void(T)>;

  std::function<Instant()> now;
  // The declarations in force; null while there are none.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  // Whether this host may trust its list of keys.
  std::function<bool()> keys_verifiable;
  // Takes one request from the workspace's rate.
  std::function<void(const WorkspaceId&, Callback<Result<void>>)>
      acquire_rate_token;
  std::function<void(DispatchRequest, Callback<DispatchDecision>)> dispatch;
  // Gives up a dispatch that was not answered yet.
  std::function<void(DispatchId)> cancel_dispatch;
  // Ends a try on a backend server of this host.
  std::function<void(AttemptId, Outcome, Callback<ConnectionAdvice>)> finish;
  std::function<void(const ServiceId&, Callback<bool>)> acquire_retry_token;
  // Asks the control hosts for the right to run a request once.
  std::function<void(Claim, Callback<Result<ClaimResult>>)> claim;
  // Tells them how it ended; repeated until they have noted it.
  std::function<void(CompleteClaim)> complete_claim;
  // Writes a log line for a decision.
  std::function<void(std::string_view event, nlohmann::json fields)> log;
  // Told once for each request that is over. `kind` is null for a whole
  // answer; `added` is the time that was not spent on a backend server.
  std::function<void(const ServiceId&, const WorkspaceId&,
                     const ErrorKind* kind, Duration added, std::size_t bytes)>
      count;
};

// Carries one request from its caller to a backend server and its answer back:
// the checks, the tries and the retries between them.
class RequestProxy {
 public:
  RequestProxy(boost::asio::io_context& loop, RequestProxySettings settings,
               FleetSecret secret, RequestProxyHooks hooks);

  // Returns how many bytes the body of a caller's request may have, or why the
  // request is refused without it.
  Result<std::uint64_t> AcceptCallerHead(const HttpRequestHead& head) const;

  // Answers a caller's request.
  boost::asio::awaitable<HttpAnswer> HandleCaller(HttpRequest request);

  // The same for a request that another entry host forwards.
  Result<std::uint64_t> AcceptForwardHead(const HttpRequestHead& head) const;
  boost::asio::awaitable<HttpAnswer> HandleForward(HttpRequest request);

 private:
  struct ProxiedRequest;
  class SlotStream;

  Result<RouteTable::Match> Authorize(const RouteTable& table,
                                      const HttpRequestHead& head) const;
  boost::asio::awaitable<HttpAnswer> Serve(ProxiedRequest& proxied);
  boost::asio::awaitable<Result<HttpAnswer>> RunWithClaim(
      ProxiedRequest& proxied);
  CompleteClaim ClaimCompletion(const Claim& claim,
                                const Result<HttpAnswer>& result) const;
  boost::asio::awaitable<Result<HttpAnswer>> RunAttempts(
      ProxiedRequest& proxied);
  boost::asio::awaitable<ExchangeResult> SendAttempt(ProxiedRequest& proxied,
                                                     DispatchDecision answer);
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
