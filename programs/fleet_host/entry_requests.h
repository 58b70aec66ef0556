#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "programs/fleet_host/entry_dialect.h"
#include "programs/fleet_host/entry_state.h"
#include "sapphirebank/telemetry/fleet_metrics.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/http_client.h"

namespace sapphirebank {

// Serves callers' requests: route, key, rate, backend server, tries, answer.
// Used on one event loop only.
class EntryRequests {
 public:
  EntryRequests(boost::asio::io_context& loop, EntryState& state,
                EntryDialect dialect, LogWriter& log, FleetMetrics& metrics);

  // Returns how many bytes the request's body may have. Fails with
  // kNoConfiguration before a plan is in force.
  Result<std::uint64_t> AcceptHead(const HttpRequestHead& head) const;

  // From now on no try is given up before its request is: the caller has no
  // other host to turn to in time.
  void Leave() { leaving_ = true; }

  // Answers a whole request.
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest request);

 private:
  struct Work;

  // What a try came to.
  struct TryEnd {
    // The answer for the caller, if there is one.
    std::optional<HttpAnswer> answer;
    // Otherwise why there is none.
    ErrorKind failure = ErrorKind::kInternal;
    // Another server may be asked.
    bool may_retry = false;
    // The server had a part of the request.
    bool arrived = false;
    // The next try is paid for already.
    bool is_paid = false;
    // What it says about the server.
    AssignmentOutcome server = AssignmentOutcome::kInconclusive;
  };

  Result<void> Admit(Work& work) const;
  boost::asio::awaitable<Result<void>> TakeAllowance(Work& work);
  boost::asio::awaitable<HttpAnswer> Forward(Work& work);
  boost::asio::awaitable<TryEnd> Try(Work& work, EntryState::Choice choice);
  TryEnd JudgeFailure(Work& work, KnownServer& server,
                      const AttemptFailure& failure);
  TryEnd JudgeAnswer(Work& work, KnownServer& server, HttpAnswer answer);
  const PlannedService* ChooseService(const Work& work);
  bool GiveUp(const Work& work);
  // Returns what must live as long as the try.
  std::shared_ptr<void> WatchTry(const Work& work,
                                 boost::asio::steady_timer& timer,
                                 const std::shared_ptr<CallerWatch>& watch);
  bool MayRetry(Work& work, const TryEnd& end, Instant now);
  HttpAnswer Refuse(Work& work, ErrorKind kind, Duration retry_after);
  void LogEnd(const Work& work, const HttpAnswer& answer);
  void CountEnd(const Work& work);

  EntryState& state_;
  EntryDialect dialect_;
  LogWriter& log_;
  FleetMetrics& metrics_;
  boost::asio::io_context& loop_;
  HttpClient client_;
  bool leaving_ = false;
};

}  // namespace sapphirebank
