#include "sapphirebank/consensus/log_entry.h"

#include <nlohmann/json.hpp>

namespace sapphirebank {
namespace {

constexpr auto kLastEntryKind = EntryKind::kMembership;

}  // namespace

void to_json(nlohmann::json& json, const LogPosition& position) {
  json = nlohmann::json::array({position.index, position.term});
}

void from_json(const nlohmann::json& json, LogPosition& position) {
  json.at(0).get_to(position.index);
  json.at(1).get_to(position.term);
}

void to_json(nlohmann::json& json, const LogEntry& entry) {
  json = nlohmann::json::array({entry.position.index, entry.position.term,
                                static_cast<unsigned>(entry.kind),
                                BytesToJson(entry.payload)});
}

void from_json(const nlohmann::json& json, LogEntry& entry) {
  json.at(0).get_to(entry.position.index);
  json.at(1).get_to(entry.position.term);
  const auto kind = json.at(2).get<unsigned>();
  if (kind > static_cast<unsigned>(kLastEntryKind)) {
    throw nlohmann::json::out_of_range::create(
        401, "unknown kind of a log entry", &json);
  }
  entry.kind = static_cast<EntryKind>(kind);
  entry.payload = BytesFromJson(json.at(3));
}

void to_json(nlohmann::json& json, const HardState& state) {
  json = {{"term", state.term}, {"vote", state.vote.value()}};
}

void from_json(const nlohmann::json& json, HardState& state) {
  json.at("term").get_to(state.term);
  state.vote = NodeId(json.at("vote").get<std::string>());
}

nlohmann::json BytesToJson(const std::string& bytes) {
  return nlohmann::json::binary(
      std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string BytesFromJson(const nlohmann::json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::string EncodeCbor(const nlohmann::json& json) {
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace sapphirebank
