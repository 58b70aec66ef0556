#include "sapphirebank/config/configuration_follower.h"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "sapphirebank/config/declarations_document.h"

namespace sapphirebank {

using nlohmann::json;

json ConfigurationFollower::Subscribe() const {
  return {{"t", "subscribe"}, {"revision", revision_}};
}

json ConfigurationFollower::Snapshot() const {
  return {{"t", "snapshot"}, {"revision", revision_}, {"document", document_}};
}

Result<std::optional<Configuration>> ConfigurationFollower::Receive(
    const json& message) {
  try {
    if (message.at("t") == "patches") {
      return ApplyPatches(message.at("patches"));
    }
    const auto revision = message.at("revision").get<Revision>();
    if (revision <= revision_) return std::optional<Configuration>();
    return Adopt(revision, message.at("document"));
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                std::string("configuration message: ") + e.what());
  }
}

Result<std::optional<Configuration>> ConfigurationFollower::Adopt(
    Revision revision, json document) {
  auto declarations = DeclarationsFromDocument(document);
  if (!declarations) return tl::unexpected(declarations.error());
  revision_ = revision;
  document_ = std::move(document);
  return std::optional<Configuration>(
      Configuration{revision, std::move(*declarations)});
}

Result<std::optional<Configuration>> ConfigurationFollower::ApplyPatches(
    const json& patches) {
  json document = document_;
  Revision revision = revision_;
  for (const json& item : patches) {
    const auto next = item.at("revision").get<Revision>();
    if (next <= revision) continue;
    if (next != revision + 1) {
      return Fail(ErrorKind::kRevisionConflict,
                  fmt::format("a patch leads to revision {}, in force is {}",
                              next, revision));
    }
    document.patch_inplace(json::from_cbor(item.at("patch").get_binary()));
    revision = next;
  }
  if (revision == revision_) return std::optional<Configuration>();
  return Adopt(revision, std::move(document));
}

}  // namespace sapphirebank
