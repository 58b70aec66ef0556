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
#include "sapphirebank/rate/rate_owner.h"
#include "sapphirebank/rate/rate_spender.h"
#include "sapphirebank/request/owner_board.h"
#include "sapphirebank/request/route_table.h"

namespace sapphirebank {

// The leases of one host, shared by its threads: each asks with a fresh `now`
// right before it acts, since the process may have been frozen.
class SharedLeases {
 public:
  explicit SharedLeases(LeaseHolder holder) : holder_(std::move(holder)) {}

  // Returns the term under which `key` is held at `now`, if it is.
  std::optional<Term> Holds(Instant now, std::string_view key) const;

  // Runs `use` with the holder while no other thread uses it.
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
  // Below every lease term of this start; see LeaseVoter::Create.
  Term term_floor = 0;
  LeaseSettings lease;
  RateSettings rate;
  // Time for which a better-ranked host must live to take a key over.
  Duration rebalance_delay = std::chrono::seconds(20);
  Duration announce_period = std::chrono::seconds(1);
};

// A message to another entry host; `type` names the part that it is for.
struct HostMessage {
  HostId to;
  std::string type;
  nlohmann::json body;
};

// What EntryControl wants done.
struct EntryEffects {
  std::vector<HostMessage> messages;
  // Leases that came or went, for the traffic decisions and the log.
  std::vector<LeaseEvent> leases;
  // News for the traffic decisions.
  std::vector<OwnerAnnouncement> owners;
  std::vector<RateAnswer> rate_answers;
  std::vector<RateRecall> rate_recalls;
  std::vector<OwnerLoad> loads;
  std::vector<Announcement> announcements;
  std::vector<VerdictSet> verdicts;
  // Judgements on backend servers, for the log.
  std::vector<HealthDecision> decisions;
  // Messages that could not be read, with their cause.
  std::vector<Error> faults;
};

// The control state of an entry host: which keys it votes on, wants and holds,
// who holds the others, and the rate buckets that it owns.
class EntryControl {
 public:
  // Fails with kInvalidSettings.
  static Result<EntryControl> Create(const EntryControlSettings& settings,
                                     Instant now);

  // Puts a configuration in force.
  void SetConfiguration(Instant now, std::shared_ptr<const RouteTable> table);

  // Replaces the live hosts, this one among them.
  void SetHosts(Instant now, std::vector<LiveHost> hosts);

  // Acts on the passage of time. Call it ten times a second or more.
  EntryEffects Tick(Instant now);

  // Takes a message of another host.
  EntryEffects Receive(Instant now, const HostId& from, std::string_view type,
                       const nlohmann::json& body);

  // Sends the asks of this host's RateSpender.
  EntryEffects SendRateAsks(Instant now, const std::vector<RateEffect>& asks);

  // Sends the reports of this host's BackendPool to the coordinators.
  EntryEffects SendReports(Instant now,
                           const std::vector<WindowReport>& reports);

  // Tells the other hosts how busy the backend servers here are.
  EntryEffects SendLoads(const std::vector<OwnerLoad>& loads);

  // Passes an announcement to the owner of the server's key, which may be this
  // host. Fails with kNoBackendServer while no owner is known.
  Result<EntryEffects> RouteAnnouncement(Instant now,
                                         const Announcement& announcement);

  // Gives up every lease, for a graceful shutdown.
  EntryEffects Leave(Instant now);

  const std::shared_ptr<SharedLeases>& leases() const { return leases_; }

  // Returns the owner of `key`, as far as it is known.
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
  void Take(Result<T> parsed, std::vector<T>& into, EntryEffects& effects);
  void Learn(Instant now, const OwnerAnnouncement& news, EntryEffects& effects);
  void Take(Instant now, const LeaseEffects& output, EntryEffects& effects);
  // Sends a message, or handles it at once when it is for this host.
  void Post(Instant now, HostMessage message, EntryEffects& effects);
  void Post(Instant now, const OutgoingLeaseMessage& effect,
            EntryEffects& effects);
  void Post(Instant now, const RateEffect& effect, EntryEffects& effects);
  void Judge(Instant now, EntryEffects& effects);
  void FollowServiceLease(Instant now, const LeaseEvent& event);
  void AnnounceOwnership(Instant now, std::vector<OwnerAnnouncement::Key> gone,
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
  Instant next_judgement_;
  bool leaving_ = false;
};

}  // namespace sapphirebank
