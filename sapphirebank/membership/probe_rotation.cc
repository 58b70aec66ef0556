#include "sapphirebank/membership/probe_rotation.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

// Moves `count` random elements to the front of `ids` (Fisher-Yates).
void ShuffleFront(std::vector<HostId>& ids, std::size_t count, Random& random) {
  for (std::size_t i = 0; i < std::min(count, ids.size()); ++i) {
    std::swap(ids[i], ids[i + random.Below(ids.size() - i)]);
  }
}

}  // namespace

void ProbeRotation::Add(const HostId& id, Random& random) {
  const std::size_t left = order_.size() - position_;
  const std::size_t place = position_ + random.Below(left + 1);
  order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(place), id);
}

HostId ProbeRotation::Next(const std::set<HostId>& live, Random& random) {
  if (live.empty()) return HostId();
  while (position_ < order_.size()) {
    const HostId& id = order_[position_++];
    if (live.count(id) > 0) return id;
  }
  order_.assign(live.begin(), live.end());
  ShuffleFront(order_, order_.size(), random);
  position_ = 1;
  return order_.front();
}

std::vector<HostId> RandomHosts(const std::set<HostId>& ids, std::size_t count,
                                const HostId& except, Random& random) {
  std::vector<HostId> chosen(ids.begin(), ids.end());
  std::erase(chosen, except);
  ShuffleFront(chosen, count, random);
  chosen.resize(std::min(count, chosen.size()));
  return chosen;
}

}  // namespace sapphirebank
