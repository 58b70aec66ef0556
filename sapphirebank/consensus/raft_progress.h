#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// A snapshot that is being sent to one follower.
struct SnapshotTransfer {
  LogPosition last;
  std::shared_ptr<const std::string> bytes;
  std::uint64_t next_offset = 0;
  Instant sent_at;
};

// Replication state that a leader tracks for one other member.
struct RaftProgress {
  LogIndex match_index = 0;  // matchIndex of the Raft paper: the member holds
                             // the leader's log up to here.
  LogIndex next_index = 1;   // First entry to send.
  std::uint64_t acknowledged_round = 0;
  Instant last_contact;  // When the last message of this term arrived.
  std::optional<SnapshotTransfer> snapshot_transfer;
};

}  // namespace sapphirebank
