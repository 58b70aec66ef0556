#include "sapphirebank/consensus/log_storage.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "sapphirebank/consensus/record_frame.h"
#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

constexpr std::string_view kIdentityFile = "identity";
constexpr std::string_view kHardStateFile = "hard-state";
constexpr std::string_view kSnapshotFile = "snapshot";

bool ContainsName(const std::vector<std::string>& names,
                  std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

template <typename T>
Result<T> ReadCborFile(FileSystem& files, std::string_view name) {
  auto payload = ReadRecordFile(files, name);
  if (!payload) return tl::unexpected(payload.error());
  try {
    return nlohmann::json::from_cbor(*payload).get<T>();
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kStorageFailed,
                fmt::format("cannot decode file {}: {}", name, e.what()));
  }
}

Result<Snapshot> ReadSnapshot(FileSystem& files,
                              const std::vector<std::string>& names) {
  if (!ContainsName(names, kSnapshotFile)) return Snapshot();
  return ReadRecordFile(files, kSnapshotFile).and_then(DecodeSnapshot);
}

Result<void> Format(FileSystem& files, const HostId& host, const NodeId& node) {
  // The identity is written last: a folder without one counts as unformatted.
  return ReplaceRecordFile(files, kHardStateFile,
                           EncodeCbor(nlohmann::json(HardState())))
      .and_then([&] {
        return ReplaceRecordFile(
            files, kIdentityFile,
            EncodeCbor({{"host", host.value()}, {"node", node.value()}}));
      });
}

}  // namespace

Result<LogStorage> LogStorage::Open(FileSystem& files, const HostId& host,
                                    const NodeId& new_node,
                                    const SegmentLogSettings& settings) {
  auto node = OpenIdentity(files, host, new_node);
  if (!node) return tl::unexpected(node.error());
  auto names = files.List();
  if (!names) return tl::unexpected(names.error());
  auto hard_state = ReadCborFile<HardState>(files, kHardStateFile);
  if (!hard_state) return tl::unexpected(hard_state.error());
  // The rename that made this the hard state may not be on the disk.
  auto written = ReplaceRecordFile(files, kHardStateFile,
                                   EncodeCbor(nlohmann::json(*hard_state)));
  if (!written) return tl::unexpected(written.error());
  auto snapshot = ReadSnapshot(files, *names);
  if (!snapshot) return tl::unexpected(snapshot.error());
  auto log = SegmentLog::Open(files, StableHash(node->value()), snapshot->last,
                              settings);
  if (!log) return tl::unexpected(log.error());

  RaftState recovered{*hard_state, *snapshot, log->TakeEntries()};
  const auto entry_at_snapshot =
      std::find_if(recovered.entries.begin(), recovered.entries.end(),
                   [&](const LogEntry& entry) {
                     return entry.position.index == snapshot->last.index;
                   });
  const bool conflicts_with_snapshot =
      entry_at_snapshot != recovered.entries.end() &&
      entry_at_snapshot->position != snapshot->last;
  const bool ends_before_snapshot =
      !recovered.entries.empty() &&
      recovered.entries.back().position.index < snapshot->last.index;
  if (conflicts_with_snapshot || ends_before_snapshot) {
    // The process ended after the snapshot was stored and before the log was
    // discarded.
    recovered.entries.clear();
    if (auto reset = log->Reset(snapshot->last); !reset) {
      return tl::unexpected(reset.error());
    }
  }
  return LogStorage(files, *node, std::move(recovered), std::move(*log));
}

LogStorage::LogStorage(FileSystem& files, NodeId node, RaftState recovered,
                       SegmentLog log)
    : files_(&files),
      node_(std::move(node)),
      recovered_(std::move(recovered)),
      log_(std::move(log)) {}

Result<NodeId> LogStorage::OpenIdentity(FileSystem& files, const HostId& host,
                                        const NodeId& new_node) {
  auto names = files.List();
  if (!names) return tl::unexpected(names.error());
  if (!ContainsName(*names, kIdentityFile)) {
    const bool has_data =
        ContainsName(*names, kSnapshotFile) ||
        std::any_of(names->begin(), names->end(), SegmentLog::IsSegmentName);
    if (has_data) {
      return Fail(
          ErrorKind::kStorageFailed,
          fmt::format(
              "file {} is missing although the folder holds a log or snapshot",
              kIdentityFile));
    }
    auto formatted = Format(files, host, new_node);
    if (!formatted) return tl::unexpected(formatted.error());
    return new_node;
  }
  auto identity = ReadCborFile<nlohmann::json>(files, kIdentityFile);
  if (!identity) return tl::unexpected(identity.error());
  const std::string owner = identity->value("host", "");
  if (owner != host.value()) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("the data folder belongs to control host \"{}\", "
                            "not to \"{}\"",
                            owner, host.value()));
  }
  return NodeId(identity->value("node", ""));
}

RaftState LogStorage::TakeRecovered() { return std::move(recovered_); }

Result<void> LogStorage::SaveHardState(const HardState& state) {
  if (!failure_) return failure_;
  return RecordFailure(ReplaceRecordFile(*files_, kHardStateFile,
                                         EncodeCbor(nlohmann::json(state))));
}

Result<void> LogStorage::Append(std::span<const LogEntry> entries) {
  if (!failure_) return failure_;
  return RecordFailure(log_.Append(entries));
}

Result<void> LogStorage::SaveSnapshot(const Snapshot& snapshot, bool drop_log) {
  if (!failure_) return failure_;
  auto saved =
      ReplaceRecordFile(*files_, kSnapshotFile, EncodeSnapshot(snapshot));
  if (saved && drop_log) saved = log_.Reset(snapshot.last);
  return RecordFailure(std::move(saved));
}

Result<void> LogStorage::DropThrough(LogIndex index) {
  if (!failure_) return failure_;
  return RecordFailure(log_.DropThrough(index));
}

Result<void> LogStorage::RecordFailure(Result<void> result) {
  if (!result) failure_ = result;
  return result;
}

}  // namespace sapphirebank
