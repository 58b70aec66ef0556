#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// One accepted configuration.
struct Configuration {
  Revision revision = 0;
  Declarations declarations;
};

// Follows the accepted configurations from snapshots and patches, whoever
// sends them and in whatever order, and never goes back.
class ConfigurationFollower {
 public:
  // Returns the message that asks a control host, or another entry host, for
  // what is newer than the configuration in force here.
  nlohmann::json Subscribe() const;

  // Returns the message that brings a subscriber up to date in one step.
  nlohmann::json Snapshot() const;

  // Takes a "snapshot" or "patches" message. Returns the new configuration, or
  // nothing when the message brings nothing new. Fails with kMalformedRequest
  // or kInvalidDeclaration, and then nothing changed; with kRevisionConflict
  // when patches do not join on: subscribe again.
  Result<std::optional<Configuration>> Receive(const nlohmann::json& message);

  // Returns the revision in force; 0 when there is none.
  Revision revision() const { return revision_; }

 private:
  Result<std::optional<Configuration>> Adopt(Revision revision,
                                             nlohmann::json document);
  Result<std::optional<Configuration>> ApplyPatches(
      const nlohmann::json& patches);

  Revision revision_ = 0;
  nlohmann::json document_ = nlohmann::json::object();
};

}  // namespace sapphirebank
