#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sapphirebank/rate/rate_client.h"

namespace sapphirebank {

// Admits requests on one host by the rates of their workspaces. Requests that
// wait for a token are queued in order of arrival. Drives a RateClient.
class RateAdmission {
 public:
  // Identifies a request on this host.
  using RequestNumber = std::uint64_t;

  struct Decision {
    RequestNumber request = 0;
    // Never kWait.
    AcquireOutcome outcome = AcquireOutcome::kAdmitted;
    // For a refusal: when a token may be available.
    Instant retry_at;
    Duration waited = Duration::zero();
  };

  RateAdmission(RateSettings settings, Incarnation incarnation,
                RateClient::OwnerLookup owner_of)
      : client_(settings, incarnation, std::move(owner_of)) {}

  // Decides on a new request. Returns nothing if the request has to wait: then
  // OnTokenResponse() or Tick() returns the decision within
  // RateSettings::token_wait_timeout. Call Flush() afterwards.
  std::optional<Decision> Submit(Instant now, RequestNumber request,
                                 const WorkspaceId& workspace,
                                 const RateLimit& limit);

  // Processes an owner's response and returns the resulting decisions.
  std::vector<Decision> OnTokenResponse(Instant now,
                                        const TokenResponse& response);

  // Processes an owner's recall. The next Flush() reports spent tokens and
  // returns unused ones.
  void OnRecall(Instant now, const TokenRecall& recall) {
    client_.OnRecall(now, recall);
  }

  // Returns the decisions on requests whose wait has timed out.
  std::vector<Decision> Tick(Instant now);

  // Removes a waiting request whose caller has gone away.
  void Cancel(RequestNumber request, const WorkspaceId& workspace);

  // Returns the token requests that are due, one message per owner. Call it
  // after the functions above and every few milliseconds.
  std::vector<RateEffect> Flush(Instant now) { return client_.Flush(now); }

  // Returns messages that give all unused tokens back to their owners, for a
  // graceful shutdown.
  std::vector<RateEffect> ReturnAll(Instant now) {
    return client_.ReturnAll(now);
  }

  // Returns the earliest deadline of a waiting request, if there is one.
  std::optional<Instant> next_deadline() const;

  const RateClient& client() const { return client_; }

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

  RateClient client_;
  std::unordered_map<WorkspaceId, std::deque<Waiting>> waiting_;
  std::deque<Deadline> deadlines_;  // Ordered by time.
};

}  // namespace sapphirebank
