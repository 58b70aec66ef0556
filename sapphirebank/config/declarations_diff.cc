#include "sapphirebank/config/declarations_diff.h"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "sapphirebank/config/declarations_document.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;
using Kind = DeclarationChange::Kind;
using Fields = std::map<std::string, std::string>;

std::string TextOf(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Adds the members of `value`, and those of its member objects, to `fields`.
void Flatten(const Json& value, const std::string& prefix, Fields& fields) {
  for (const auto& [name, member] : value.items()) {
    if (member.is_object()) {
      Flatten(member, prefix + name + ".", fields);
    } else {
      fields[prefix + name] = TextOf(member);
    }
  }
}

Fields FieldsOf(const Json& section, const std::string& id) {
  Fields fields;
  const auto found = section.find(id);
  if (found != section.end()) Flatten(*found, "", fields);
  return fields;
}

std::vector<FieldChange> DiffFields(const Fields& before, const Fields& after) {
  std::map<std::string, FieldChange> changes;
  for (const auto& [name, text] : before) {
    changes[name] = FieldChange{name, text, ""};
  }
  for (const auto& [name, text] : after) {
    changes[name].field = name;
    changes[name].after = text;
  }
  std::vector<FieldChange> differing;
  for (auto& [name, change] : changes) {
    if (change.before != change.after) differing.push_back(std::move(change));
  }
  return differing;
}

void DiffSection(const std::string& section, const Json& before,
                 const Json& after, std::vector<DeclarationChange>& changes) {
  std::map<std::string, Kind> ids;
  for (const auto& [id, value] : before.items()) ids[id] = Kind::kRemoved;
  for (const auto& [id, value] : after.items()) {
    const bool both = ids.contains(id);
    ids[id] = both ? Kind::kChanged : Kind::kAdded;
  }
  for (const auto& [id, kind] : ids) {
    auto fields = DiffFields(FieldsOf(before, id), FieldsOf(after, id));
    if (kind == Kind::kChanged && fields.empty()) continue;
    changes.push_back({kind, section, id, std::move(fields)});
  }
}

std::string FormatField(Kind kind, const FieldChange& field) {
  if (kind == Kind::kAdded) {
    return fmt::format("    {}: {}\n", field.field, field.after);
  }
  const auto shown = [](const std::string& text) {
    return text.empty() ? std::string("(none)") : text;
  };
  return fmt::format("    {}: {} -> {}\n", field.field, shown(field.before),
                     shown(field.after));
}

char SignOf(Kind kind) {
  if (kind == Kind::kAdded) return '+';
  return kind == Kind::kRemoved ? '-' : '~';
}

}  // namespace

std::vector<DeclarationChange> DiffDeclarations(const Declarations& before,
                                                const Declarations& after) {
  const Json old_document = DocumentFromDeclarations(before);
  const Json new_document = DocumentFromDeclarations(after);
  std::vector<DeclarationChange> changes;
  for (const auto& [section, value] : old_document.items()) {
    DiffSection(section, value, new_document.at(section), changes);
  }
  return changes;
}

std::string FormatChanges(std::span<const DeclarationChange> changes) {
  std::string text;
  for (const DeclarationChange& change : changes) {
    text += fmt::format("{} {}/{}\n", SignOf(change.kind), change.section,
                        change.id);
    if (change.kind == Kind::kRemoved) continue;
    for (const FieldChange& field : change.fields) {
      text += FormatField(change.kind, field);
    }
  }
  return text;
}

}  // namespace sapphirebank
