#include "sapphirebank/consensus/record_frame.h"

#include <fmt/format.h>

#include <array>
#include <limits>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kLengthChecksumBytes = 4;
constexpr std::size_t kPayloadChecksumBytes = 8;
constexpr std::size_t kHeaderBytes =
    kLengthBytes + kLengthChecksumBytes + kPayloadChecksumBytes;
constexpr unsigned kBitsPerByte = 8;
constexpr std::string_view kTemporarySuffix = ".tmp";

void AppendLittleEndian(std::string& out, std::uint64_t value,
                        std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(value & 0xffU));
    value >>= kBitsPerByte;
  }
}

std::uint64_t ReadLittleEndian(std::string_view in, std::size_t offset,
                               std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes; i > 0; --i) {
    value <<= kBitsPerByte;
    value |= static_cast<unsigned char>(in[offset + i - 1]);
  }
  return value;
}

std::uint64_t LengthChecksum(std::string_view length_bytes,
                             std::uint64_t seed) {
  return StableHash(length_bytes, seed) &
         std::numeric_limits<std::uint32_t>::max();
}

}  // namespace

std::string FrameRecord(std::string_view payload, std::uint64_t file_seed,
                        std::uint64_t offset) {
  const std::uint64_t seed = file_seed + offset;
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  AppendLittleEndian(frame, payload.size(), kLengthBytes);
  AppendLittleEndian(frame, LengthChecksum(frame, seed), kLengthChecksumBytes);
  AppendLittleEndian(frame, StableHash(payload, seed), kPayloadChecksumBytes);
  frame += payload;
  return frame;
}

FrameView ReadFrame(std::string_view file, std::uint64_t file_seed,
                    std::size_t offset) {
  FrameView view;
  if (offset == file.size()) {
    view.state = FrameState::kEnd;
    view.next_offset = offset;
    return view;
  }
  if (file.size() - offset < kHeaderBytes) return view;
  const std::uint64_t seed = file_seed + offset;
  const std::uint64_t length = ReadLittleEndian(file, offset, kLengthBytes);
  const std::uint64_t length_checksum =
      ReadLittleEndian(file, offset + kLengthBytes, kLengthChecksumBytes);
  if (LengthChecksum(file.substr(offset, kLengthBytes), seed) !=
      length_checksum) {
    return view;
  }
  const std::size_t start = offset + kHeaderBytes;
  if (file.size() - start < length) return view;
  const std::string_view payload = file.substr(start, length);
  const std::uint64_t checksum =
      ReadLittleEndian(file, offset + kLengthBytes + kLengthChecksumBytes,
                       kPayloadChecksumBytes);
  if (StableHash(payload, seed) != checksum) return view;
  view.state = FrameState::kValid;
  view.payload = payload;
  view.next_offset = start + length;
  return view;
}

bool HasValidFrameAfter(std::string_view file, std::uint64_t file_seed,
                        std::size_t offset) {
  for (std::size_t i = offset + 1; i + kHeaderBytes <= file.size(); ++i) {
    if (ReadFrame(file, file_seed, i).state == FrameState::kValid) return true;
  }
  return false;
}

Result<void> ReplaceFile(FileSystem& files, std::string_view name,
                         std::string_view content) {
  const std::string temporary =
      std::string(name) + std::string(kTemporarySuffix);
  auto names = files.List();
  if (!names) return tl::unexpected(names.error());
  for (const std::string& existing : *names) {
    if (existing != temporary) continue;
    if (auto done = files.Remove(temporary); !done) return done;
  }
  return files.Append(temporary, content)
      .and_then([&] { return files.SyncFile(temporary); })
      .and_then([&] { return files.Rename(temporary, name); })
      .and_then([&] { return files.SyncFolder(); });
}

Result<void> ReplaceRecordFile(FileSystem& files, std::string_view name,
                               std::string_view payload) {
  return ReplaceFile(files, name, FrameRecord(payload, StableHash(name), 0));
}

Result<std::string> ReadRecordFile(FileSystem& files, std::string_view name) {
  auto content = files.Read(name);
  if (!content) return content;
  const FrameView view = ReadFrame(*content, StableHash(name), 0);
  if (view.state != FrameState::kValid || view.next_offset != content->size()) {
    return Fail(ErrorKind::kStorageFailed,
                fmt::format("file {} at offset 0: the record does not match "
                            "its checksum",
                            name));
  }
  return std::string(view.payload);
}

}  // namespace sapphirebank
