#include "sapphirebank/consensus/cbor_sequence.h"

#include <istream>

namespace sapphirebank {
namespace {

// Argument of from_cbor: further bytes may follow the item.
constexpr bool kRequireEndOfInput = false;

}  // namespace

void AppendCbor(std::string& out, const nlohmann::json& json) {
  nlohmann::json::to_cbor(json, out);
}

CborReader::CborReader(std::string_view bytes) {
  // std::streambuf takes mutable pointers, but reading never writes through
  // them.
  char* const begin = const_cast<char*>(bytes.data());
  setg(begin, begin, begin + bytes.size());
}

nlohmann::json CborReader::Next() {
  std::istream stream(this);
  return nlohmann::json::from_cbor(stream, kRequireEndOfInput);
}

std::string_view CborReader::Rest() const {
  return {gptr(), static_cast<std::size_t>(egptr() - gptr())};
}

}  // namespace sapphirebank
