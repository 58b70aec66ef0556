#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/membership/membership_message.h"

namespace sapphirebank {

// Updates that are piggybacked on the outgoing messages of this host
// (infection-style dissemination, SWIM section 4.1). There is at most one for
// each member. Those sent least often come first, and among these the newer
// ones.
class UpdateQueue {
 public:
  // Adds an update. It replaces an older one about the same member.
  void Push(MemberUpdate update);

  // Returns whether an update about `id` is queued.
  bool Contains(const HostId& id) const { return entries_.count(id) > 0; }

  // Appends queued updates of at most `budget` encoded bytes in all to
  // `updates`. Removes each one after it was sent `max_sends` times.
  void AppendNext(std::size_t budget, std::uint32_t max_sends,
                  std::vector<MemberUpdate>& updates);

  // Returns the number of queued updates.
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    MemberUpdate update;
    std::size_t bytes = 0;
    std::uint32_t send_count = 0;
    std::uint64_t order = 0;
  };
  // Order of sending: number of sends, age (smaller is newer), member.
  using Rank = std::tuple<std::uint32_t, std::uint64_t, HostId>;

  static Rank RankOf(const Entry& entry);

  std::map<HostId, Entry> entries_;
  std::set<Rank> ranks_;
  std::uint64_t push_count_ = 0;
};

}  // namespace sapphirebank
