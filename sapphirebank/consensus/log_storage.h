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

// The persistent state of one control host: its identity, the hard state, the
// snapshot and the log. Everything that a function stores is durable when it
// returns.
//
// After a failed write or sync the content of the disk is unknown, so every
// later call fails as well until the folder is opened again.
class LogStorage {
 public:
  // Opens the data folder of `host`; an empty folder is formatted as the new
  // node `new_node`. What is read is durable when the function returns. Fails
  // with kStorageFailed when a file is damaged or missing, and with
  // kInvalidSettings when the folder belongs to another host.
  static Result<LogStorage> Open(FileSystem& files, const HostId& host,
                                 const NodeId& new_node,
                                 const SegmentLogSettings& settings);

  // Returns the node id of the data folder.
  const NodeId& node() const { return node_; }

  // Returns the state that Open read. To be called once.
  RaftState TakeRecovered();

  Result<void> SaveHardState(const HardState& state);

  // Stores `entries` and discards any others with the same or a higher index.
  Result<void> Append(std::span<const LogEntry> entries);

  // Stores `snapshot` in place of the previous one. With `drop_log` the log is
  // discarded and the next entry must follow the snapshot.
  Result<void> SaveSnapshot(const Snapshot& snapshot, bool drop_log);

  // Frees the space of entries up to `index`, as far as the boundaries of
  // segment files permit.
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
