#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// State of a snapshot that is being sent to one follower.
struct SnapshotTransfer {
  LogPosition last;
  std::shared_ptr<const std::string> bytes;
  std::uint64_t next_offset = 0;
  Instant sent_at;
};

// Replication state that a leader tracks for one other member.
struct RaftProgress {
  // The member is known to hold the leader's log up to here.
  LogIndex match_index = 0;
  // The first entry to send.
  LogIndex next_index = 1;
  std::uint64_t acknowledged_round = 0;
  // When the last message of this term arrived.
  Instant last_contact;
  std::optional<SnapshotTransfer> snapshot_transfer;
};

}  // namespace sapphirebank
