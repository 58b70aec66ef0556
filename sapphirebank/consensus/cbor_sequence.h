#pragma once

#include <nlohmann/json.hpp>
#include <streambuf>
#include <string>
#include <string_view>

namespace sapphirebank {

// Appends `json` to `out` as one CBOR item.
void AppendCbor(std::string& out, const nlohmann::json& json);

// Reads a CBOR sequence (RFC 8742) one item at a time, so that a large state is
// never held in memory as one JSON value.
class CborReader : private std::streambuf {
 public:
  // `bytes` must outlive the reader.
  explicit CborReader(std::string_view bytes);

  // Returns the next item. Throws nlohmann::json::exception when there is no
  // complete one.
  nlohmann::json Next();

  // Returns the bytes after the items read so far.
  std::string_view Rest() const;
};

}  // namespace sapphirebank
