#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/retry_budget_share.h"
#include "sapphirebank/fleet/server_chooser.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/fleet/workspace_token_cache.h"

namespace sapphirebank {

// What became of asking for a token.
enum class TokenAnswer { kGranted, kRefused, kNoAnswer };

// The state of an entry host that its requests share: the view of the fleet,
// tokens, retries, and what was seen since the last report. Used on one event
// loop only.
class EntryState {
 public:
  struct Hooks {
    // Asks for a report to be sent at once.
    std::function<void()> report_now;
    // Asks the hub for a server; false when no hub is in reach.
    std::function<bool(std::uint64_t number, const DispatchQuery& query)> ask;
    // Tells the hub that a request which it assigned is over.
    std::function<void(std::uint64_t number, AssignmentOutcome end)> end;
  };

  EntryState(boost::asio::io_context& loop, PlanReader reader,
             Duration key_permission, double retry_slack, ZoneId zone,
             std::uint64_t seed, Hooks hooks);

  // Takes an update of the leader.
  Result<void> Apply(Instant now, std::optional<Instant> asked_at,
                     const FleetUpdate& update);

  // Takes a token of a workspace, asking the leader for at most `wait`.
  boost::asio::awaitable<TokenAnswer> TakeToken(WorkspaceId workspace,
                                                Duration wait);

  // Takes a token of this host's own share, without the leader.
  bool TakeOwnShare(Instant now, const PlannedWorkspace& workspace);

  // Notes a request for `service`.
  void CountRequest(const ServiceId& service);

  // Notes how a server did. Failures are reported at once.
  void Succeeded(const KnownServer& server);
  void Erred(const KnownServer& server);
  void Broke(Instant now, KnownServer& server, RequestFingerprint request,
             bool may_have_crashed);
  void Unreachable(Instant now, KnownServer& server);

  // Moves what was seen into a report.
  void Fill(EntryReport& report, bool first);

  const EntryView& view() const { return view_; }
  RetryBudgetShare& retries() { return retries_; }

  // A server for one try, and the hub's number of the assignment, 0 when this
  // host chose itself.
  struct Choice {
    KnownServerPtr server;
    std::uint64_t assignment = 0;
    // Others wait at the server or may.
    bool is_busy = true;
  };

  // Returns the server that the hub assigns, or one that this host chooses
  // when the hub does not answer soon. A retry for which neither the hub nor
  // this host can pay gets none.
  boost::asio::awaitable<Choice> Choose(ServerQuery query);

  // Takes the hub's choice.
  void TakeChoice(std::uint64_t assignment, const DispatchChoice& choice);

  // The try has ended.
  void End(const Choice& choice, AssignmentOutcome end);

  // Returns a number in [0, 1).
  double Draw() { return random_.Unit(); }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& loop) : timer(loop) {}

    boost::asio::steady_timer timer;
    bool answered = false;
    DispatchChoice choice;  // Of one that waits for a server.
  };
  struct Account {
    WorkspaceTokenCache stock;
    std::uint32_t to_ask = 0;    // Not reported yet.
    std::uint32_t on_order = 0;  // Reported and not answered yet.
    std::deque<std::shared_ptr<Waiter>> waiters;
  };

  void TakeGrants(Instant asked_at, const FleetUpdate& update);

  boost::asio::io_context& loop_;
  EntryView view_;
  RetryBudgetShare retries_;
  Random random_;
  ServerChooser chooser_;
  Hooks hooks_;
  std::uint64_t next_assignment_ = 1;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> choosing_;
  std::map<WorkspaceId, Account> accounts_;
  std::map<BackendId, ServerOutcomes> outcomes_;
  std::map<ServiceId, std::uint32_t> requests_;
  std::vector<EntryReport::Crash> crashes_;
};

}  // namespace sapphirebank
