#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Records on disk: 4 bytes length, 4 bytes checksum of the length, 8 bytes
// checksum of the payload, then the payload; little endian. The checksums are
// xxHash, seeded with a number of the file and the record's offset, so that a
// record in another place than where it was written does not pass.

// Returns the framed record of `payload` for `offset`.
std::string FrameRecord(std::string_view payload, std::uint64_t file_seed,
                        std::uint64_t offset);

enum class FrameState { kValid, kEnd, kCorrupt };

// One step of reading a file of records.
struct FrameView {
  FrameState state = FrameState::kCorrupt;
  std::string_view payload;
  std::size_t next_offset = 0;
};

// Reads the record at `offset`. kEnd means that the file ends just there.
FrameView ReadFrame(std::string_view file, std::uint64_t file_seed,
                    std::size_t offset);

// Returns whether any whole record starts behind `offset`. One write and one
// sync make one record, so a crash can break only the last of a file: a whole
// one behind a broken one means that synced data has changed.
bool HasValidFrameAfter(std::string_view file, std::uint64_t file_seed,
                        std::size_t offset);

// Puts one record with `payload` in place of the file `name`: after a crash
// there is either the old content or the new one.
Result<void> ReplaceRecordFile(FileSystem& files, std::string_view name,
                               std::string_view payload);

// Returns the payload that ReplaceRecordFile stored. Fails with
// kStorageFailed, naming the file, when it does not pass the checksum.
Result<std::string> ReadRecordFile(FileSystem& files, std::string_view name);

}  // namespace sapphirebank
