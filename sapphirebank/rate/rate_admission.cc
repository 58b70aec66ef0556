#include "sapphirebank/rate/rate_admission.h"

#include <algorithm>

namespace sapphirebank {

std::optional<RateAdmission::Decision> RateAdmission::Submit(
    Instant now, RequestNumber request, const WorkspaceId& workspace,
    const RateLimit& limit) {
  const AcquireResult result = client_.TryAcquire(now, workspace, limit);
  if (result.outcome != AcquireOutcome::kWait) {
    return Decision{request, result.outcome, result.at, Duration::zero()};
  }
  waiting_[workspace].push_back({request, now, limit});
  deadlines_.push_back({result.at, workspace});
  return std::nullopt;
}

void RateAdmission::Retry(Instant now, const WorkspaceId& workspace,
                          std::vector<Decision>& decisions) {
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return;
  std::deque<Waiting>& queue = found->second;
  while (!queue.empty()) {
    const Waiting& first = queue.front();
    const AcquireResult result =
        client_.TryAcquire(now, workspace, first.limit, first.arrived_at);
    if (result.outcome == AcquireOutcome::kWait) return;
    decisions.push_back(
        {first.request, result.outcome, result.at, now - first.arrived_at});
    queue.pop_front();
  }
  waiting_.erase(found);
}

std::vector<RateAdmission::Decision> RateAdmission::OnTokenResponse(
    Instant now, const TokenResponse& response) {
  std::vector<Decision> decisions;
  for (const WorkspaceId& workspace : client_.OnTokenResponse(now, response)) {
    Retry(now, workspace, decisions);
  }
  return decisions;
}

std::vector<RateAdmission::Decision> RateAdmission::Tick(Instant now) {
  std::vector<Decision> decisions;
  while (!deadlines_.empty() && now >= deadlines_.front().at) {
    Retry(now, deadlines_.front().workspace, decisions);
    deadlines_.pop_front();
  }
  return decisions;
}

void RateAdmission::Cancel(RequestNumber request,
                           const WorkspaceId& workspace) {
  const auto found = waiting_.find(workspace);
  if (found == waiting_.end()) return;
  const std::size_t removed = std::erase_if(
      found->second,
      [&](const Waiting& waiting) { return waiting.request == request; });
  if (removed > 0) client_.CancelWait(workspace);
  if (found->second.empty()) waiting_.erase(found);
}

std::optional<Instant> RateAdmission::next_deadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.front().at;
}

}  // namespace sapphirebank
