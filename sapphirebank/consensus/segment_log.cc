#include "sapphirebank/consensus/segment_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "sapphirebank/consensus/record_frame.h"

namespace sapphirebank {
namespace {

constexpr std::string_view kPrefix = "log-";
constexpr std::string_view kEntriesField = "entries";
constexpr std::string_view kResetField = "reset";
// Payload of the entries of one record, unless a single one is larger.
constexpr std::size_t kMaxRecordPayload = std::size_t{1} << 20U;
constexpr std::uint64_t kSeedFactor = 0x9e3779b97f4a7c15ULL;  // 2^64 / phi

std::string SegmentName(std::uint64_t number) {
  return fmt::format("{}{:012}", kPrefix, number);
}

std::optional<std::uint64_t> SegmentNumber(std::string_view name) {
  if (!name.starts_with(kPrefix)) return std::nullopt;
  const std::string_view digits = name.substr(kPrefix.size());
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  const bool is_number =
      error == std::errc() && end == digits.data() + digits.size();
  return is_number ? std::optional(number) : std::nullopt;
}

std::uint64_t SegmentSeed(std::uint64_t salt, std::uint64_t number) {
  return salt ^ (number * kSeedFactor);
}

tl::unexpected<Error> DamageAt(std::uint64_t number, std::size_t offset,
                               std::string_view cause) {
  return Fail(ErrorKind::kStorageFailed,
              fmt::format("file {} at offset {}: {}", SegmentName(number),
                          offset, cause));
}

}  // namespace

bool SegmentLog::IsSegmentName(const std::string& name) {
  return SegmentNumber(name).has_value();
}

Result<SegmentLog> SegmentLog::Open(FileSystem& files, std::uint64_t salt,
                                    LogPosition snapshot,
                                    const SegmentLogSettings& settings) {
  auto names = files.List();
  if (!names) return tl::unexpected(names.error());
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : *names) {
    if (const auto number = SegmentNumber(name)) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  SegmentLog log(files, salt, settings);
  for (const std::uint64_t number : numbers) {
    auto loaded = log.LoadSegment(number, snapshot, number == numbers.back());
    if (!loaded) return tl::unexpected(loaded.error());
  }
  // Makes durable any creation or removal that the previous process did not
  // sync.
  if (auto synced = files.SyncFolder(); !synced) {
    return tl::unexpected(synced.error());
  }
  if (!log.entries_.empty()) {
    auto dropped = log.DropThrough(log.entries_.front().position.index - 1);
    if (!dropped) return tl::unexpected(dropped.error());
  }
  return log;
}

std::vector<LogEntry> SegmentLog::TakeEntries() {
  std::vector<LogEntry> entries(std::make_move_iterator(entries_.begin()),
                                std::make_move_iterator(entries_.end()));
  ClearEntries();
  return entries;
}

void SegmentLog::ClearEntries() {
  entries_.clear();
  entry_bytes_ = 0;
}

// Keeps the memory of a start within bounds while a long log is read. The entry
// at the snapshot stays, as its term is compared with the snapshot's.
void SegmentLog::DropOldEntries(LogPosition snapshot) {
  while (entry_bytes_ > settings_.trailing_bytes &&
         entries_.front().position.index < snapshot.index) {
    entry_bytes_ -= entries_.front().payload.size();
    entries_.pop_front();
  }
}

Result<void> SegmentLog::LoadSegment(std::uint64_t number, LogPosition snapshot,
                                     bool is_last) {
  const std::string name = SegmentName(number);
  auto content = files_->Read(name);
  if (!content) return tl::unexpected(content.error());
  const std::uint64_t seed = SegmentSeed(salt_, number);
  Segment segment{number, 0, 0};
  while (true) {
    const FrameView view = ReadFrame(*content, seed, segment.size);
    if (view.state == FrameState::kEnd) break;
    if (view.state == FrameState::kCorrupt) {
      if (!is_last || HasValidFrameAfter(*content, seed, segment.size)) {
        return DamageAt(number, segment.size, "the record is corrupt");
      }
      break;
    }
    auto replayed = ReplayRecord(view.payload, snapshot, segment);
    if (!replayed)
      return DamageAt(number, segment.size, replayed.error().detail);
    segment.size = view.next_offset;
  }
  segments_.push_back(segment);
  if (!is_last) return {};
  // The last records may be in the page cache only: the process may have ended
  // before their sync, or the sync failed. A sync of the same file may then
  // succeed without writing them (Rebello et al., "Can Applications Recover
  // from fsync Failures?", USENIX ATC 2020).
  content->resize(segment.size);
  return ReplaceFile(*files_, name, *content);
}

Result<void> SegmentLog::ReplayRecord(std::string_view payload,
                                      LogPosition snapshot, Segment& segment) {
  try {
    const auto json = nlohmann::json::from_cbor(payload);
    if (json.contains(kResetField)) {
      ClearEntries();
      segment.last_index =
          json.at(std::string(kResetField)).get<LogPosition>().index;
      return {};
    }
    for (const auto& item : json.at(std::string(kEntriesField))) {
      auto entry = item.get<LogEntry>();
      const LogIndex index = entry.position.index;
      if (auto replayed = ReplayEntry(std::move(entry), snapshot); !replayed)
        return replayed;
      segment.last_index = index;
    }
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kStorageFailed, e.what());
  }
  return {};
}

Result<void> SegmentLog::ReplayEntry(LogEntry entry, LogPosition snapshot) {
  const LogIndex index = entry.position.index;
  while (!entries_.empty() && entries_.back().position.index >= index) {
    entry_bytes_ -= entries_.back().payload.size();
    entries_.pop_back();
  }
  const bool follows =
      !entries_.empty() && entries_.back().position.index + 1 == index;
  if (!follows) {
    if (index > snapshot.index + 1) {
      return Fail(
          ErrorKind::kStorageFailed,
          fmt::format("the entries before index {} are missing", index));
    }
    ClearEntries();
  }
  entry_bytes_ += entry.payload.size();
  entries_.push_back(std::move(entry));
  DropOldEntries(snapshot);
  return {};
}

// Writes several records where the entries are large, since encoding a record
// takes a few times its size in memory.
Result<void> SegmentLog::Append(std::span<const LogEntry> entries) {
  while (!entries.empty()) {
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < entries.size()) {
      bytes += entries[count].payload.size();
      if (count > 0 && bytes > kMaxRecordPayload) break;
      ++count;
    }
    if (auto stored = AppendEntries(entries.first(count)); !stored) {
      return stored;
    }
    entries = entries.subspan(count);
  }
  return {};
}

Result<void> SegmentLog::AppendEntries(std::span<const LogEntry> entries) {
  auto items = nlohmann::json::array();
  for (const LogEntry& entry : entries) items.push_back(entry);
  nlohmann::json record;
  record[std::string(kEntriesField)] = std::move(items);
  return AppendRecord(EncodeCbor(record), entries.back().position.index);
}

Result<void> SegmentLog::Reset(LogPosition base) {
  const std::uint64_t number =
      segments_.empty() ? 1 : segments_.back().number + 1;
  segments_.push_back({number, 0, 0});
  nlohmann::json record;
  record[std::string(kResetField)] = base;
  auto stored = AppendRecord(EncodeCbor(record), base.index);
  if (!stored) return stored;
  while (segments_.size() > 1) {
    if (auto removed = RemoveFirstSegment(); !removed) return removed;
  }
  return {};
}

Result<void> SegmentLog::DropThrough(LogIndex index) {
  // A later file may supersede entries of an earlier one, so files are removed
  // in order.
  while (segments_.size() > 1 && segments_.front().last_index <= index) {
    if (auto removed = RemoveFirstSegment(); !removed) return removed;
  }
  return {};
}

Result<void> SegmentLog::AppendRecord(const std::string& payload,
                                      LogIndex last_index) {
  const bool is_full =
      !segments_.empty() && segments_.back().size >= settings_.segment_bytes;
  if (segments_.empty() || is_full) {
    const std::uint64_t number = is_full ? segments_.back().number + 1 : 1;
    segments_.push_back({number, 0, 0});
  }
  Segment& segment = segments_.back();
  const std::string name = SegmentName(segment.number);
  const std::string frame =
      FrameRecord(payload, SegmentSeed(salt_, segment.number), segment.size);
  const bool is_new = segment.size == 0;
  auto stored = files_->Append(name, frame).and_then([&] {
    return files_->SyncFile(name);
  });
  if (!stored) return stored;
  if (is_new) {
    if (auto synced = files_->SyncFolder(); !synced) return synced;
  }
  segment.size += frame.size();
  segment.last_index = std::max(segment.last_index, last_index);
  return {};
}

Result<void> SegmentLog::RemoveFirstSegment() {
  // Removed and synced one at a time, so that a crash leaves no gap between the
  // remaining files.
  return files_->Remove(SegmentName(segments_.front().number))
      .and_then([&] { return files_->SyncFolder(); })
      .map([&] { segments_.erase(segments_.begin()); });
}

}  // namespace sapphirebank
