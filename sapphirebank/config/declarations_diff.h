#pragma once

#include <span>
#include <string>
#include <vector>

#include "sapphirebank/config/declarations.h"

namespace sapphirebank {

// One member of a declaration whose value differs. Texts are as in the
// document; a member that is missing on one side has an empty text there.
struct FieldChange {
  std::string field;  // Members of members are joined by '.'.
  std::string before;
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

// What happened to one declaration.
struct DeclarationChange {
  enum class Kind { kAdded, kRemoved, kChanged };

  Kind kind = Kind::kChanged;
  std::string section;  // A member of the document, such as "workspaces".
  std::string id;
  // For an added or removed declaration all of its members, for a changed one
  // those that differ.
  std::vector<FieldChange> fields;

  friend bool operator==(const DeclarationChange&,
                         const DeclarationChange&) = default;
};

// Returns what turns `before` into `after`, in order of section and id. The
// order of their lists does not matter.
std::vector<DeclarationChange> DiffDeclarations(const Declarations& before,
                                                const Declarations& after);

// Returns the changes for a person: a line "+", "-" or "~" with section and id
// for each declaration, and an indented line for each member that changed.
// Empty when nothing changed.
std::string FormatChanges(std::span<const DeclarationChange> changes);

}  // namespace sapphirebank
