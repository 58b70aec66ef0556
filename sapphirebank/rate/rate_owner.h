#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/rate/rate_message.h"
#include "sapphirebank/rate/rate_settings.h"

namespace sapphirebank {

// Grants tokens of the workspaces in the buckets that this host owns.
//
// For each workspace, the tokens here and those granted to hosts and neither
// reported as spent nor out of their time come to no more than the burst. So
// all hosts together admit no more than rate x w + burst in any window of
// length w. A new owner counts the whole burst as granted by the owner before,
// for the longest life of a grant.
class RateOwner {
 public:
  // Returns the limits of a workspace in the configuration in force, or
  // nothing when it declares no such workspace.
  using LimitLookup =
      std::function<std::optional<RateLimit>(const WorkspaceId&)>;
  // Returns the term under which this host holds a bucket's lease at an
  // instant, if it does. It must look at the lease each time.
  using TermLookup =
      std::function<std::optional<Term>(Instant, std::uint32_t bucket)>;

  RateOwner(RateSettings settings, LimitLookup limit_of, TermLookup term_of)
      : settings_(settings),
        limit_of_(std::move(limit_of)),
        term_of_(std::move(term_of)) {}

  // Notes that the lease of `bucket` was acquired, so that the wait for the
  // grants of the owner before starts.
  void OnAcquired(Instant now, std::uint32_t bucket, Term term);

  // Drops a bucket whose lease was lost or released.
  void OnLost(std::uint32_t bucket);

  // Answers a host, `now` being fresh. Recalls to other hosts may follow.
  std::vector<RateEffect> OnTokenRequest(Instant now, const HostId& from,
                                         const TokenRequest& token_request);

  // Drops workspaces that are idle. Call it about once a second.
  void Tick(Instant now);

  // Returns how many workspaces take memory.
  std::size_t workspace_count() const;

 private:
  // What one host was granted of one workspace.
  struct Account {
    Incarnation incarnation = 0;
    AccountNumber number = 0;
    std::uint64_t last_sequence = 0;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    // After this instant the host counts none of it any more.
    Instant expires_at;
  };

  struct Workspace {
    RateLimit limit;  // The owner's part.
    double tokens = 0;
    Instant refilled_at;
    // Tokens granted, neither reported as spent or returned nor expired.
    std::uint64_t outstanding = 0;
    // No account expires before this instant.
    Instant next_expiry;
    Instant next_recall;
    std::unordered_map<HostId, Account> accounts;
  };

  struct Bucket {
    Term term = 0;
    // From here on, no grant of an earlier term counts.
    Instant earlier_grants_expire_at;
    AccountNumber last_account = 0;
    std::unordered_map<WorkspaceId, Workspace> workspaces;
  };

  using Recalls = std::map<HostId, TokenRecall>;

  WorkspaceTokenGrant DecideGrant(Instant now, const HostId& from,
                                  const TokenRequest& message,
                                  const WorkspaceTokenRequest& token_request,
                                  Recalls& recalls);
  bool Recall(Instant now, const HostId& from, const WorkspaceId& id,
              Workspace& workspace, Recalls& recalls) const;
  Workspace& FindOrCreate(Instant now, Bucket& bucket, const WorkspaceId& id,
                          const RateLimit& limit);
  void Advance(Instant now, Workspace& workspace) const;
  void Refill(Instant now, Workspace& workspace) const;
  void DropExpired(Instant now, Workspace& workspace) const;
  Account& FindOrOpenAccount(Bucket& bucket, Workspace& workspace,
                             const HostId& from,
                             const TokenRequest& message) const;
  void ApplyReport(Workspace& workspace, Account& account,
                   const WorkspaceTokenRequest& token_request) const;
  std::uint64_t GrantTokens(Workspace& workspace, Account& account,
                            const WorkspaceTokenRequest& token_request) const;
  Duration RetryDelay(const Workspace& workspace) const;
  Duration MaxGrantLifetime() const;

  RateSettings settings_;
  LimitLookup limit_of_;
  TermLookup term_of_;
  std::map<std::uint32_t, Bucket> buckets_;
};

}  // namespace sapphirebank
