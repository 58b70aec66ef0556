#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "programs/fleet_host/entry_codec.h"
#include "programs/fleet_host/entry_state.h"
#include "programs/fleet_host/server_path_prober.h"
#include "sapphirebank/fleet/drain_schedule.h"
#include "sapphirebank/request/execution_record.h"
#include "sapphirebank/telemetry/fleet_metrics.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/http_client.h"

namespace sapphirebank {

// What an entry host may use.
struct EntryHostResources {
  // Memory in bytes for answers of backend servers.
  std::size_t max_answer_bytes = std::size_t{64} << 20U;
  // Rate of the host's link in bytes per second; 0 if it is not known.
  double link_rate = 0;
};

// Handles callers' requests: finds the route, checks key and rate limit, sends
// attempts to backend servers and returns the answer. Not thread-safe: all
// calls must come from the thread of its event loop.
class EntryRequestHandler {
 public:
  // `self` is the address at which this host gets requests of other entry
  // hosts.
  EntryRequestHandler(boost::asio::io_context& loop, EntryState& state,
                      EntryCodec codec, const Endpoint& self,
                      FleetSecret secret, const EntryHostResources& resources,
                      LogWriter& log, FleetMetrics& metrics);

  // Returns the maximum size of the request body in bytes: that of the plan, or
  // the default before a plan is in force.
  Result<std::uint64_t> AcceptHead(const HttpRequestHead& head) const;

  // From now on accepts only requests that can be answered within the schedule,
  // and stops abandoning slow attempts: callers have no time to turn to another
  // host.
  void BeginDrain(Instant now, const DrainSchedule& schedule) {
    drain_ = Drain{now, schedule};
  }

  // Ends all attempts, so that requests are answered before the process ends:
  // those that may have run as having an unknown outcome.
  void EndAttempts();

  // Handles a request whose body has been received.
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest request);

  // Handles a caller's request that another entry host sent here, as that host
  // reaches no backend server. It is not sent on to a third host.
  boost::asio::awaitable<HttpAnswer> HandleDetour(HttpRequest request);

 private:
  struct RequestContext;

  // Result of one attempt.
  struct AttemptResult {
    // The answer for the caller, if there is one.
    std::optional<HttpAnswer> answer;
    // Otherwise the reason for the failure.
    ErrorKind failure = ErrorKind::kInternal;
    // Another attempt is permitted.
    bool may_retry = false;
    // The server may have received a part of the request.
    bool received_by_server = false;
    NotRunEvidence evidence = NotRunEvidence::kNone;
    // The retry budget has been charged for the next attempt already.
    bool is_retry_charged = false;
    // Outcome for the server's health; nothing when it is not known yet whether
    // the server or this host's path is the cause.
    std::optional<AssignmentOutcome> assignment_outcome =
        AssignmentOutcome::kInconclusive;
  };

  // A drain in progress.
  struct Drain {
    Instant started_at;
    DrainSchedule schedule;
    bool attempts_are_over = false;
  };

  boost::asio::awaitable<HttpAnswer> Serve(RequestContext& context);
  Result<void> Admit(RequestContext& context) const;
  void SetDeadlines(RequestContext& context) const;
  bool FitsDrain(const RequestContext& context) const;
  bool AttemptsAreOver() const { return drain_ && drain_->attempts_are_over; }
  // Returns a watch by which EndAttempts() ends an attempt while it is held.
  std::shared_ptr<CallerWatch> AddAttemptWatch();
  boost::asio::awaitable<Result<void>> AcquireRateToken(
      RequestContext& context);
  Result<void> TakeLocalToken(const RequestContext& context);
  boost::asio::awaitable<HttpAnswer> Forward(RequestContext& context);
  boost::asio::awaitable<AttemptResult> RunAttempt(RequestContext& context,
                                                   EntryState::Choice choice);
  // Classifies the result of an attempt that began at `sent_at`. Ends the
  // attempt's `guard` where the attempt has failed.
  AttemptResult Classify(RequestContext& context,
                         const EntryState::Choice& choice,
                         ExchangeResult& result, std::shared_ptr<void>& guard,
                         Instant sent_at);
  // `blames_server` tells whether a failure is due to the server: a request
  // that was abandoned in its queue is not.
  AttemptResult ClassifyFailure(RequestContext& context,
                                const EntryState::Choice& choice,
                                const ExchangeResult& result,
                                bool blames_server, Instant sent_at);

  // Returns what the end of an attempt that began at `sent_at` tells of the
  // server's version.
  AttemptEnd EndOf(const RequestContext& context, const KnownServer& server,
                   Instant sent_at, bool failed) const;

  // Counts a request that reached a server of a service with a rollout.
  void CountRolloutRequest(const KnownServer& server);

  // entry_request_detour.cc
  bool ShouldDetour(const RequestContext& context) const;
  // Sends the request to another entry host. Returns the answer for the caller,
  // or nothing when another attempt of any kind may follow; `last` is set to
  // the result then.
  boost::asio::awaitable<std::optional<HttpAnswer>> TakeDetour(
      RequestContext& context, AttemptResult& last);
  HttpExchange MakeDetour(const RequestContext& context,
                          const std::string& host, Instant now) const;
  std::optional<HttpAnswer> ClassifyDetour(RequestContext& context,
                                           ExchangeResult result,
                                           const std::string& host,
                                           ExecutionRecord::Attempt& execution,
                                           AttemptResult& last);

  // Logs a request that was checked at `checked_at` and whose bytes left `way`
  // after the first one.
  void LogLongWay(const RequestContext& context, const KnownServer& server,
                  Instant checked_at, Duration way);
  void LogFailedAttempt(const RequestContext& context,
                        const KnownServer& server,
                        const ExchangeResult& result);
  // Logs an answer that promises that the request has not run and does not
  // prove it.
  void LogUnprovedPromise(const RequestContext& context,
                          const KnownServer& server,
                          const ExchangeTrace& trace);
  AttemptResult ClassifyAnswer(RequestContext& context, KnownServer& server,
                               ExchangeResult& result, Instant sent_at);
  // Records what the server says about itself in an answer to a request sent at
  // `sent_at`.
  void RecordSignals(Instant now, Instant sent_at, KnownServer& server,
                     const BackendResponseInfo& info);
  const PlannedService* ChooseService(const RequestContext& context);
  ServerQuery MakeQuery(const RequestContext& context) const;
  // Returns the server for the next attempt, with a rate token if the request
  // still needs one. Fails when the workspace's rate is exceeded.
  boost::asio::awaitable<Result<EntryState::Choice>> ChooseServer(
      RequestContext& context);
  // Returns the number of attempts that a server may have run.
  static int AttemptsRun(const RequestContext& context);
  // Returns whether a request that the hub refused for now is held and sent to
  // it again.
  bool MayHold(const RequestContext& context, const DispatchRefusal& refusal,
               Instant now) const;
  // Waits for `time`, or until the caller has left or attempts are over.
  boost::asio::awaitable<void> Hold(RequestContext& context, Duration time);
  bool MayAbandon(const RequestContext& context) const;
  // Replaces the attempt when its server does not answer in time. The caller
  // keeps the returned object alive during the attempt.
  std::shared_ptr<void> StartAttemptTimer(
      RequestContext& context, boost::asio::steady_timer& timer,
      const std::shared_ptr<CallerWatch>& watch, bool is_busy);
  // Chooses another server for the request and abandons the attempt by way of
  // `watch`, unless no retry is available. `attempt` expires with the attempt.
  boost::asio::awaitable<void> ReplaceAttempt(
      RequestContext& context, std::shared_ptr<CallerWatch> watch,
      std::weak_ptr<void> attempt);
  bool MayRetry(RequestContext& context, const AttemptResult& last,
                Instant now);
  // Refuses the request with `kind`, or with kBackendBroken where `kind` says
  // that the request has not run and that is not proved.
  HttpAnswer Refuse(RequestContext& context, ErrorKind kind);
  HttpAnswer MakeNotRunRefusal(const NotRunProof& proof,
                               RequestContext& context, ErrorKind kind);
  HttpAnswer MakeRefusal(RequestContext& context, ErrorKind kind,
                         Duration retry_after);
  // Returns the answer of a server as it is, unless its status promises that
  // the request has not run: no server's answer that is passed on says so.
  HttpAnswer ReplaceUnprovedPromise(RequestContext& context, HttpAnswer answer);
  void LogRequest(const RequestContext& context, const HttpAnswer& answer);
  void RecordMetrics(const RequestContext& context);

  EntryState& state_;
  EntryCodec codec_;
  LogWriter& log_;
  FleetMetrics& metrics_;
  boost::asio::io_context& loop_;
  std::string self_;
  FleetSecret secret_;
  std::uint16_t fleet_port_;
  // Shared with the coroutines that are counted, which may be destroyed later.
  std::shared_ptr<std::size_t> detours_in_progress_ =
      std::make_shared<std::size_t>(0);
  HttpClient client_;
  ServerPathProber path_prober_;
  std::optional<Drain> drain_;
  std::vector<std::weak_ptr<CallerWatch>> attempt_watches_;
  int held_requests_ = 0;
};

}  // namespace sapphirebank
