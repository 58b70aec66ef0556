#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/consensus/raft_node.h"
#include "sapphirebank/consensus/segment_log.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

struct LogStorageSettings {
  std::size_t segment_bytes = 4UL << 20;
};

// What one control host keeps on its disk: its identity, the hard state, the
// snapshot and the log. Whatever a function stores is durable when it returns.
//
// After a failed write or sync nobody knows what is on the disk, so every
// later call fails as well, until the folder is opened anew.
class LogStorage {
 public:
  // Opens the folder of `host`, or formats it as the new node `new_node`
  // when it is empty. Fails with kStorageFailed when a file is damaged or
  // missing, and with kInvalidSettings when the folder is another host's.
  static Result<LogStorage> Open(FileSystem& files, const HostId& host,
                                 const NodeId& new_node,
                                 const LogStorageSettings& settings);

  // Returns the identity of the folder.
  const NodeId& node() const { return node_; }

  // Returns what was stored before. To be called once.
  RaftState TakeRecovered();

  Result<void> SaveHardState(const HardState& state);

  // Stores `entries` in place of any with the same or a later index.
  Result<void> Append(std::span<const LogEntry> entries);

  // Stores `snapshot` in place of the last one. With `drop_log` the log is
  // dropped and the next entry follows the snapshot.
  Result<void> SaveSnapshot(const Snapshot& snapshot, bool drop_log);

  // Frees the space of entries up to `index`, as far as files allow.
  Result<void> DropThrough(LogIndex index);

 private:
  LogStorage(FileSystem& files, NodeId node, RaftState recovered,
             SegmentLog log);

  static Result<NodeId> OpenIdentity(FileSystem& files, const HostId& host,
                                     const NodeId& new_node);
  Result<void> RecordFailure(Result<void> result);

  FileSystem* files_;
  NodeId node_;
  RaftState recovered_;
  SegmentLog log_;
  Result<void> failure_;
};

}  // namespace sapphirebank
