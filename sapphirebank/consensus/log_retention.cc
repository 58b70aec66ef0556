#include "sapphirebank/consensus/log_retention.h"

#include <algorithm>
#include <cassert>

namespace sapphirebank {

bool LogRetention::IsSnapshotDue(std::size_t last_bytes) const {
  return bytes_since_snapshot_ >=
         std::max(settings_.snapshot_log_bytes, last_bytes);
}

LogIndex LogRetention::DiscardThrough(const RaftLog& log,
                                      LogIndex snapshot) const {
  assert(snapshot >= log.base().index && snapshot <= log.last().index);
  LogIndex index = snapshot;
  std::size_t bytes = 0;
  while (index > log.base().index &&
         snapshot - index < settings_.trailing_entries) {
    bytes += log.At(index).payload.size();
    if (bytes > settings_.trailing_bytes) break;
    --index;
  }
  return index;
}

}  // namespace sapphirebank
