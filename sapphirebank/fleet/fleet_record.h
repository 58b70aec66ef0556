#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// Orders traffic plans. Operators choose it; the highest one is in force.
using PlanVersion = std::uint64_t;

// Offers a traffic plan. It takes effect only if its version is higher than
// the one in force.
struct StorePlan {
  PlanVersion version = 0;
  // The document as the operator sent it, which reads must return unchanged.
  std::string document;

  friend bool operator==(const StorePlan&, const StorePlan&) = default;
};

// Takes a zone out of service or returns it.
struct SetZoneOut {
  ZoneId zone;
  bool out = false;

  friend bool operator==(const SetZoneOut&, const SetZoneOut&) = default;
};

// Tells that a backend server takes no new work in this life.
struct RetireBackend {
  BackendId backend;
  Incarnation incarnation = 0;

  friend bool operator==(const RetireBackend&, const RetireBackend&) = default;
};

// What the control hosts agree on for a fleet that learns everything from
// them: the traffic plan, the zones that are out, and the lives of backend
// servers that said that they leave.
class FleetRecord {
 public:
  // Lives that are remembered. Late heartbeats come within seconds; 4,096 are
  // a day of replacements at the size of today.
  static constexpr std::size_t kMaxRetired = 4096;

  void Apply(const StorePlan& plan);
  void Apply(const SetZoneOut& zone);
  void Apply(const RetireBackend& backend);

  PlanVersion version() const { return version_; }
  const std::string& document() const { return document_; }
  const std::set<ZoneId>& zones_out() const { return zones_out_; }

  // Returns whether this life of the backend server said that it leaves.
  bool IsRetired(const BackendId& backend, Incarnation incarnation) const;

  // Counts the changes to the record.
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
  std::set<ZoneId> zones_out_;
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
