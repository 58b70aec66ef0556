#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/consensus/membership.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// The state after the entry at `last`. It replaces the log up to there.
struct Snapshot {
  LogPosition last;
  GroupMembership membership;
  // The encoded state machine; null only in the initial empty snapshot.
  std::shared_ptr<const std::string> data;
};

// Encodes `snapshot` as it is stored and sent.
std::string EncodeSnapshot(const Snapshot& snapshot);

// Reads what EncodeSnapshot wrote. Fails with kStorageFailed.
Result<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace sapphirebank
