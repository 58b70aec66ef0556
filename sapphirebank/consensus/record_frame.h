#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Record format on disk: 4 bytes payload length, 4 bytes checksum of the
// length, 8 bytes checksum of the payload, then the payload, all little endian.
// The checksums are xxHash, seeded with a value specific to the file plus the
// offset of the record, so that a record found at another place than the one it
// was written to does not validate.

// Encodes a record with `payload` to be written at `offset`.
std::string FrameRecord(std::string_view payload, std::uint64_t file_seed,
                        std::uint64_t offset);

enum class FrameState { kValid, kEnd, kCorrupt };

// The result of reading one record of a file.
struct FrameView {
  FrameState state = FrameState::kCorrupt;
  std::string_view payload;
  std::size_t next_offset = 0;
};

// Reads the record at `offset`. kEnd means that the file ends exactly there.
FrameView ReadFrame(std::string_view file, std::uint64_t file_seed,
                    std::size_t offset);

// Returns whether any valid record starts after `offset`. Each record is
// written and synced on its own, so a crash can corrupt only the last record of
// a file. A valid record after a corrupt one means that synced data has
// changed.
bool HasValidFrameAfter(std::string_view file, std::uint64_t file_seed,
                        std::size_t offset);

// Atomically replaces the file `name` with one that has `content`: after a
// crash it has either the old content or the new one.
Result<void> ReplaceFile(FileSystem& files, std::string_view name,
                         std::string_view content);

// Atomically replaces the file `name` with a single record of `payload`.
Result<void> ReplaceRecordFile(FileSystem& files, std::string_view name,
                               std::string_view payload);

// Returns the payload that ReplaceRecordFile stored. Fails with kStorageFailed,
// naming the file, when a checksum does not match.
Result<std::string> ReadRecordFile(FileSystem& files, std::string_view name);

}  // namespace sapphirebank
