#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/consensus/snapshot.h"

namespace sapphirebank {

// The part of the replicated log that a node holds in memory: the entries that
// compaction has not discarded.
class RaftLog {
 public:
  // `base` is the position directly before the first of `entries`.
  RaftLog(LogPosition base, std::vector<LogEntry> entries);

  // Returns the position before the first entry held.
  LogPosition base() const { return base_; }

  // Returns the position of the last entry, or base() when none is held.
  LogPosition last() const;

  // Returns the term of the entry at `index`, if it is held or is the base.
  std::optional<Term> TermAt(LogIndex index) const;

  // Returns the entry at `index`, which must be held.
  const LogEntry& At(LogIndex index) const;

  // Returns the entries from `from` on, stopping before the total payload would
  // exceed `max_bytes`, but at least one entry if there is one.
  std::vector<LogEntry> Slice(LogIndex from, std::size_t max_bytes) const;

  // Appends `entry`, whose index must be one above the last.
  void Append(LogEntry entry);

  // Removes the entries from `from` on.
  void TruncateFrom(LogIndex from);

  // Discards the entries up to and including `index`, which must be held.
  void DropThrough(LogIndex index);

  // Discards all entries; the next one appended must follow `base`.
  void Reset(LogPosition base);

  // Returns the first held index whose term is that of the entry at `index`.
  LogIndex FirstIndexOfTermAt(LogIndex index) const;

  // Returns the last index that is at most `limit` and whose term is at most
  // `term`.
  LogIndex LastIndexWithTermAtMost(Term term, LogIndex limit) const;

  // Returns the payload in bytes of the entries after `from` up to `through`.
  // Both must be held or the base.
  std::size_t BytesBetween(LogIndex from, LogIndex through) const;

  // Returns the number of held entries.
  std::size_t size() const { return entries_.size(); }

  // Returns the total payload of the held entries in bytes.
  std::size_t bytes() const { return BytesBetween(base_.index, last().index); }

 private:
  // Returns the payload of all entries up to `index` since the last Reset().
  std::uint64_t BytesThrough(LogIndex index) const;

  LogPosition base_;
  std::deque<LogEntry> entries_;
  std::uint64_t base_bytes_ = 0;
  // The payload of all entries up to each of `entries_`.
  std::deque<std::uint64_t> bytes_through_;
};

}  // namespace sapphirebank
