#include "sapphirebank/fleet/fleet_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sapphirebank {

using nlohmann::json;

void FleetRecord::Apply(const StorePlan& plan) {
  if (plan.version <= version_) return;
  version_ = plan.version;
  document_ = plan.document;
  plan_change_ = ++changes_;
}

void FleetRecord::Apply(const SetZoneOut& zone) {
  const bool changed = zone.out ? zones_out_.insert(zone.zone).second
                                : zones_out_.erase(zone.zone) > 0;
  if (changed) ++changes_;
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

bool FleetRecord::IsRetired(const BackendId& backend,
                            Incarnation incarnation) const {
  const auto found = retired_.find(backend);
  return found != retired_.end() && incarnation <= found->second.incarnation;
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
  out = {{"version", record.version_},         {"document", record.document_},
         {"plan_change", record.plan_change_}, {"zones_out", std::move(zones)},
         {"retired", std::move(retired)},      {"changes", record.changes_}};
}

void from_json(const json& in, FleetRecord& record) {
  in.at("version").get_to(record.version_);
  in.at("document").get_to(record.document_);
  in.at("changes").get_to(record.changes_);
  // Snapshots of earlier builds do not have it; the plan is no later than the
  // last change.
  record.plan_change_ = in.value("plan_change", record.changes_);
  record.zones_out_.clear();
  for (const auto& zone : in.at("zones_out")) {
    record.zones_out_.insert(ZoneId(zone.get<std::string>()));
  }
  record.retired_.clear();
  for (const auto& item : in.at("retired")) {
    record.retired_[BackendId(item.at(0).get<std::string>())] = {
        item.at(1).get<Incarnation>(), item.at(2).get<std::uint64_t>()};
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

}  // namespace sapphirebank
