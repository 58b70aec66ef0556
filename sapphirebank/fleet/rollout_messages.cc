#include "sapphirebank/fleet/rollout_messages.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "sapphirebank/fleet/rollout_codec.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Writes the classes up to the last one with attempts.
json CountsToJson(const CountsByRoute& routes) {
  json out = json::object();
  for (const auto& [route, counts] : routes) {
    std::size_t used = counts.answered.size();
    while (used > 0 && counts.answered.at(used - 1) == 0) --used;
    json list = json::array({counts.failed});
    for (std::size_t i = 0; i < used; ++i) {
      list.push_back(counts.answered.at(i));
    }
    out[route] = std::move(list);
  }
  return out;
}

CountsByRoute CountsFromJson(const json& in) {
  CountsByRoute routes;
  for (const auto& [route, list] : in.items()) {
    AttemptCounts& counts = routes[route];
    list.at(0).get_to(counts.failed);
    if (list.size() > counts.answered.size() + 1) {
      throw std::out_of_range("too many duration classes");
    }
    for (std::size_t i = 1; i < list.size(); ++i) {
      list.at(i).get_to(counts.answered.at(i - 1));
    }
  }
  return routes;
}

}  // namespace

void to_json(json& out, const VersionRecord& versions) {
  json rollouts = json::array();
  for (const auto& [service, rollout] : versions.rollouts) {
    rollouts.push_back(RolloutToJson(rollout));
  }
  json current = json::object();
  for (const auto& [service, version] : versions.current_versions) {
    current[service.value()] = version;
  }
  out = {{"rollouts", std::move(rollouts)}, {"current", std::move(current)}};
}

void from_json(const json& in, VersionRecord& versions) {
  for (const json& item : in.at("rollouts")) {
    Rollout rollout = RolloutFromJson(item);
    versions.rollouts[rollout.service] = std::move(rollout);
  }
  for (const auto& [service, version] : in.at("current").items()) {
    versions.current_versions[ServiceId(service)] = version.get<std::string>();
  }
}

void to_json(json& out, const RolloutSamples& samples) {
  out = json::object();
  for (const auto& [server, counts] : samples.target) {
    out["target"][server.value()] = CountsToJson(counts);
  }
  if (!samples.others.empty()) out["others"] = CountsToJson(samples.others);
}

void from_json(const json& in, RolloutSamples& samples) {
  if (const auto found = in.find("target"); found != in.end()) {
    for (const auto& [server, counts] : found->items()) {
      samples.target[BackendId(server)] = CountsFromJson(counts);
    }
  }
  if (const auto found = in.find("others"); found != in.end()) {
    samples.others = CountsFromJson(*found);
  }
}

}  // namespace sapphirebank
