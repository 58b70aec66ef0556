#include "sapphirebank/fleet/waiting_requests.h"

#include <cassert>
#include <vector>

namespace sapphirebank {

void WaitingRequests::Add(Instant now, RequestFingerprint request,
                          const RequestRank& rank, Instant return_at) {
  if (request == 0) return;
  const Entry* known = Find(now, request);
  const Instant first_seen = known != nullptr ? known->first_seen : now;
  Remove(request);
  if (entries_.size() >= settings_.limit) {
    const auto last = *by_rank_.rbegin();
    if (last.first < rank) return;
    Remove(last.second);
  }
  entries_[request] = {rank, first_seen, return_at};
  by_rank_.insert({rank, request});
  ++counts_[rank];
}

void WaitingRequests::Remove(RequestFingerprint request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) return;
  const RequestRank rank = found->second.rank;
  by_rank_.erase({rank, request});
  const auto count = counts_.find(rank);
  assert(count != counts_.end() && count->second > 0);
  if (--count->second == 0) counts_.erase(count);
  entries_.erase(found);
}

const WaitingRequests::Entry* WaitingRequests::Find(
    Instant now, RequestFingerprint request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end() || IsOver(now, found->second)) return nullptr;
  return &found->second;
}

std::optional<Duration> WaitingRequests::EarlyBy(
    Instant now, RequestFingerprint request) const {
  const Entry* entry = Find(now, request);
  if (entry == nullptr) return std::nullopt;
  const Duration early = entry->return_at - now;
  if (early <= settings_.early_tolerance) return std::nullopt;
  return early;
}

std::size_t WaitingRequests::CountMoreUrgent(const RequestRank& rank) const {
  std::size_t count = 0;
  for (const auto& [waiting, number] : counts_) {
    if (waiting < rank) count += number;
  }
  return count;
}

std::size_t WaitingRequests::CountAsUrgent(const RequestRank& rank) const {
  const auto same = counts_.find(rank);
  return CountMoreUrgent(rank) + (same == counts_.end() ? 0 : same->second);
}

void WaitingRequests::Tick(Instant now) {
  std::vector<RequestFingerprint> over;
  for (const auto& [request, entry] : entries_) {
    if (IsOver(now, entry)) over.push_back(request);
  }
  for (const RequestFingerprint request : over) Remove(request);
}

}  // namespace sapphirebank
