#include "sapphirebank/fleet/fleet_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "sapphirebank/fleet/rollout_codec.h"

namespace sapphirebank {

using nlohmann::json;

namespace {

bool MayFollow(RolloutPhase from, RolloutPhase to) {
  switch (from) {
    case RolloutPhase::kTrial:
      return to == RolloutPhase::kSwitch || to == RolloutPhase::kRolledBack;
    case RolloutPhase::kSwitch:
      return to == RolloutPhase::kCompleted || to == RolloutPhase::kRolledBack;
    case RolloutPhase::kCompleted:
    case RolloutPhase::kRolledBack:
      return false;
  }
  return false;
}

// Returns the versions without requests while a rollout to `target` follows
// `last`.
std::vector<std::string> BarredVersions(const Rollout* last,
                                        const std::string& target) {
  std::vector<std::string> barred;
  if (last == nullptr) return barred;
  barred = last->barred_versions;
  if (last->phase == RolloutPhase::kRolledBack) {
    barred.push_back(last->target_version);
  }
  std::erase(barred, target);
  if (barred.size() > FleetRecord::kMaxBarredVersions) {
    barred.erase(barred.begin());
  }
  return barred;
}

}  // namespace

void FleetRecord::Apply(const StorePlan& plan) {
  if (plan.version <= version_) return;
  version_ = plan.version;
  document_ = plan.document;
  plan_changes_[version_] = ++changes_;
  if (plan_changes_.size() > kMaxPlanChanges) {
    plan_changes_.erase(plan_changes_.begin());
  }
}

std::optional<std::uint64_t> FleetRecord::PlanChange(
    PlanVersion version) const {
  const auto found = plan_changes_.lower_bound(version);
  if (found == plan_changes_.end()) return std::nullopt;
  return found->second;
}

void FleetRecord::Apply(const SetZoneOut& zone) {
  const bool changed = zone.out ? zones_out_.insert(zone.zone).second
                                : zones_out_.erase(zone.zone) > 0;
  if (changed) zone_changes_[zone.zone] = ++changes_;
}

std::uint64_t FleetRecord::ZoneChange(const ZoneId& zone) const {
  const auto found = zone_changes_.find(zone);
  return found == zone_changes_.end() ? changes_ : found->second;
}

std::uint64_t FleetRecord::KnownZoneChange(const ZoneId& zone) const {
  const auto found = zone_changes_.find(zone);
  return found == zone_changes_.end() ? 0 : found->second;
}

void FleetRecord::Apply(const RetireBackend& backend) {
  if (IsRetired(backend.backend, backend.incarnation)) return;
  retired_[backend.backend] = {backend.incarnation, ++changes_};
  if (retired_.size() <= kMaxRetired) return;
  const auto oldest = std::min_element(retired_.begin(), retired_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.order < b.second.order;
                                       });
  retired_.erase(oldest);
}

void FleetRecord::Apply(const StartRollout& start) {
  const Rollout* const last = FindRollout(start.service);
  if (last != nullptr && !last->IsOver()) return;
  if ((last != nullptr ? last->order : 0) != start.follows) return;
  Rollout rollout;
  rollout.service = start.service;
  rollout.target_version = start.target_version;
  rollout.duration = start.duration;
  rollout.barred_versions = BarredVersions(last, start.target_version);
  rollout.order = ++changes_;
  rollout_changes_[start.service] = changes_;
  rollouts_[start.service] = std::move(rollout);
}

void FleetRecord::Apply(const SetRolloutPhase& step) {
  const auto found = rollouts_.find(step.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (rollout.order != step.order) return;
  if (!MayFollow(rollout.phase, step.phase)) return;
  rollout.phase = step.phase;
  rollout.reason = step.reason;
  rollout_changes_[step.service] = ++changes_;
  if (step.phase == RolloutPhase::kCompleted) {
    current_versions_[step.service] = rollout.target_version;
  }
}

const Rollout* FleetRecord::FindRollout(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

std::string FleetRecord::CurrentVersion(const ServiceId& service) const {
  const auto found = current_versions_.find(service);
  return found == current_versions_.end() ? std::string() : found->second;
}

std::uint64_t FleetRecord::RolloutChange(const ServiceId& service) const {
  const auto found = rollout_changes_.find(service);
  return found == rollout_changes_.end() ? 0 : found->second;
}

bool FleetRecord::IsRetired(const BackendId& backend,
                            Incarnation incarnation) const {
  const auto found = retired_.find(backend);
  return found != retired_.end() && incarnation <= found->second.incarnation;
}

std::optional<Incarnation> FleetRecord::RetiredUpTo(
    const BackendId& backend) const {
  const auto found = retired_.find(backend);
  if (found == retired_.end()) return std::nullopt;
  return found->second.incarnation;
}

std::optional<std::uint64_t> FleetRecord::RetirementChange(
    const BackendId& backend, Incarnation incarnation) const {
  if (!IsRetired(backend, incarnation)) return std::nullopt;
  return retired_.at(backend).order;
}

void to_json(json& out, const FleetRecord& record) {
  json zones = json::array();
  for (const ZoneId& zone : record.zones_out_) zones.push_back(zone.value());
  json retired = json::array();
  for (const auto& [backend, retirement] : record.retired_) {
    retired.push_back(
        {backend.value(), retirement.incarnation, retirement.order});
  }
  json plan_changes = json::array();
  for (const auto& [version, change] : record.plan_changes_) {
    plan_changes.push_back({version, change});
  }
  json zone_changes = json::array();
  for (const auto& [zone, change] : record.zone_changes_) {
    zone_changes.push_back({zone.value(), change});
  }
  out = {{"version", record.version_},
         {"document", record.document_},
         {"plan_changes", std::move(plan_changes)},
         {"zones_out", std::move(zones)},
         {"zone_changes", std::move(zone_changes)},
         {"retired", std::move(retired)},
         {"changes", record.changes_}};
  if (!record.rollouts_.empty()) {
    json rollouts = json::array();
    for (const auto& [service, rollout] : record.rollouts_) {
      rollouts.push_back(RolloutToJson(rollout));
      rollouts.back()["change"] = record.RolloutChange(service);
    }
    json versions = json::array();
    for (const auto& [service, version] : record.current_versions_) {
      versions.push_back({service.value(), version});
    }
    out["rollouts"] = std::move(rollouts);
    out["versions"] = std::move(versions);
  }
  // Read by earlier builds.
  if (!record.plan_changes_.empty()) {
    out["plan_change"] = record.plan_changes_.rbegin()->second;
  }
}

void from_json(const json& in, FleetRecord& record) {
  in.at("version").get_to(record.version_);
  in.at("document").get_to(record.document_);
  in.at("changes").get_to(record.changes_);
  record.plan_changes_.clear();
  if (const auto found = in.find("plan_changes"); found != in.end()) {
    for (const auto& item : *found) {
      record.plan_changes_[item.at(0).get<PlanVersion>()] =
          item.at(1).get<std::uint64_t>();
    }
  } else if (record.version_ > 0) {
    // Snapshots of earlier builds have the last one or none; the plan is no
    // later than the last change.
    record.plan_changes_[record.version_] =
        in.value("plan_change", record.changes_);
  }
  record.zone_changes_.clear();
  if (const auto found = in.find("zone_changes"); found != in.end()) {
    for (const auto& item : *found) {
      record.zone_changes_[ZoneId(item.at(0).get<std::string>())] =
          item.at(1).get<std::uint64_t>();
    }
  }
  record.zones_out_.clear();
  for (const auto& zone : in.at("zones_out")) {
    record.zones_out_.insert(ZoneId(zone.get<std::string>()));
  }
  record.retired_.clear();
  for (const auto& item : in.at("retired")) {
    record.retired_[BackendId(item.at(0).get<std::string>())] = {
        item.at(1).get<Incarnation>(), item.at(2).get<std::uint64_t>()};
  }
  record.rollouts_.clear();
  record.rollout_changes_.clear();
  record.current_versions_.clear();
  // Earlier builds have no rollouts.
  if (const auto found = in.find("rollouts"); found != in.end()) {
    for (const auto& item : *found) {
      Rollout rollout = RolloutFromJson(item);
      const ServiceId service = rollout.service;
      item.at("change").get_to(record.rollout_changes_[service]);
      record.rollouts_[service] = std::move(rollout);
    }
  }
  if (const auto found = in.find("versions"); found != in.end()) {
    for (const auto& item : *found) {
      record.current_versions_[ServiceId(item.at(0).get<std::string>())] =
          item.at(1).get<std::string>();
    }
  }
}

void to_json(json& out, const StorePlan& plan) {
  out = {{"version", plan.version}, {"document", plan.document}};
}

void from_json(const json& in, StorePlan& plan) {
  in.at("version").get_to(plan.version);
  in.at("document").get_to(plan.document);
}

void to_json(json& out, const SetZoneOut& zone) {
  out = {{"zone", zone.zone.value()}, {"out", zone.out}};
}

void from_json(const json& in, SetZoneOut& zone) {
  zone.zone = ZoneId(in.at("zone").get<std::string>());
  in.at("out").get_to(zone.out);
}

void to_json(json& out, const RetireBackend& backend) {
  out = {{"backend", backend.backend.value()},
         {"incarnation", backend.incarnation}};
}

void from_json(const json& in, RetireBackend& backend) {
  backend.backend = BackendId(in.at("backend").get<std::string>());
  in.at("incarnation").get_to(backend.incarnation);
}

void to_json(json& out, const StartRollout& start) {
  out = {{"service", start.service.value()},
         {"target", start.target_version},
         {"duration", start.duration.count()},
         {"follows", start.follows}};
}

void from_json(const json& in, StartRollout& start) {
  start.service = ServiceId(in.at("service").get<std::string>());
  in.at("target").get_to(start.target_version);
  start.duration = Duration(in.at("duration").get<std::int64_t>());
  in.at("follows").get_to(start.follows);
}

void to_json(json& out, const SetRolloutPhase& step) {
  out = {{"service", step.service.value()},
         {"order", step.order},
         {"phase", static_cast<unsigned>(step.phase)},
         {"reason", step.reason}};
}

void from_json(const json& in, SetRolloutPhase& step) {
  step.service = ServiceId(in.at("service").get<std::string>());
  in.at("order").get_to(step.order);
  step.phase = RolloutPhaseFromJson(in.at("phase"));
  in.at("reason").get_to(step.reason);
}

}  // namespace sapphirebank
