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
  RateClient(RateSettings settings, Incarnation incarnation,
             OwnerLookup owner_of);

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
                                           const TokenResponse& response);

  // Takes an owner's recall. The next Flush() reports and returns.
  void OnRecall(Instant now, const TokenRecall& recall);

  // Returns the asks that are due, one message for each owner. Call it after
  // TryAcquire() and every few milliseconds while there are requests.
  std::vector<RateEffect> Flush(Instant now);

  // Returns what is held to its owners, for a graceful shutdown.
  std::vector<RateEffect> ReturnAll(Instant now);

  // Returns how many workspaces take memory.
  std::size_t workspace_count() const { return states_.size(); }

 private:
  struct WorkspaceState {
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
    std::uint64_t previous_owner_tokens = 0;
    Instant previous_owner_valid_until;
    // This host's part of the reserve.
    double reserve_tokens = 0;
    Instant reserve_refilled_at;
    // Requests per second here, and how far it was counted.
    double demand = 0;
    Instant demand_at;
    // The ask in flight; 0 when there is none.
    std::uint64_t in_flight_sequence = 0;
    Instant requested_at;
    Instant responded_at;
    // No ask before this instant: recalled tokens are on their way.
    Instant no_request_until;
    std::uint32_t waiting = 0;
    // Waiting requests that asks in flight speak for.
    std::uint32_t in_flight_needed = 0;
    // Until then the owner has none left.
    Instant exhausted_until;
    // Answers in a row that said so.
    int consecutive_exhaustions = 0;
    bool scarce = false;
    bool queued = false;       // In queue_.
    bool request_due = false;  // An ask is due even if no request waits.
    bool recalled = false;     // An ask is due even if another is in flight.
    bool return_all = false;   // The next ask returns the whole balance.
  };

  struct SentRequest {
    std::uint64_t sequence = 0;
    Instant sent_at;
  };
  using TokenRequests = std::map<HostId, TokenRequest>;

  WorkspaceState& FindOrCreate(Instant now, const WorkspaceId& workspace);
  void CountDemand(Instant now, WorkspaceState& state) const;
  void Expire(Instant now, WorkspaceState& state) const;
  bool TakeToken(Instant now, WorkspaceState& state,
                 const RateLimit& limit) const;
  bool TakeReserveToken(Instant now, WorkspaceState& state,
                        const RateLimit& limit) const;
  std::uint64_t Balance(const WorkspaceState& state) const;
  double Demand(Instant now, const WorkspaceState& state) const;
  std::uint64_t TargetBalance(Instant now, const WorkspaceState& state) const;
  bool HasRequestInFlight(Instant now, const WorkspaceState& state) const;
  bool ShouldRequestTokens(Instant now, const WorkspaceState& state) const;
  void Enqueue(WorkspaceState& state);
  void EnqueueIfLow(Instant now, WorkspaceState& state);
  bool ApplyGrant(Instant now, Instant sent_at, std::uint64_t sequence,
                  const WorkspaceTokenGrant& grant);
  void OpenAccount(Instant now, WorkspaceState& state,
                   const WorkspaceTokenGrant& grant) const;
  WorkspaceTokenRequest MakeTokenRequest(Instant now,
                                         WorkspaceState& state) const;
  void AddTokenRequest(Instant now, WorkspaceState& state,
                       TokenRequests& requests);
  void Maintain(Instant now);
  bool MaintainWorkspace(Instant now, WorkspaceState& state);
  std::optional<Instant> SentAt(std::uint64_t sequence) const;

  RateSettings settings_;
  Incarnation incarnation_;
  OwnerLookup owner_of_;
  Duration margin_;
  std::vector<std::unique_ptr<WorkspaceState>> states_;
  std::unordered_map<WorkspaceId, WorkspaceState*> index_;
  std::vector<WorkspaceState*> queue_;
  std::deque<SentRequest> sent_;
  std::uint64_t last_sequence_ = 0;
  Instant next_maintenance_;
};

}  // namespace sapphirebank
