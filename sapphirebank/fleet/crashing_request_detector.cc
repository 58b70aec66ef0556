#include "sapphirebank/fleet/crashing_request_detector.h"

#include <algorithm>

namespace sapphirebank {
namespace {

constexpr Duration kRemovalPeriod = std::chrono::seconds(1);

}  // namespace

bool CrashingRequestDetector::RecordCrash(Instant now,
                                          RequestFingerprint request,
                                          const BackendId& server,
                                          Duration age) {
  RemoveEnded(now);
  if (age > settings_.crash_window || IsQuarantined(now, request)) return false;
  const Instant at = now - std::max(age, Duration::zero());
  CrashHistory& history = histories_[request];
  if (IsOver(now, history)) history = CrashHistory();
  Instant& crashed_at = history.servers.emplace(server, at).first->second;
  crashed_at = std::max(crashed_at, at);
  history.last_crash_at = std::max(history.last_crash_at, at);
  if (history.servers.size() < settings_.quarantine_threshold) return false;
  quarantined_until_[request] =
      history.last_crash_at + settings_.quarantine_time;
  histories_.erase(request);
  return true;
}

bool CrashingRequestDetector::RecordQuarantine(
    Instant now, const RequestQuarantine& quarantine) {
  RemoveEnded(now);
  if (quarantine.left <= Duration::zero()) return false;
  const bool is_new = !IsQuarantined(now, quarantine.request);
  Instant& until = quarantined_until_[quarantine.request];
  until = std::max(until,
                   now + std::min(quarantine.left, settings_.quarantine_time));
  histories_.erase(quarantine.request);
  return is_new;
}

bool CrashingRequestDetector::IsQuarantined(Instant now,
                                            RequestFingerprint request) const {
  const auto found = quarantined_until_.find(request);
  return found != quarantined_until_.end() && now < found->second;
}

std::vector<RequestQuarantine> CrashingRequestDetector::Quarantines(
    Instant now) {
  RemoveEnded(now);
  std::vector<RequestQuarantine> quarantines;
  quarantines.reserve(quarantined_until_.size());
  for (const auto& [request, until] : quarantined_until_) {
    if (now < until) quarantines.push_back({request, until - now});
  }
  return quarantines;
}

std::vector<RequestCrash> CrashingRequestDetector::Crashes(Instant now) {
  RemoveEnded(now);
  std::vector<RequestCrash> crashes;
  for (const auto& [request, history] : histories_) {
    if (IsOver(now, history)) continue;
    for (const auto& [server, at] : history.servers) {
      crashes.push_back({request, server, now - at});
    }
  }
  return crashes;
}

void CrashingRequestDetector::RemoveEnded(Instant now) {
  if (now < next_removal_) return;
  next_removal_ = now + kRemovalPeriod;
  std::erase_if(histories_,
                [&](const auto& item) { return IsOver(now, item.second); });
  std::erase_if(quarantined_until_,
                [&](const auto& item) { return item.second <= now; });
}

}  // namespace sapphirebank
