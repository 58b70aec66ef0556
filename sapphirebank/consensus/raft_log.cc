#include "sapphirebank/consensus/raft_log.h"

#include <cassert>
#include <utility>

namespace sapphirebank {

RaftLog::RaftLog(LogPosition base, std::vector<LogEntry> entries)
    : base_(base) {
  for (LogEntry& entry : entries) Append(std::move(entry));
}

LogPosition RaftLog::last() const {
  return entries_.empty() ? base_ : entries_.back().position;
}

std::optional<Term> RaftLog::TermAt(LogIndex index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > last().index) return std::nullopt;
  return At(index).position.term;
}

const LogEntry& RaftLog::At(LogIndex index) const {
  assert(index > base_.index && index <= last().index);
  return entries_[index - base_.index - 1];
}

std::vector<LogEntry> RaftLog::Slice(LogIndex from,
                                     std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= last().index; ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.payload.size();
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(entry);
  }
  return slice;
}

void RaftLog::Append(LogEntry entry) {
  assert(entry.position.index == last().index + 1);
  assert(entry.position.term >= last().term);
  bytes_through_.push_back(BytesThrough(last().index) + entry.payload.size());
  entries_.push_back(std::move(entry));
}

std::uint64_t RaftLog::BytesThrough(LogIndex index) const {
  assert(index >= base_.index && index <= last().index);
  if (index == base_.index) return base_bytes_;
  return bytes_through_[index - base_.index - 1];
}

std::size_t RaftLog::BytesBetween(LogIndex from, LogIndex through) const {
  return BytesThrough(through) - BytesThrough(from);
}

void RaftLog::TruncateFrom(LogIndex from) {
  assert(from > base_.index);
  while (last().index >= from) {
    bytes_through_.pop_back();
    entries_.pop_back();
  }
}

void RaftLog::DropThrough(LogIndex index) {
  while (base_.index < index) {
    assert(!entries_.empty());
    base_bytes_ = bytes_through_.front();
    bytes_through_.pop_front();
    base_ = entries_.front().position;
    entries_.pop_front();
  }
}

void RaftLog::Reset(LogPosition base) {
  base_ = base;
  entries_.clear();
  bytes_through_.clear();
  base_bytes_ = 0;
}

LogIndex RaftLog::FirstIndexOfTermAt(LogIndex index) const {
  const Term term = *TermAt(index);
  while (index > base_.index + 1 && TermAt(index - 1) == term) --index;
  return index;
}

LogIndex RaftLog::LastIndexWithTermAtMost(Term term, LogIndex limit) const {
  LogIndex index = std::min(limit, last().index);
  while (index > base_.index && *TermAt(index) > term) --index;
  return index;
}

}  // namespace sapphirebank
