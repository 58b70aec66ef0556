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

// Outcome of TryAcquire() for a request.
enum class AcquireOutcome {
  kAdmitted,      // The request is admitted.
  kRateExceeded,  // No token of the workspace is left.
  kUnavailable,   // No owner responded in time.
  kWait,          // A token was requested; call TryAcquire() again.
};

// Result of TryAcquire().
struct AcquireResult {
  AcquireOutcome outcome = AcquireOutcome::kAdmitted;
  // For kWait: the end of the wait. For kRateExceeded: when a token may be
  // available.
  Instant at;
};

// Client side of the distributed token buckets: spends tokens on one host and
// requests more from the owners before they run out.
//
// Tokens are valid for the lifetime of their grant, counted from the sending of
// the request on this host's clock, less the drift margin. While no owner
// responds, the host continues with the tokens that it has, and then with its
// part of the reserve.
class RateClient {
 public:
  // Returns the owner of a rate bucket's key, if it is known.
  using OwnerLookup =
      std::function<std::optional<Owner>(Instant, std::string_view key)>;

  // `incarnation` must be larger than that of every earlier process on this
  // host.
  RateClient(RateSettings settings, Incarnation incarnation,
             OwnerLookup owner_of);

  // Takes a token for one request. `waiting_since` is the time of the request's
  // first call if that call returned kWait. The request then calls again when
  // OnTokenResponse() returns its workspace and at the end of its wait; waiting
  // requests call in order of arrival.
  AcquireResult TryAcquire(Instant now, const WorkspaceId& workspace,
                           const RateLimit& limit,
                           std::optional<Instant> waiting_since = std::nullopt);

  // Records that a waiting request was abandoned because its caller has gone
  // away.
  void CancelWait(const WorkspaceId& workspace);

  // Processes an owner's response. Returns the workspaces whose waiting
  // requests should call TryAcquire() again.
  std::vector<WorkspaceId> OnTokenResponse(Instant now,
                                           const TokenResponse& response);

  // Processes an owner's recall. The next Flush() reports spent tokens and
  // returns unused ones.
  void OnRecall(Instant now, const TokenRecall& recall);

  // Returns the token requests that are due, one message per owner. Call it
  // after TryAcquire() and every few milliseconds while there are requests.
  std::vector<RateEffect> Flush(Instant now);

  // Returns messages that give all unused tokens back to their owners, for a
  // graceful shutdown.
  std::vector<RateEffect> ReturnAll(Instant now);

  // Returns the number of workspaces held in memory.
  std::size_t workspace_count() const { return states_.size(); }

 private:
  struct WorkspaceState {
    WorkspaceId workspace;
    std::uint32_t bucket = 0;
    // This host's account at the owner, and its counts of tokens.
    Term term = 0;
    AccountNumber account = 0;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    // Value of `spent` in the latest token request.
    std::uint64_t reported = 0;
    Instant valid_until;
    // Unspent tokens granted by the previous owner.
    std::uint64_t previous_owner_tokens = 0;
    Instant previous_owner_valid_until;
    // This host's part of the reserve.
    double reserve_tokens = 0;
    Instant reserve_refilled_at;
    // Requests per second on this host (exponentially weighted average), and
    // the time of its last update.
    double demand = 0;
    Instant demand_at;
    // Sequence of the token request in flight; 0 if there is none.
    std::uint64_t in_flight_sequence = 0;
    Instant requested_at;
    Instant responded_at;
    // No token request before this time: recalled tokens are on their way to
    // the owner.
    Instant no_request_until;
    std::uint32_t waiting = 0;
    // Number of waiting requests covered by token requests in flight.
    std::uint32_t in_flight_needed = 0;
    // Time until which the owner is assumed to have no tokens.
    Instant exhausted_until;
    // Consecutive responses that the owner has no tokens.
    int consecutive_exhaustions = 0;
    bool scarce = false;
    bool queued = false;       // In queue_.
    bool request_due = false;  // Request tokens even if nothing waits.
    bool recalled = false;     // Request tokens even if a request is in flight.
    bool return_all = false;   // The next request returns the whole balance.
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
