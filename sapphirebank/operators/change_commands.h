#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/operators/command_output.h"
#include "sapphirebank/transport/operator_api.h"

namespace sapphirebank {

// The declarations in force on the control hosts, as the stored document and
// in parsed form.
struct DeclarationsInForce {
  Revision revision = 0;
  nlohmann::json document;
  Declarations declarations;
};

// Reads the declarations in force. Fails with kInternal if this program does
// not accept them.
Result<DeclarationsInForce> ReadDeclarations(OperatorApi& api);

// Returns the change from the declarations in force to `wanted`, or nothing if
// they are equal. Prints the difference on the progress stream. Fails with
// kRevisionConflict if `base` is given and is not the revision in force.
Result<std::optional<ApplyChange>> PrepareChange(OperatorApi& api,
                                                 const Declarations& wanted,
                                                 std::optional<Revision> base,
                                                 const std::string& change_id,
                                                 const CommandOutput& output);

// Sends a change and prints the revision that it created. When no control host
// answered, explains on the progress stream that the change may be in force and
// can safely be sent again.
Result<ExitCode> SendChange(OperatorApi& api, const ApplyChange& change,
                            const CommandOutput& output);

// Modifies declarations in place. Fails if the edit does not apply to them, for
// example with kNotFound.
using Edit = std::function<Result<void>(Declarations& declarations)>;

// Reads the declarations in force, edits them and applies the difference. When
// a concurrent change was applied first, retries a few times with a new change
// id. That is safe because an edit addresses what it changes by id, so it
// remains valid on top of other changes.
Result<ExitCode> ApplyEdit(OperatorApi& api, const Edit& edit,
                           const std::string& change_id,
                           const CommandOutput& output);

// `zone out` and `zone in`: sets whether a zone is in service. Fails with
// kNotFound if there is no such zone.
Result<ExitCode> ChangeZoneState(OperatorApi& api, const ZoneId& zone,
                                 bool in_service, WallTime now,
                                 const std::string& change_id,
                                 const CommandOutput& output);

// `key grant`: declares a key. Fails with kInvalidDeclaration if its id is used
// by a different key.
Result<ExitCode> GrantKey(OperatorApi& api, const KeyDeclaration& key,
                          const std::string& change_id,
                          const CommandOutput& output);

// `key withdraw`: removes a key. Fails with kNotFound if there is no such key.
Result<ExitCode> WithdrawKey(OperatorApi& api, const std::string& key_id,
                             const std::string& change_id,
                             const CommandOutput& output);

// `check`: validates a file of declarations and prints the number of entries in
// each section.
Result<ExitCode> CheckFile(std::string_view text, std::string_view file_name,
                           const CommandOutput& output);

// `diff`: prints the changes that applying `wanted` would make.
Result<ExitCode> DiffWithFleet(OperatorApi& api, const Declarations& wanted,
                               const CommandOutput& output);

// Prints the difference between two sets of declarations. Returns false if
// there is none.
bool PrintDifference(const Declarations& before, const Declarations& after,
                     const CommandOutput& output);

}  // namespace sapphirebank
