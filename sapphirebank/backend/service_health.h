#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirebank/backend/server_health_evaluator.h"
#include "sapphirebank/backend/service_quarantine.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/backend/window_report.h"
#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

struct ServiceHealthSettings {
  HostId host;
  ServiceId service;
  Term term = 0;  // Of the coordinator's lease for the service.
  // Time for which a verdict holds without a newer one.
  Duration verdict_ttl = std::chrono::seconds(4);
  // Time after which an owner's last report says nothing any more.
  Duration report_ttl = std::chrono::seconds(5);
  // Time for which servers of a silent owner still count as announced.
  Duration silent_owner_retention = std::chrono::seconds(60);
  // Longest time for which an owner may be taken for the cause, without that
  // another host takes over, before its servers are judged after all.
  Duration owner_suspicion = std::chrono::seconds(30);
};

// A decision, for logs.
struct HealthDecision {
  enum class Kind {
    kEjected,
    kEnded,     // The time of the ejection is over.
    kReleased,  // Ended early, as the floor needs the server.
    kForgiven,  // Ended early, as a request was the cause.
    kLimited,   // The floor forbids an ejection; fewer slots instead.
    kOwnerSuspected,
  };

  Kind kind = Kind::kEjected;
  BackendId backend;  // Empty for kOwnerSuspected.
  BackendKey key;
  VerdictCause cause = VerdictCause::kFailures;
  double score = 0;  // Evidence in nats.
  std::uint32_t level = 0;
};

// Returns the kind's name in logs.
const char* HealthDecisionName(HealthDecision::Kind kind);

// How the floor stands.
struct FloorStatus {
  std::size_t announced = 0;
  // Servers without work: ejected, draining, in zones that are out, or of
  // owners that are not heard.
  std::size_t out_of_use = 0;
  // Servers that are in use again, though their owner may not know it yet.
  std::size_t returning = 0;
  std::size_t ejected = 0;
  std::size_t allowed = 0;  // Servers that may be out of use.
};

// Compares the backend servers of one service over the whole fleet and decides
// on ejections. One entry host holds it under a lease; a new holder begins
// with an empty one.
class ServiceHealth {
 public:
  ServiceHealth(const ServiceHealthSettings& settings, Instant now);

  // Takes the service's policy and the availability zones in service.
  void SetPolicy(const Declarations& declarations);

  // Takes an owner's report. Fails with kPeerRejected when it is of another
  // service, of an earlier lease, or not newer than the last one.
  Result<void> AddReport(Instant now, const WindowReport& report);

  // Judges all servers. Call it about once a second.
  std::vector<HealthDecision> Decide(Instant now);

  // Returns the verdicts for the owner of `key`, or nothing when none is
  // heard of late.
  std::optional<VerdictSet> VerdictsFor(Instant now, const BackendKey& key);

  // Returns the keys whose owners are heard.
  std::vector<BackendKey> Keys(Instant now) const;

  FloorStatus Floor(Instant now) const;

 private:
  struct Ejection {
    Instant until;
    VerdictCause cause = VerdictCause::kFailures;
    double severity = 0;
  };

  struct Server {
    ServerHealthEvaluator evaluator;
    BackendKey key;
    bool announced = true;
    std::optional<Ejection> ejection;
    bool limited = false;
    std::uint32_t level = 0;  // Ejections in a row.
    Instant last_ejection_end;
    // An ejection that ended here may be in force at the owner until then.
    Instant in_force_until;
  };

  struct Owner {
    HostId host;
    Term term = 0;
    std::uint64_t sequence = 0;
    Instant last_report;
    std::optional<Instant> suspected_since;
    // Set when the key has another owner since the suspicion, so that the
    // servers are judged.
    Instant cleared_until;
    bool suspected = false;
  };

  bool HasRecentReport(Instant now, const BackendKey& key) const;
  bool InUse(Instant now, const Server& server) const;
  bool OutOfUse(Instant now, const Server& server) const;
  void UpdateServers(Instant now, const WindowReport& report);
  void InheritEjection(Instant now, Server& server, const ServerWindow& window);
  PeerBaseline ComputeBaseline(Instant now);
  void SuspectOwners(Instant now, std::vector<HealthDecision>& decisions);
  void ExpireEjections(Instant now, std::vector<HealthDecision>& decisions);
  void ReleaseAboveFloor(Instant now, std::vector<HealthDecision>& decisions);
  void EjectWorst(Instant now, std::vector<HealthDecision>& decisions);
  void Eject(Instant now, Server& server);
  void EndEjection(Instant now, Server& server);
  HealthDecision MakeDecision(HealthDecision::Kind kind,
                              const BackendId& backend,
                              const Server& server) const;

  ServiceHealthSettings settings_;
  BackendPolicy policy_;
  std::map<ZoneId, bool> zones_;
  // No releases before: a part of the owners may not have reported yet.
  Instant reports_complete_at_;
  // No new ejections before: those of an earlier coordinator may be in force
  // without a report of them yet.
  Instant ejections_allowed_at_;
  std::map<BackendId, Server> servers_;
  std::map<BackendKey, Owner> owners_;
  ServiceQuarantine quarantine_;
  HistoricalShare historical_failures_;
  std::vector<HealthDecision> pending_decisions_;
};

}  // namespace sapphirebank
