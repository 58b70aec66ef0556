#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "sapphirebank/backend/announcement.h"
#include "sapphirebank/backend/service_health.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/lease/lease_holder.h"
#include "sapphirebank/lease/lease_voter.h"
#include "sapphirebank/lease/owner_directory.h"
#include "sapphirebank/lease/ownership_planner.h"
#include "sapphirebank/rate/rate_client.h"
#include "sapphirebank/rate/rate_owner.h"
#include "sapphirebank/request/owner_load_table.h"
#include "sapphirebank/request/route_table.h"

namespace sapphirebank {

// Leases of one host, shared between its threads. Each thread checks its lease
// with the current time right before it acts, since the process may have been
// suspended beyond the end of the lease.
class SharedLeases {
 public:
  explicit SharedLeases(LeaseHolder holder) : holder_(std::move(holder)) {}

  // Returns the lease term of `key` if this host holds it at `now`.
  std::optional<Term> Holds(Instant now, std::string_view key) const;

  // Calls `use` with the holder under the lock.
  template <typename Use>
  auto With(Use use) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return use(holder_);
  }

 private:
  mutable std::mutex mutex_;
  LeaseHolder holder_;
};

struct EntryControlSettings {
  HostId host;
  VoterSet voters;
  std::uint64_t seed = 1;
  // Lower bound of all lease terms of this incarnation; see
  // LeaseVoter::Create().
  Term term_floor = 0;
  LeaseSettings lease;
  RateSettings rate;
  // Time for which a better-ranked host must be live before it takes over a
  // key.
  Duration rebalance_delay = std::chrono::seconds(20);
  Duration announce_period = std::chrono::seconds(1);
};

// A message to another entry host. `type` selects the component that handles
// it.
struct HostMessage {
  HostId to;
  std::string type;
  nlohmann::json body;
};

// Effects that the caller of EntryControl must carry out.
struct EntryEffects {
  std::vector<HostMessage> messages;
  // Leases acquired or lost, for EntryTraffic and the log.
  std::vector<LeaseEvent> leases;
  // Input for EntryTraffic::OnControl().
  std::vector<OwnerAnnouncement> owners;
  std::vector<TokenResponse> token_responses;
  std::vector<TokenRecall> token_recalls;
  std::vector<OwnerLoad> loads;
  std::vector<Announcement> announcements;
  std::vector<VerdictSet> verdicts;
  // Health decisions about backend servers, for the log.
  std::vector<HealthDecision> decisions;
  // Messages that could not be parsed, with the cause.
  std::vector<Error> errors;
};

// Control state of an entry host: the ownership keys that it votes on, wants
// and holds, the owners of the other keys, and the rate buckets that it owns.
class EntryControl {
 public:
  // Fails with kInvalidSettings.
  static Result<EntryControl> Create(const EntryControlSettings& settings,
                                     Instant now);

  // Applies a configuration.
  void SetConfiguration(Instant now, std::shared_ptr<const RouteTable> table);

  // Replaces the set of live hosts, which includes this one.
  void SetHosts(Instant now, std::vector<LiveHost> hosts);

  // Runs timers. Call it at least ten times a second.
  EntryEffects Tick(Instant now);

  // Handles a message from another host.
  EntryEffects Receive(Instant now, const HostId& from, std::string_view type,
                       const nlohmann::json& body);

  // Sends the token requests of this host's rate client.
  EntryEffects SendTokenRequests(Instant now,
                                 const std::vector<RateEffect>& requests);

  // Sends the reports of this host's BackendPool to the owners of the services'
  // health evaluation. Reports without a known owner are dropped.
  EntryEffects SendReports(Instant now,
                           const std::vector<WindowReport>& reports);

  // Sends the loads of the backend servers that this host owns to all other
  // hosts.
  EntryEffects SendLoads(const std::vector<OwnerLoad>& loads);

  // Forwards an announcement to the owner of the server's ownership key, which
  // may be this host. Fails with kNoBackendServer while no owner is known.
  Result<EntryEffects> RouteAnnouncement(Instant now,
                                         const Announcement& announcement);

  // Releases all leases for a graceful shutdown.
  EntryEffects Leave(Instant now);

  const std::shared_ptr<SharedLeases>& leases() const { return leases_; }

  // Returns the owner of `key`, or nothing when none is known.
  std::optional<Owner> OwnerOf(Instant now, std::string_view key) const;

 private:
  struct RateLimits;

  EntryControl(const EntryControlSettings& settings, LeaseVoter voter,
               LeaseHolder holder);

  void Handle(Instant now, const HostId& from, std::string_view type,
              const nlohmann::json& body, EntryEffects& effects);
  void HandleLease(Instant now, const HostId& from, const nlohmann::json& body,
                   EntryEffects& effects);
  void HandleRate(Instant now, const HostId& from, const nlohmann::json& body,
                  EntryEffects& effects);
  void HandleReport(Instant now, const nlohmann::json& body,
                    EntryEffects& effects);
  template <typename T>
  void Collect(Result<T> parsed, std::vector<T>& target, EntryEffects& effects);
  void OnOwnerAnnouncement(Instant now, const OwnerAnnouncement& announcement,
                           EntryEffects& effects);
  void ApplyLeaseOutput(Instant now, const LeaseEffects& output,
                        EntryEffects& effects);
  // Sends a message, or handles it directly when it is for this host.
  void SendOrHandle(Instant now, HostMessage message, EntryEffects& effects);
  void SendOrHandle(Instant now, const OutgoingLeaseMessage& effect,
                    EntryEffects& effects);
  void SendOrHandle(Instant now, const RateEffect& effect,
                    EntryEffects& effects);
  void EvaluateHealth(Instant now, EntryEffects& effects);
  void UpdateServiceHealth(Instant now, const LeaseEvent& event);
  void AnnounceOwnership(Instant now, std::vector<OwnerAnnouncement::Key> lost,
                         EntryEffects& effects);

  EntryControlSettings settings_;
  LeaseVoter voter_;
  std::shared_ptr<SharedLeases> leases_;
  OwnershipPlanner planner_;
  OwnerDirectory directory_;
  std::shared_ptr<RateLimits> limits_;
  RateOwner rate_owner_;
  std::vector<LiveHost> hosts_;
  std::map<ServiceId, ServiceHealth> health_;
  Instant next_announcement_;
  Instant next_health_evaluation_;
  bool leaving_ = false;
};

}  // namespace sapphirebank
