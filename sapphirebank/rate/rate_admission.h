#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sapphirebank/rate/rate_client.h"

namespace sapphirebank {

// Admits requests of one host by their workspaces' rates, and keeps those that
// wait for a token in the order of arrival. It drives a RateClient.
class RateAdmission {
 public:
  // Names a request among those of this host.
  using RequestNumber = std::uint64_t;

  struct Decision {
    RequestNumber request = 0;
    // Never kWait.
    AcquireOutcome outcome = AcquireOutcome::kAdmitted;
    // For a refusal: when a token may come.
    Instant retry_at;
    Duration waited = Duration::zero();
  };

  RateAdmission(RateSettings settings, Incarnation incarnation,
                RateClient::OwnerLookup owner_of)
      : spender_(settings, incarnation, std::move(owner_of)) {}

  // Decides on a new request, or keeps it waiting and returns nothing: then
  // OnTokenResponse() or Tick() decides within the settings' answer wait. Call
  // Flush() afterwards.
  std::optional<Decision> Submit(Instant now, RequestNumber request,
                                 const WorkspaceId& workspace,
                                 const RateLimit& limit);

  // Takes an owner's answer and returns what it decides.
  std::vector<Decision> OnTokenResponse(Instant now,
                                        const TokenResponse& response);

  // Takes an owner's recall. The next Flush() reports and returns.
  void OnRecall(Instant now, const TokenRecall& recall) {
    spender_.OnRecall(now, recall);
  }

  // Returns the decisions on requests whose wait is over.
  std::vector<Decision> Tick(Instant now);

  // Forgets a waiting request whose caller went away.
  void Cancel(RequestNumber request, const WorkspaceId& workspace);

  // Returns the asks that are due, one message for each owner. Call it after
  // the functions above and every few milliseconds.
  std::vector<RateEffect> Flush(Instant now) { return spender_.Flush(now); }

  // Returns what is held to its owners, for a graceful shutdown.
  std::vector<RateEffect> ReturnAll(Instant now) {
    return spender_.ReturnAll(now);
  }

  // Returns the earliest end of a wait, if any request waits.
  std::optional<Instant> next_deadline() const;

  const RateClient& spender() const { return spender_; }

 private:
  struct Waiting {
    RequestNumber request = 0;
    Instant arrived_at;
    RateLimit limit;
  };

  struct Deadline {
    Instant at;
    WorkspaceId workspace;
  };

  void Retry(Instant now, const WorkspaceId& workspace,
             std::vector<Decision>& decisions);

  RateClient spender_;
  std::unordered_map<WorkspaceId, std::deque<Waiting>> waiting_;
  std::deque<Deadline> deadlines_;  // In order of time.
};

}  // namespace sapphirebank
