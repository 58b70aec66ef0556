#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/rollout.h"

namespace sapphirebank {

// Orders traffic plans. Chosen by operators; the highest version is in force.
using PlanVersion = std::uint64_t;

// Command that proposes a traffic plan. It takes effect only if its version is
// higher than the one in force.
struct StorePlan {
  PlanVersion version = 0;
  // The document as the operator sent it, which reads must return unchanged.
  std::string document;

  friend bool operator==(const StorePlan&, const StorePlan&) = default;
};

// Command that takes a zone out of service or returns it.
struct SetZoneOut {
  ZoneId zone;
  bool out = false;

  friend bool operator==(const SetZoneOut&, const SetZoneOut&) = default;
};

// Command that records that an incarnation of a backend server accepts no new
// requests.
struct RetireBackend {
  BackendId backend;
  Incarnation incarnation = 0;

  friend bool operator==(const RetireBackend&, const RetireBackend&) = default;
};

// Command that orders a rollout of a service.
struct StartRollout {
  ServiceId service;
  std::string target_version;
  Duration duration{};
  // Order number of the service's last rollout, which must be over, or 0 if it
  // had none. With another one the command changes nothing, so that of several
  // orders at once one takes effect, and a repeated one none.
  std::uint64_t follows = 0;

  friend bool operator==(const StartRollout&, const StartRollout&) = default;
};

// Command that moves the rollout `order` of a service to another phase. It
// changes nothing if that is not the last rollout or if the phase does not
// follow its present one.
struct SetRolloutPhase {
  ServiceId service;
  std::uint64_t order = 0;
  RolloutPhase phase = RolloutPhase::kTrial;
  std::string reason;

  friend bool operator==(const SetRolloutPhase&,
                         const SetRolloutPhase&) = default;
};

// State replicated among the control hosts: the traffic plan, the zones out of
// service, the retired incarnations of backend servers, and the rollouts.
class FleetRecord {
 public:
  // Maximum of retired incarnations kept. Late heartbeats arrive within
  // seconds; 4,096 cover a day of server replacements at the current fleet
  // size.
  static constexpr std::size_t kMaxRetired = 4096;

  // Maximum of plans of which the numbers of their changes are kept. Operators
  // repeat a plan for seconds, in which a few dozen others may follow.
  static constexpr std::size_t kMaxPlanChanges = 256;

  // Maximum of rolled back versions of a service that get no requests.
  static constexpr std::size_t kMaxBarredVersions = 16;

  void Apply(const StorePlan& plan);
  void Apply(const SetZoneOut& zone);
  void Apply(const RetireBackend& backend);
  void Apply(const StartRollout& start);
  void Apply(const SetRolloutPhase& step);

  PlanVersion version() const { return version_; }
  const std::string& document() const { return document_; }
  const std::set<ZoneId>& zones_out() const { return zones_out_; }

  // Returns the last rollout of each service. The order number of a rollout is
  // that of the change that started it.
  const std::map<ServiceId, Rollout>& rollouts() const { return rollouts_; }

  // Returns the last rollout of the service, or null.
  const Rollout* FindRollout(const ServiceId& service) const;

  // Returns the version to which the last completed rollout of the service
  // moved it; empty without one.
  std::string CurrentVersion(const ServiceId& service) const;

  // Returns the number of the change that brought the service's last rollout to
  // its phase, or 0 without a rollout.
  std::uint64_t RolloutChange(const ServiceId& service) const;

  // Returns whether this incarnation of the backend server is retired.
  bool IsRetired(const BackendId& backend, Incarnation incarnation) const;

  // Returns the last incarnation of the backend server that is retired, if any.
  std::optional<Incarnation> RetiredUpTo(const BackendId& backend) const;

  // Returns the number of the change with which the record had a plan of
  // `version` or a higher one first, or nothing if it has none. Changes are
  // numbered from 1.
  std::optional<std::uint64_t> PlanChange(PlanVersion version) const;

  // Returns the number of the change that took the zone out of service or
  // returned it last; the last change of all if that is not known.
  std::uint64_t ZoneChange(const ZoneId& zone) const;

  // Returns the same; 0 if it is not known.
  std::uint64_t KnownZoneChange(const ZoneId& zone) const;

  // Returns the number of the change that retired this or a later incarnation
  // of the backend server, or nothing if it is not retired.
  std::optional<std::uint64_t> RetirementChange(const BackendId& backend,
                                                Incarnation incarnation) const;

  // Returns the number of changes to the record.
  std::uint64_t changes() const { return changes_; }

  friend void to_json(nlohmann::json& json, const FleetRecord& record);
  friend void from_json(const nlohmann::json& json, FleetRecord& record);

 private:
  struct Retirement {
    Incarnation incarnation = 0;
    std::uint64_t order = 0;
  };

  PlanVersion version_ = 0;
  std::string document_;
  // The changes that brought the latest plans, by version.
  std::map<PlanVersion, std::uint64_t> plan_changes_;
  std::set<ZoneId> zones_out_;
  std::map<ZoneId, std::uint64_t> zone_changes_;
  std::map<BackendId, Retirement> retired_;
  std::map<ServiceId, Rollout> rollouts_;
  std::map<ServiceId, std::uint64_t> rollout_changes_;
  std::map<ServiceId, std::string> current_versions_;
  std::uint64_t changes_ = 0;
};

void to_json(nlohmann::json& json, const StorePlan& plan);
void from_json(const nlohmann::json& json, StorePlan& plan);
void to_json(nlohmann::json& json, const SetZoneOut& zone);
void from_json(const nlohmann::json& json, SetZoneOut& zone);
void to_json(nlohmann::json& json, const RetireBackend& backend);
void from_json(const nlohmann::json& json, RetireBackend& backend);
void to_json(nlohmann::json& json, const StartRollout& start);
void from_json(const nlohmann::json& json, StartRollout& start);
void to_json(nlohmann::json& json, const SetRolloutPhase& step);
void from_json(const nlohmann::json& json, SetRolloutPhase& step);

}  // namespace sapphirebank
