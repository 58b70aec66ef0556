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

  void Apply(const StorePlan& plan);
  void Apply(const SetZoneOut& zone);
  void Apply(const RetireBackend& backend);

  PlanVersion version() const { return version_; }
  const std::string& document() const { return document_; }
  const std::set<ZoneId>& zones_out() const { return zones_out_; }

  // Returns whether this incarnation of the backend server is retired.
  bool IsRetired(const BackendId& backend, Incarnation incarnation) const;

  // Returns the number of the change that brought the plan in force. Changes
  // are numbered from 1.
  std::uint64_t plan_change() const { return plan_change_; }

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
  std::uint64_t plan_change_ = 0;
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
