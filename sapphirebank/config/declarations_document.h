#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// The document of declarations is a JSON object with the members "zones",
// "services", "routes", "workspaces", "keys" and "operators", each an object
// keyed by id. The schema is described in docs/interfaces/declarations.md.

// Checks `document` and returns what it declares, each list in order of id.
// Fails with kInvalidDeclaration; the detail has a line for each fault: its
// JSON pointer (RFC 6901), the cause and what was expected.
Result<Declarations> DeclarationsFromDocument(const nlohmann::json& document);

// Returns the one document for `declarations`, whatever the order of their
// lists, with defaults written out, so that JSON patches (RFC 6902) between
// two of them are small. Reading it back gives the same declarations in order
// of id.
nlohmann::json DocumentFromDeclarations(const Declarations& declarations);

// Reads a file of declarations as people write it: JSON with comments.
Result<Declarations> ParseDeclarations(std::string_view text,
                                       std::string_view file_name);

}  // namespace sapphirebank
