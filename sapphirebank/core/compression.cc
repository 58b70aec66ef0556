#include "sapphirebank/core/compression.h"

#include <fmt/format.h>
#include <zlib.h>

#include <algorithm>
#include <array>
#include <new>

namespace sapphirebank {
namespace {

// Small hosts compress while requests wait, and the faster levels shorten
// documents with recurring keys nearly as much.
constexpr int kLevel = Z_BEST_SPEED;

constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string Compress(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(compressed.data()),
                               &size, BytesOf(text), text.size(), kLevel);
  // The buffer suffices for any text, so only memory can be short.
  if (status != Z_OK) throw std::bad_alloc();
  compressed.resize(size);
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_bytes) {
  z_stream stream{};
  // zlib does not write to the input.
  stream.next_in = const_cast<Bytef*>(BytesOf(compressed));
  stream.avail_in = static_cast<uInt>(compressed.size());
  if (inflateInit(&stream) != Z_OK) throw std::bad_alloc();
  std::string text;
  std::array<char, kChunkBytes> chunk{};
  int status = Z_OK;
  while (status == Z_OK && text.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (text.size() > max_bytes) {
    return Fail(
        ErrorKind::kMalformedRequest,
        fmt::format("compressed text is longer than {} bytes", max_bytes));
  }
  if (status != Z_STREAM_END) {
    return Fail(
        ErrorKind::kMalformedRequest,
        fmt::format("compressed text is damaged: zlib returns {}", status));
  }
  return text;
}

}  // namespace sapphirebank
