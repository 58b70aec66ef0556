#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "programs/fleet_host/entry_codec.h"
#include "programs/fleet_host/entry_state.h"
#include "sapphirebank/telemetry/fleet_metrics.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/http_client.h"

namespace sapphirebank {

// Serves callers' requests: route, key, rate, backend server, tries, answer.
// Used on one event loop only.
class EntryRequestHandler {
 public:
  EntryRequestHandler(boost::asio::io_context& loop, EntryState& state,
                      EntryCodec codec, LogWriter& log, FleetMetrics& metrics);

  // Returns how many bytes the request's body may have. Fails with
  // kNoConfiguration before a plan is in force.
  Result<std::uint64_t> AcceptHead(const HttpRequestHead& head) const;

  // From now on no try is given up before its request is: the caller has no
  // other host to turn to in time.
  void BeginDrain() { draining_ = true; }

  // Answers a whole request.
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest request);

 private:
  struct RequestContext;

  // What a try came to.
  struct AttemptResult {
    // The answer for the caller, if there is one.
    std::optional<HttpAnswer> answer;
    // Otherwise why there is none.
    ErrorKind failure = ErrorKind::kInternal;
    // Another server may be asked.
    bool may_retry = false;
    // The server had a part of the request.
    bool received_by_server = false;
    // The next try is paid for already.
    bool is_retry_charged = false;
    // What it says about the server.
    AssignmentEnd assignment_end = AssignmentEnd::kUnjudged;
  };

  Result<void> Admit(RequestContext& context) const;
  boost::asio::awaitable<Result<void>> AcquireRateToken(
      RequestContext& context);
  boost::asio::awaitable<HttpAnswer> Forward(RequestContext& context);
  boost::asio::awaitable<AttemptResult> RunAttempt(RequestContext& context,
                                                   EntryState::Choice choice);
  AttemptResult ClassifyFailure(RequestContext& context, KnownServer& server,
                                const AttemptFailure& failure);
  AttemptResult ClassifyAnswer(RequestContext& context, KnownServer& server,
                               HttpAnswer answer);
  const PlannedService* ChooseService(const RequestContext& context);
  bool TryAbandonAttempt(const RequestContext& context);
  // Returns what must live as long as the try.
  std::shared_ptr<void> StartAttemptTimer(
      const RequestContext& context, boost::asio::steady_timer& timer,
      const std::shared_ptr<CallerWatch>& watch);
  bool MayRetry(RequestContext& context, const AttemptResult& end, Instant now);
  HttpAnswer Refuse(RequestContext& context, ErrorKind kind,
                    Duration retry_after);
  void LogRequest(const RequestContext& context, const HttpAnswer& answer);
  void RecordMetrics(const RequestContext& context);

  EntryState& state_;
  EntryCodec codec_;
  LogWriter& log_;
  FleetMetrics& metrics_;
  boost::asio::io_context& loop_;
  HttpClient client_;
  bool draining_ = false;
};

}  // namespace sapphirebank
