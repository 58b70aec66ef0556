#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/allowance_stock.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/retry_purse.h"
#include "sapphirebank/fleet/server_chooser.h"

namespace sapphirebank {

// What became of asking for a token.
enum class TokenAnswer { kGranted, kRefused, kNoAnswer };

// The state of an entry host that its requests share: the view of the fleet,
// tokens, retries, and what was seen since the last report. Used on one event
// loop only.
class EntryState {
 public:
  // `report_now` asks for a report to be sent at once.
  EntryState(boost::asio::io_context& loop, PlanReader reader,
             Duration key_permission, double retry_slack, ZoneId zone,
             std::uint64_t seed, std::function<void()> report_now);

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
  RetryPurse& retries() { return retries_; }

  KnownServerPtr Choose(Instant now, const ServerQuery& query) {
    return chooser_.Choose(now, view_, query);
  }

  // Returns a number in [0, 1).
  double Draw() { return random_.Unit(); }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& loop) : timer(loop) {}

    boost::asio::steady_timer timer;
    bool answered = false;
  };
  struct Account {
    AllowanceStock stock;
    std::uint32_t to_ask = 0;    // Not reported yet.
    std::uint32_t on_order = 0;  // Reported and not answered yet.
    std::deque<std::shared_ptr<Waiter>> waiters;
  };

  void TakeGrants(Instant asked_at, const FleetUpdate& update);

  boost::asio::io_context& loop_;
  EntryView view_;
  RetryPurse retries_;
  Random random_;
  ServerChooser chooser_;
  std::function<void()> report_now_;
  std::map<WorkspaceId, Account> accounts_;
  std::map<BackendId, ServerOutcomes> outcomes_;
  std::map<ServiceId, std::uint32_t> requests_;
  std::vector<EntryReport::Crash> crashes_;
};

}  // namespace sapphirebank
