#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/lease/owner_directory.h"
#include "sapphirebank/rate/rate_message.h"
#include "sapphirebank/rate/rate_settings.h"

namespace sapphirebank {

// What TryAcquire() says about a request.
enum class AcquireOutcome {
  kAdmitted,      // Admitted.
  kRateExceeded,  // The workspace has no token left.
  kUnavailable,   // No owner answered in time.
  kWait,          // A token was asked for: call TryAcquire() again.
};

// An outcome and when to come again.
struct AcquireResult {
  AcquireOutcome outcome = AcquireOutcome::kAdmitted;
  // For kWait: the end of the wait. For kRateExceeded: when a token may come.
  Instant at;
};

// Spends tokens on one host and asks the owners for more before they run out.
//
// A token counts until the life of its grant after the ask was sent, on this
// host's clock, less the drift margin. While no owner answers, the host goes on
// with what it has, and then with its part of the reserve.
class RateClient {
 public:
  // Returns the owner of a rate bucket's key, as far as it is known.
  using OwnerLookup =
      std::function<std::optional<Owner>(Instant, std::string_view key)>;

  // `life` must be larger than that of each earlier process of this host.
  RateClient(RateSettings settings, Incarnation life, OwnerLookup owner_of);

  // Takes a token for one request, or tells why not. `waiting_since` is the
  // time of the request's first call if that one returned kWait: the same
  // request then calls again when OnTokenResponse() names its workspace and at
  // the end of its wait, in the order of arrival.
  AcquireResult TryAcquire(Instant now, const WorkspaceId& workspace,
                           const RateLimit& limit,
                           std::optional<Instant> waiting_since = std::nullopt);

  // Notes that a waiting request gave up, because its caller went away.
  void CancelWait(const WorkspaceId& workspace);

  // Takes an owner's answer. Returns the workspaces for which waiting requests
  // should try again.
  std::vector<WorkspaceId> OnTokenResponse(Instant now,
                                           const TokenResponse& answer);

  // Takes an owner's recall. The next Flush() reports and returns.
  void OnRecall(Instant now, const TokenRecall& recall);

  // Returns the asks that are due, one message for each owner. Call it after
  // TryAcquire() and every few milliseconds while there are requests.
  std::vector<RateEffect> Flush(Instant now);

  // Returns what is held to its owners, for a graceful shutdown.
  std::vector<RateEffect> ReturnAll(Instant now);

  // Returns how many workspaces take memory.
  std::size_t workspace_count() const { return shares_.size(); }

 private:
  struct Share {
    WorkspaceId workspace;
    std::uint32_t bucket = 0;
    // The account at the owner and its counts.
    Term term = 0;
    AccountNumber account = 0;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    // What the last ask said of `spent`.
    std::uint64_t reported = 0;
    Instant valid_until;
    // Tokens of the owner before.
    std::uint64_t old_tokens = 0;
    Instant old_valid_until;
    // This host's part of the reserve.
    double reserve_level = 0;
    Instant reserve_at;
    // Requests per second here, and how far it was counted.
    double demand = 0;
    Instant demand_at;
    // The ask in flight; 0 when there is none.
    std::uint64_t asked_sequence = 0;
    Instant asked_at;
    Instant answered_at;
    // No ask before this instant: recalled tokens are on their way.
    Instant quiet_until;
    std::uint32_t waiting = 0;
    // Waiting requests that asks in flight speak for.
    std::uint32_t asked_need = 0;
    // Until then the owner has none left.
    Instant exhausted_until;
    // Answers in a row that said so.
    int exhaustions = 0;
    bool scarce = false;
    bool queued = false;     // In dirty_.
    bool due = false;        // An ask is due even if no request waits.
    bool recalled = false;   // An ask is due even if another is in flight.
    bool returning = false;  // The next ask returns the whole balance.
  };

  struct SentAsk {
    std::uint64_t sequence = 0;
    Instant sent_at;
  };
  using Asks = std::map<HostId, TokenRequest>;

  Share& Find(Instant now, const WorkspaceId& workspace);
  void CountDemand(Instant now, Share& share) const;
  void Expire(Instant now, Share& share) const;
  bool TakeToken(Instant now, Share& share, const RateLimit& limit) const;
  bool TakeReserve(Instant now, Share& share, const RateLimit& limit) const;
  std::uint64_t Balance(const Share& share) const;
  double Demand(Instant now, const Share& share) const;
  std::uint64_t Target(Instant now, const Share& share) const;
  bool InFlight(Instant now, const Share& share) const;
  bool ShouldAsk(Instant now, const Share& share) const;
  void Queue(Share& share);
  void QueueIfLow(Instant now, Share& share);
  bool Apply(Instant now, Instant sent_at, std::uint64_t sequence,
             const WorkspaceTokenGrant& grant);
  void OpenAccount(Instant now, Share& share,
                   const WorkspaceTokenGrant& grant) const;
  WorkspaceTokenRequest MakeAsk(Instant now, Share& share) const;
  void AddAsk(Instant now, Share& share, Asks& asks);
  void Maintain(Instant now);
  bool MaintainShare(Instant now, Share& share);
  std::optional<Instant> SentAt(std::uint64_t sequence) const;

  RateSettings settings_;
  Incarnation life_;
  OwnerLookup owner_of_;
  Duration margin_;
  std::vector<std::unique_ptr<Share>> shares_;
  std::unordered_map<WorkspaceId, Share*> index_;
  std::vector<Share*> dirty_;
  std::deque<SentAsk> sent_;
  std::uint64_t last_sequence_ = 0;
  Instant next_maintenance_;
};

}  // namespace sapphirebank
