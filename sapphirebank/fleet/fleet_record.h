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

// State replicated among the control hosts: the traffic plan, the zones out of
// service, and the retired incarnations of backend servers.
class FleetRecord {
 public:
  // Maximum of retired incarnations kept. Late heartbeats arrive within
  // seconds; 4,096 cover a day of server replacements at the current fleet
  // size.
  static constexpr std::size_t kMaxRetired = 4096;

  // Maximum of plans of which the numbers of their changes are kept. Operators
  // repeat a plan for seconds, in which a few dozen others may follow.
  static constexpr std::size_t kMaxPlanChanges = 256;

  void Apply(const StorePlan& plan);
  void Apply(const SetZoneOut& zone);
  void Apply(const RetireBackend& backend);

  PlanVersion version() const { return version_; }
  const std::string& document() const { return document_; }
  const std::set<ZoneId>& zones_out() const { return zones_out_; }

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
  std::uint64_t changes_ = 0;
};

void to_json(nlohmann::json& json, const StorePlan& plan);
void from_json(const nlohmann::json& json, StorePlan& plan);
void to_json(nlohmann::json& json, const SetZoneOut& zone);
void from_json(const nlohmann::json& json, SetZoneOut& zone);
void to_json(nlohmann::json& json, const RetireBackend& backend);
void from_json(const nlohmann::json& json, RetireBackend& backend);

}  // namespace sapphirebank
