#include "sapphirebank/fleet/rollout_sampler.h"

#include <chrono>

namespace sapphirebank {
namespace {

void AddCounts(CountsByRoute& sum, const CountsByRoute& more) {
  for (const auto& [route, counts] : more) {
    AttemptCounts& total = sum[route];
    total.failed += counts.failed;
    for (std::size_t i = 0; i < counts.answered.size(); ++i) {
      total.answered.at(i) += counts.answered.at(i);
    }
  }
}

}  // namespace

std::size_t DurationClassOf(Duration time) {
  Duration bound = std::chrono::milliseconds(AttemptCounts::kFirstBoundMs);
  std::size_t index = 0;
  while (index + 1 < AttemptCounts::kDurationClasses && time >= bound) {
    bound *= 2;
    ++index;
  }
  return index;
}

void AddSamples(RolloutSamples& sum, const RolloutSamples& more) {
  for (const auto& [server, counts] : more.target) {
    AddCounts(sum.target[server], counts);
  }
  AddCounts(sum.others, more.others);
}

void RolloutSampler::Record(const VersionPolicy& versions,
                            const ServerAnnouncement& server,
                            const AttemptEnd& end) {
  const Rollout* rollout = versions.FindRunning(server.service);
  if (rollout == nullptr) return;
  const bool is_target = server.version == rollout->target_version;
  if (!is_target && !end.server_is_healthy) return;
  RolloutSamples& samples = samples_[server.service];
  AttemptCounts& counts =
      (is_target ? samples.target[server.id] : samples.others)[end.route];
  if (end.failed) {
    ++counts.failed;
  } else {
    ++counts.answered.at(DurationClassOf(end.time));
  }
}

}  // namespace sapphirebank
