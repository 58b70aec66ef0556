#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Log entries in numbered files that only grow. Each record holds the entries
// of one Append and replaces everything from its first index on, so that
// nothing is ever overwritten. Old files are removed after compaction.
class SegmentLog {
 public:
  // Reads the files whose names start with "log-". `salt` makes the checksums
  // of this folder unlike those of others. Entries up to `snapshot` may be
  // missing; later ones may not. A record at the very end that was not wholly
  // written is cut off; any other damage fails with kStorageFailed and names
  // file and offset.
  static Result<SegmentLog> Open(FileSystem& files, std::uint64_t salt,
                                 LogPosition snapshot,
                                 std::size_t segment_bytes);

  // Returns whether `name` is a file of a SegmentLog.
  static bool IsSegmentName(const std::string& name);

  // Returns what Open read.
  std::vector<LogEntry> AppendFromLeader() { return std::move(entries_); }

  // Stores `entries` in place of any with the same or a later index. They are
  // durable when the function returns.
  Result<void> Append(std::span<const LogEntry> entries);

  // Drops every entry; the next one follows `base`.
  Result<void> Reset(LogPosition base);

  // Removes the files that hold nothing behind `index`.
  Result<void> DropThrough(LogIndex index);

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::size_t size = 0;
    LogIndex last_index = 0;
  };

  SegmentLog(FileSystem& files, std::uint64_t salt, std::size_t segment_bytes)
      : files_(&files), salt_(salt), segment_bytes_(segment_bytes) {}

  Result<void> LoadSegment(std::uint64_t number, LogPosition snapshot,
                           bool is_last);
  Result<void> ReplayRecord(std::string_view payload, LogPosition snapshot,
                            Segment& segment);
  Result<void> ReplayEntry(LogEntry entry, LogPosition snapshot);
  Result<void> AppendRecord(const std::string& payload, LogIndex last_index);
  Result<void> RemoveFirstSegment();

  FileSystem* files_;
  std::uint64_t salt_;
  std::size_t segment_bytes_;
  std::vector<Segment> segments_;
  std::vector<LogEntry> entries_;
};

}  // namespace sapphirebank
