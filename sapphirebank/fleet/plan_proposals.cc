#include "sapphirebank/fleet/plan_proposals.h"

#include <cassert>

namespace sapphirebank {

void PlanProposals::Join(WaitingCall call) {
  const auto open = open_.lower_bound(call.version);
  assert(open != open_.end());
  open->second.push_back(std::move(call));
}

std::vector<PlanProposals::WaitingCall> PlanProposals::End(
    PlanVersion version) {
  auto ended = open_.extract(version);
  if (ended.empty()) return {};
  return std::move(ended.mapped());
}

}  // namespace sapphirebank
