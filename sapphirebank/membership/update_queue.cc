#include "sapphirebank/membership/update_queue.h"

#include <cassert>
#include <limits>
#include <utility>

namespace sapphirebank {
namespace {

// Entries too large for the remaining space that are skipped before a message
// counts as full.
constexpr int kMaxOversizedEntries = 4;

}  // namespace

UpdateQueue::Rank UpdateQueue::RankOf(const Entry& entry) {
  return {entry.send_count,
          std::numeric_limits<std::uint64_t>::max() - entry.order,
          entry.update.id};
}

void UpdateQueue::Push(MemberUpdate update) {
  const HostId id = update.id;
  Entry& entry = entries_[id];
  ranks_.erase(RankOf(entry));
  entry.bytes = MaxEncodedBytes(update);
  entry.update = std::move(update);
  entry.send_count = 0;
  entry.order = ++push_count_;
  ranks_.insert(RankOf(entry));
}

void UpdateQueue::AppendNext(std::size_t budget, std::uint32_t max_sends,
                             std::vector<MemberUpdate>& updates) {
  std::vector<HostId> selected;
  int oversized = 0;
  for (const Rank& rank : ranks_) {
    if (oversized >= kMaxOversizedEntries) break;
    const Entry& entry = entries_.at(std::get<HostId>(rank));
    if (entry.bytes > budget) {
      ++oversized;
      continue;
    }
    budget -= entry.bytes;
    selected.push_back(entry.update.id);
  }
  for (const HostId& id : selected) {
    const auto found = entries_.find(id);
    assert(found != entries_.end());
    Entry& entry = found->second;
    ranks_.erase(RankOf(entry));
    updates.push_back(entry.update);
    if (++entry.send_count >= max_sends) {
      entries_.erase(found);
    } else {
      ranks_.insert(RankOf(entry));
    }
  }
}

}  // namespace sapphirebank
