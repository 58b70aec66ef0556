#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Progress of a rollout: the move of a service's requests to the servers that
// announce another version.
enum class RolloutPhase : std::uint8_t {
  // The new version gets a bounded share of the requests and is compared with
  // the others.
  kTrial,
  // The new version gets all requests; those in flight at other servers end.
  kSwitch,
  // The other servers may stop.
  kCompleted,
  // The new version gets no requests.
  kRolledBack,
};

// All phases in the order of the enum.
inline constexpr std::array kRolloutPhases = {
    RolloutPhase::kTrial, RolloutPhase::kSwitch, RolloutPhase::kCompleted,
    RolloutPhase::kRolledBack};

// Returns the phase's name in logs and metrics.
constexpr std::string_view ToString(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kTrial:
      return "trial";
    case RolloutPhase::kSwitch:
      return "switch";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

// A rollout of one service, as the replicated record holds it.
struct Rollout {
  ServiceId service;
  std::string target_version;
  // Time from the order by which the rollout should be completed.
  Duration duration{};
  // Number of the order, which increases with each order of the fleet.
  std::uint64_t order = 0;
  RolloutPhase phase = RolloutPhase::kTrial;
  // Why the phase is what it is, for operators.
  std::string reason;
  // Versions from which earlier rollouts were rolled back, oldest first. Their
  // servers may still run and get no requests.
  std::vector<std::string> barred_versions;

  bool IsBarred(std::string_view version) const {
    return std::find(barred_versions.begin(), barred_versions.end(), version) !=
           barred_versions.end();
  }

  bool IsOver() const {
    return phase == RolloutPhase::kCompleted ||
           phase == RolloutPhase::kRolledBack;
  }

  friend bool operator==(const Rollout&, const Rollout&) = default;
};

// Which requests a server may get, by its version.
enum class VersionUse : std::uint8_t {
  kOpen,     // All.
  kByShare,  // Those that its hub grants to the new version.
  kNone,
};

// Returns the use of a server of `version` while `rollout` is the last one of
// its service.
inline VersionUse UseOf(const Rollout& rollout, std::string_view version) {
  if (rollout.IsBarred(version)) return VersionUse::kNone;
  const bool is_target = version == rollout.target_version;
  switch (rollout.phase) {
    case RolloutPhase::kTrial:
      return is_target ? VersionUse::kByShare : VersionUse::kOpen;
    case RolloutPhase::kSwitch:
    case RolloutPhase::kCompleted:
      return is_target ? VersionUse::kOpen : VersionUse::kNone;
    case RolloutPhase::kRolledBack:
      return is_target ? VersionUse::kNone : VersionUse::kOpen;
  }
  return VersionUse::kNone;
}

}  // namespace sapphirebank
