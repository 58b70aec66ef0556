#include "sapphirebank/operators/change_commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <utility>

#include "sapphirebank/config/declarations_diff.h"
#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/config/zone_plans.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

constexpr int kMaxEditAttempts = 4;

Json ChangeToJson(const DeclarationChange& change) {
  static const std::vector<std::string> kind_names = {"added", "removed",
                                                      "changed"};
  Json fields = Json::array();
  for (const FieldChange& field : change.fields) {
    fields.push_back({{"field", field.field},
                      {"before", field.before},
                      {"after", field.after}});
  }
  return {{"change", kind_names[static_cast<std::size_t>(change.kind)]},
          {"section", change.section},
          {"id", change.id},
          {"fields", std::move(fields)}};
}

// Returns the change from the declarations in force to `wanted`, or nothing if
// they are equal.
std::optional<ApplyChange> BuildChange(const DeclarationsInForce& current,
                                       const Declarations& wanted,
                                       const std::string& change_id) {
  const Json document = DocumentFromDeclarations(wanted);
  // Compares canonical documents: the stored one may omit defaults, so that a
  // patch to equal declarations would not be empty but only spell out defaults.
  if (document == DocumentFromDeclarations(current.declarations)) {
    return std::nullopt;
  }
  return ApplyChange{current.revision, change_id, "",
                     Json::diff(current.document, document)};
}

Result<ExitCode> PrintUnchanged(Revision revision,
                                const CommandOutput& output) {
  if (output.json) {
    PrintJson(output, {{"revision", revision}, {"changed", false}});
  } else {
    fmt::print(output.out, "nothing to change, revision {} is in force\n",
               revision);
  }
  return ExitCode::kDone;
}

auto FindKey(Declarations& declarations, const std::string& id) {
  return std::find_if(declarations.keys.begin(), declarations.keys.end(),
                      [&](const KeyDeclaration& key) { return key.id == id; });
}

// Validates declarations that a command has edited.
Result<void> Validate(const Declarations& declarations) {
  const auto checked =
      DeclarationsFromDocument(DocumentFromDeclarations(declarations));
  if (!checked) return tl::unexpected(checked.error());
  return {};
}

}  // namespace

Result<DeclarationsInForce> ReadDeclarations(OperatorApi& api) {
  auto read = api.Declarations();
  if (!read) return tl::unexpected(read.error());
  auto declarations = DeclarationsFromDocument(read->document);
  if (!declarations) {
    return Fail(ErrorKind::kInternal,
                fmt::format("this program cannot read revision {}: {}",
                            read->revision, declarations.error().detail));
  }
  return DeclarationsInForce{read->revision, std::move(read->document),
                             std::move(*declarations)};
}

bool PrintDifference(const Declarations& before, const Declarations& after,
                     const CommandOutput& output) {
  const auto changes = DiffDeclarations(before, after);
  if (output.json) {
    Json list = Json::array();
    for (const DeclarationChange& change : changes) {
      list.push_back(ChangeToJson(change));
    }
    PrintJson(output, list);
  } else {
    output.out << FormatChanges(changes);
  }
  return !changes.empty();
}

Result<std::optional<ApplyChange>> PrepareChange(OperatorApi& api,
                                                 const Declarations& wanted,
                                                 std::optional<Revision> base,
                                                 const std::string& change_id,
                                                 const CommandOutput& output) {
  const auto current = ReadDeclarations(api);
  if (!current) return tl::unexpected(current.error());
  const auto changes = DiffDeclarations(current->declarations, wanted);
  if (base && *base != current->revision) {
    return Fail(ErrorKind::kRevisionConflict,
                fmt::format("revision {} is in force, not {}; the file would "
                            "make these changes to it:\n{}",
                            current->revision, *base, FormatChanges(changes)));
  }
  output.progress << FormatChanges(changes);
  auto change = BuildChange(*current, wanted, change_id);
  if (!change) {
    if (auto printed = PrintUnchanged(current->revision, output); !printed) {
      return tl::unexpected(printed.error());
    }
  }
  return change;
}

Result<ExitCode> SendChange(OperatorApi& api, const ApplyChange& change,
                            const CommandOutput& output) {
  const auto result = api.Apply(change);
  if (!result) {
    if (result.error().kind == ErrorKind::kNoQuorum) {
      fmt::print(
          output.progress,
          "no answer from the control hosts: change {} may or may not be "
          "in force; sending the same change again is safe\n",
          change.change_id);
    }
    return tl::unexpected(result.error());
  }
  if (output.json) {
    PrintJson(output, {{"revision", result->revision},
                       {"change_id", change.change_id},
                       {"changed", true}});
  } else {
    fmt::print(output.out, "revision {} is accepted (change {})\n",
               result->revision, change.change_id);
  }
  return ExitCode::kDone;
}

Result<ExitCode> ApplyEdit(OperatorApi& api, const Edit& edit,
                           const std::string& change_id,
                           const CommandOutput& output) {
  std::string id = change_id;
  for (int attempt = 1;; ++attempt) {
    const auto current = ReadDeclarations(api);
    if (!current) return tl::unexpected(current.error());
    Declarations wanted = current->declarations;
    if (auto edited = edit(wanted); !edited) {
      return tl::unexpected(edited.error());
    }
    if (auto checked = Validate(wanted); !checked) {
      return tl::unexpected(checked.error());
    }
    const auto change = BuildChange(*current, wanted, id);
    if (!change) return PrintUnchanged(current->revision, output);
    output.progress << FormatChanges(
        DiffDeclarations(current->declarations, wanted));
    auto sent = SendChange(api, *change, output);
    if (sent || sent.error().kind != ErrorKind::kRevisionConflict ||
        attempt == kMaxEditAttempts) {
      return sent;
    }
    output.progress << "another change was applied first, retrying\n";
    id = fmt::format("{}.{}", change_id, attempt + 1);
  }
}

Result<ExitCode> ChangeZoneState(OperatorApi& api, const ZoneId& zone,
                                 bool in_service, WallTime now,
                                 const std::string& change_id,
                                 const CommandOutput& output) {
  const Edit edit = [&](Declarations& declarations) -> Result<void> {
    if (SetZoneInService(declarations, zone, in_service, now)) return {};
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("there is no availability zone \"{}\"", zone.value()));
  };
  return ApplyEdit(api, edit, change_id, output);
}

Result<ExitCode> GrantKey(OperatorApi& api, const KeyDeclaration& key,
                          const std::string& change_id,
                          const CommandOutput& output) {
  const Edit edit = [&](Declarations& declarations) -> Result<void> {
    const auto found = FindKey(declarations, key.id);
    if (found == declarations.keys.end()) {
      declarations.keys.push_back(key);
      return {};
    }
    if (*found == key) return {};
    return Fail(
        ErrorKind::kInvalidDeclaration,
        fmt::format("the key id \"{}\" is already in use by another key",
                    key.id));
  };
  return ApplyEdit(api, edit, change_id, output);
}

Result<ExitCode> WithdrawKey(OperatorApi& api, const std::string& key_id,
                             const std::string& change_id,
                             const CommandOutput& output) {
  const Edit edit = [&](Declarations& declarations) -> Result<void> {
    const auto found = FindKey(declarations, key_id);
    if (found == declarations.keys.end()) {
      return Fail(ErrorKind::kNotFound,
                  fmt::format("there is no key \"{}\"", key_id));
    }
    declarations.keys.erase(found);
    return {};
  };
  return ApplyEdit(api, edit, change_id, output);
}

Result<ExitCode> CheckFile(std::string_view text, std::string_view file_name,
                           const CommandOutput& output) {
  const auto declarations = ParseDeclarations(text, file_name);
  if (!declarations) return tl::unexpected(declarations.error());
  const Json counts = {{"zones", declarations->zones.size()},
                       {"services", declarations->services.size()},
                       {"routes", declarations->routes.size()},
                       {"workspaces", declarations->workspaces.size()},
                       {"keys", declarations->keys.size()},
                       {"operators", declarations->operators.size()}};
  if (output.json) {
    PrintJson(output, counts);
    return ExitCode::kDone;
  }
  fmt::print(output.out, "{}: valid\n", file_name);
  for (const auto& [section, count] : counts.items()) {
    fmt::print(output.out, "  {:<11}{:>7}\n", section,
               count.get<std::size_t>());
  }
  return ExitCode::kDone;
}

Result<ExitCode> DiffWithFleet(OperatorApi& api, const Declarations& wanted,
                               const CommandOutput& output) {
  const auto current = ReadDeclarations(api);
  if (!current) return tl::unexpected(current.error());
  fmt::print(output.progress, "revision {} is in force\n", current->revision);
  const bool different = PrintDifference(current->declarations, wanted, output);
  return different ? ExitCode::kDifferent : ExitCode::kDone;
}

}  // namespace sapphirebank
