#include "sapphirebank/consensus/snapshot.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "sapphirebank/consensus/cbor_sequence.h"

namespace sapphirebank {

std::string EncodeSnapshot(const Snapshot& snapshot) {
  std::string bytes = EncodeCbor(
      {{"last", snapshot.last}, {"membership", snapshot.membership}});
  if (snapshot.data) bytes += *snapshot.data;
  return bytes;
}

Result<Snapshot> DecodeSnapshot(std::string_view bytes) {
  try {
    CborReader reader(bytes);
    const auto json = reader.Next();
    Snapshot snapshot;
    json.at("last").get_to(snapshot.last);
    json.at("membership").get_to(snapshot.membership);
    snapshot.data = std::make_shared<const std::string>(reader.Rest());
    return snapshot;
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kStorageFailed,
                fmt::format("cannot decode a snapshot: {}", e.what()));
  }
}

}  // namespace sapphirebank
