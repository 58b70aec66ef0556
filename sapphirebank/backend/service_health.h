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
  Term term = 0;  // Term of the coordinator's lease for the service.
  // Time for which a verdict holds without a newer one.
  Duration verdict_ttl = std::chrono::seconds(4);
  // Time after which an owner's latest report is out of date.
  Duration report_ttl = std::chrono::seconds(5);
  // Time for which servers of an owner that no longer reports still count as
  // announced.
  Duration silent_owner_retention = std::chrono::seconds(60);
  // Longest time for which servers are exempt from ejection because their owner
  // is suspected and no other host has taken over the key.
  Duration owner_suspicion = std::chrono::seconds(30);
};

// A decision of the coordinator, for logs.
struct HealthDecision {
  enum class Kind {
    kEjected,
    kEnded,     // The ejection's time is over.
    kReleased,  // Ended early: the healthy floor needs the server.
    kForgiven,  // Ended early: a request was the cause.
    kLimited,   // Slots limited: the floor forbids an ejection.
    kOwnerSuspected,
  };

  Kind kind = Kind::kEjected;
  BackendId backend;  // Empty for kOwnerSuspected.
  BackendKey key;
  VerdictCause cause = VerdictCause::kFailures;
  double score = 0;  // In nats.
  std::uint32_t level = 0;
};

// Returns the kind's name in logs.
const char* HealthDecisionName(HealthDecision::Kind kind);

// Numbers of servers with regard to the healthy floor,
// BackendPolicy::healthy_floor.
struct FloorStatus {
  std::size_t announced = 0;
  // Servers that get no requests: ejected, draining, in zones out of service,
  // or of owners without a recent report.
  std::size_t out_of_use = 0;
  // Servers whose ejection has ended although it may still be in force at their
  // owner.
  std::size_t returning = 0;
  std::size_t ejected = 0;
  std::size_t allowed = 0;  // Largest permitted `out_of_use`.
};

// The coordinator of one service: compares the service's backend servers across
// the whole fleet and decides on ejections. One entry host runs it under a
// lease; a new lease holder starts with an empty state.
class ServiceHealth {
 public:
  ServiceHealth(const ServiceHealthSettings& settings, Instant now);

  // Applies the service's policy and the state of the availability zones.
  void SetPolicy(const Declarations& declarations);

  // Processes an owner's report. Fails with kPeerRejected when it is for
  // another service, from an earlier lease, or not newer than the last one.
  Result<void> AddReport(Instant now, const WindowReport& report);

  // Evaluates all servers and returns the new decisions. Call it about once a
  // second.
  std::vector<HealthDecision> Decide(Instant now);

  // Returns the verdicts for the owner of `key`, or nothing if that owner has
  // not reported recently.
  std::optional<VerdictSet> VerdictsFor(Instant now, const BackendKey& key);

  // Returns the keys whose owners have reported recently.
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
    std::uint32_t level = 0;  // Consecutive ejections.
    Instant last_ejection_end;
    // Time until which an ejection that ended here may still be in force at the
    // owner.
    Instant in_force_until;
  };

  struct Owner {
    HostId host;
    Term term = 0;
    std::uint64_t sequence = 0;
    Instant last_report;
    std::optional<Instant> suspected_since;
    // Set when the key gets another owner after a suspicion; until then the
    // servers are judged without suspecting the owner again.
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
  // No releases before this time: some owners may not have reported yet.
  Instant reports_complete_at_;
  // No new ejections before this time: ejections by an earlier coordinator may
  // be in force without having been reported yet.
  Instant ejections_allowed_at_;
  std::map<BackendId, Server> servers_;
  std::map<BackendKey, Owner> owners_;
  ServiceQuarantine quarantine_;
  HistoricalShare historical_failures_;
  std::vector<HealthDecision> pending_decisions_;
};

}  // namespace sapphirebank
