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

// Owner side of the distributed token buckets: grants tokens of the workspaces
// in the buckets that this host owns.
//
// For each workspace, the available tokens and the outstanding ones (granted,
// but neither reported as spent nor expired) never exceed the burst. All hosts
// together therefore admit at most rate x w + burst requests in any window of
// length w. A new owner counts the whole burst as granted by the previous owner
// until the longest lifetime of a grant has passed.
class RateOwner {
 public:
  // Returns the limit of a workspace in the configuration in force, or nothing
  // if the workspace is not declared.
  using LimitLookup =
      std::function<std::optional<RateLimit>(const WorkspaceId&)>;
  // Returns the term under which this host holds a bucket's lease at the given
  // time, if it does. It must check the lease on each call.
  using TermLookup =
      std::function<std::optional<Term>(Instant, std::uint32_t bucket)>;

  RateOwner(RateSettings settings, LimitLookup limit_of, TermLookup term_of)
      : settings_(settings),
        limit_of_(std::move(limit_of)),
        term_of_(std::move(term_of)) {}

  // Records that the lease of `bucket` was acquired, which starts the wait for
  // the expiry of the previous owner's grants.
  void OnAcquired(Instant now, std::uint32_t bucket, Term term);

  // Removes a bucket whose lease was lost or released.
  void OnLost(std::uint32_t bucket);

  // Responds to a host; recalls to other hosts may follow the response. `now`
  // must be a fresh reading of the clock.
  std::vector<RateEffect> OnTokenRequest(Instant now, const HostId& from,
                                         const TokenRequest& token_request);

  // Removes idle workspaces. Call it about once a second.
  void Tick(Instant now);

  // Returns the number of workspaces held in memory.
  std::size_t workspace_count() const;

 private:
  // Totals of the tokens of one workspace granted to one host.
  struct Account {
    Incarnation incarnation = 0;
    AccountNumber number = 0;
    std::uint64_t last_sequence = 0;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    // Time from which the host no longer spends any of these tokens.
    Instant expires_at;
  };

  struct Workspace {
    RateLimit limit;  // Without the reserve.
    double tokens = 0;
    Instant refilled_at;
    // Tokens granted and neither reported as spent or returned nor expired.
    std::uint64_t outstanding = 0;
    // Lower bound of the accounts' expiry times.
    Instant next_expiry;
    Instant next_recall;
    std::unordered_map<HostId, Account> accounts;
  };

  struct Bucket {
    Term term = 0;
    // Time from which no grant of an earlier term is valid.
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
