#pragma once

#include <string>
#include <vector>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/telemetry/totals.h"
#include "sapphirebank/transport/operator_messages.h"

namespace sapphirebank {

// Operations of the control hosts for operators. Each function may fail with
// kOperatorUnknown, and with kNoQuorum when no control host responded.
class OperatorApi {
 public:
  virtual ~OperatorApi() = default;

  // Returns the declarations document in force.
  virtual Result<DocumentAtRevision> Declarations() = 0;

  // Applies a change and returns the resulting revision. The operator is
  // identified by the key, not by `change`. Fails with kRevisionConflict when a
  // revision other than the base is in force, and with kInvalidDeclaration.
  // After kNoQuorum the change may have been applied; call again with the same
  // change id, which applies it at most once.
  virtual Result<ChangeResult> Apply(const ApplyChange& change) = 0;

  virtual Result<FleetStatus> Status() = 0;
  virtual Result<std::vector<BackendStatus>> Backends() = 0;

  // Returns the traffic totals of a day "YYYY-MM-DD".
  virtual Result<DayReport> Totals(const std::string& day) = 0;
};

}  // namespace sapphirebank
