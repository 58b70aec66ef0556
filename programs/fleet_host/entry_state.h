#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/detour_hosts.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/hub_circuit_breaker.h"
#include "sapphirebank/fleet/refusal_memory.h"
#include "sapphirebank/fleet/retry_budget_share.h"
#include "sapphirebank/fleet/rollout_sampler.h"
#include "sapphirebank/fleet/server_chooser.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/fleet/server_path_monitor.h"
#include "sapphirebank/fleet/workspace_token_cache.h"

namespace sapphirebank {

// Outcome of requesting a rate token.
enum class TokenOutcome { kGranted, kRefused, kNoAnswer };

// State of an entry host that is shared by its requests: the view of the fleet,
// rate tokens, retry budgets and the outcomes since the last report. Not
// thread-safe: all calls must come from the thread of its event loop.
class EntryState {
 public:
  struct Hooks {
    // Requests that a report is sent at once.
    std::function<void()> report_now;
    // Requests a server from the hub. Returns false when no hub is connected.
    std::function<bool(std::uint64_t number, const DispatchQuery& query)>
        request_server;
    // Reports the outcome of an attempt that the hub assigned.
    std::function<void(std::uint64_t number, AssignmentOutcome outcome)>
        end_assignment;
  };

  EntryState(boost::asio::io_context& loop, PlanReader reader,
             ServerPathMonitor path, ViewLeaseSettings lease,
             double retry_slack, ZoneId zone, std::uint64_t seed, Hooks hooks);

  // Applies an update from the hub. `asked_at` is when the report that it
  // answers was sent. Fails as EntryView::Apply() does.
  Result<void> Apply(Instant now, std::optional<Instant> asked_at,
                     const FleetUpdate& update);

  // Takes a rate token of a workspace that this host holds, and requests more
  // in advance as its requests need.
  bool TryTakeToken(const WorkspaceId& workspace);

  // Takes a rate token of a workspace, waiting at most `wait` for the leader to
  // grant one.
  boost::asio::awaitable<TokenOutcome> TakeToken(WorkspaceId workspace,
                                                 Duration wait);

  // Takes a token from this host's local share of the workspace's rate, for use
  // while the leader does not answer.
  bool TakeOwnShare(Instant now, const PlannedWorkspace& workspace);

  // Counts a request for `service` and adds to its retry budget.
  void CountRequest(const ServiceId& service);

  // Record the outcome of an attempt at a server. The server is avoided for a
  // while after a broken attempt or when it was unreachable. Failures are
  // reported at once; those that a lost path of this host causes as well, once
  // the path has been seen to be sound.
  void RecordAnswer(Instant now);
  void RecordSuccess(const KnownServer& server);
  void RecordServerError(const KnownServer& server);
  void RecordMisdirected(Instant now, KnownServer& server);
  void RecordBrokenAttempt(Instant now, KnownServer& server,
                           UnansweredAttempt attempt);
  void RecordUnreachable(Instant now, KnownServer& server,
                         UnansweredAttempt attempt);

  // Records how an attempt ended that the server has answered, or that this
  // host abandoned, for the verdict on a rollout. That of a broken attempt is
  // recorded once the server is known to be the cause.
  void RecordEnd(const KnownServer& server, const AttemptEnd& end);

  // Entry hosts that requests may be sent to when this host reaches no server.
  DetourHosts& detour_hosts() { return detour_hosts_; }

  // This host's path to the servers.
  const ServerPathMonitor& path() const { return path_; }

  // Records the result of a round of probes: whether any server could be
  // connected to. Servers that were unreachable are used again once a lost path
  // is back.
  void RecordProbes(Instant now, bool connected);

  // Records that attempts are in flight, the oldest since `oldest`.
  void CheckSilence(Instant now, Instant oldest) {
    path_.CheckSilence(now, oldest);
  }

  // Record what a server said in an answer: that it leaves, which is news only
  // the first time, and for how long it wants no requests from this host.
  bool RecordLeaving(Instant now, const KnownServer& server);
  void RecordPause(Instant now, const KnownServer& server, Duration pause);

  // Records the rate limit that a server named in its answer to a request sent
  // at `sent_at`, or that it named none. Changes are reported at once. Returns
  // whether it is one.
  bool RecordRateLimit(Instant now, Instant sent_at, KnownServer& server,
                       std::optional<double> limit);

  // Moves the outcomes since the last report into `report`. The `first` report
  // to a hub also repeats the token requests; the known servers are listed when
  // the hub asked for them.
  void FillReport(Instant now, EntryReport& report, bool first);

  const EntryView& view() const { return view_; }
  RetryBudgetShare& retries() { return retries_; }

  // Server for one attempt, and the number of the hub's assignment; 0 when this
  // host chose the server itself.
  struct Choice {
    KnownServerPtr server;
    std::uint64_t assignment = 0;
    // Other requests wait at the server, or may do so.
    bool is_busy = true;
    // The hub took the rate token that the query asked for.
    bool has_token = false;
    // The hub did not answer in time, this question or one shortly before.
    bool hub_is_silent = false;
    // The hub refused the request, or this host by what it knows from the hub.
    std::optional<DispatchRefusal> refusal;
    // This host refused it without the hub's answer.
    bool is_own_refusal = false;
  };

  // Returns the server that the hub assigns, or one that this host chooses when
  // the hub does not answer in time. A query for a rate token that the hub does
  // not grant returns no server. Returns no server for a retry that neither
  // retry budget, the hub's nor this host's, permits. May refuse the request
  // instead.
  boost::asio::awaitable<Choice> Choose(ServerQuery query);

  // Handles the hub's response to a request for a server.
  void OnServerAssigned(std::uint64_t assignment, const DispatchChoice& choice);

  // Reports the outcome of the attempt to the hub if it made the assignment.
  void EndAssignment(const Choice& choice, AssignmentOutcome outcome);

  // Returns a random number in [0, 1).
  double RandomUnit() { return random_.Unit(); }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& loop) : timer(loop) {}

    boost::asio::steady_timer timer;
    bool answered = false;
    DispatchChoice choice;  // Set for a waiter for a server.
  };
  struct RateAccount {
    WorkspaceTokenCache stock;
    std::uint32_t to_request = 0;  // Tokens to request in the next report.
    std::uint32_t requested = 0;   // Tokens requested but not settled.
    std::deque<std::shared_ptr<Waiter>> waiters;
  };

  void ApplyGrants(Instant asked_at, const FleetUpdate& update);
  void Settle(Instant now, const PathVerdict& verdict);
  // Waits for the hub's answer to question `number` for at most `wait`.
  boost::asio::awaitable<std::shared_ptr<Waiter>> AwaitAssignment(
      std::uint64_t number, Duration wait);
  // Records what the hub decided on a request that no server was offered.
  void RecordDecision(const DispatchQuery& query, const Choice& choice);

  boost::asio::io_context& loop_;
  EntryView view_;
  ServerPathMonitor path_;
  DetourHosts detour_hosts_;
  RetryBudgetShare retries_;
  Random random_;
  ServerChooser chooser_;
  Hooks hooks_;
  HubCircuitBreaker hub_breaker_;  // For questions that need a token.
  RefusalMemory refusals_{RefusalMemorySettings()};
  std::uint64_t next_assignment_ = 1;
  // Servers to report to a hub that has lost its own.
  std::vector<ServerAnnouncement> wanted_servers_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> pending_assignments_;
  std::map<WorkspaceId, RateAccount> accounts_;
  std::map<BackendId, ServerOutcomes> outcomes_;
  std::map<ServiceId, std::uint32_t> requests_;
  std::vector<RequestCrash> crashes_;
  std::map<BackendId, std::optional<double>> rate_limits_;
  RolloutSampler sampler_;
};

}  // namespace sapphirebank
