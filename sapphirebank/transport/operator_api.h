#pragma once

#include <string>
#include <vector>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/telemetry/totals.h"
#include "sapphirebank/transport/operator_messages.h"

namespace sapphirebank {

// What operators ask of the control hosts. Each function may fail with
// kOperatorUnknown, and with kNoQuorum when no control host gave an answer.
class OperatorApi {
 public:
  virtual ~OperatorApi() = default;

  // Returns the declarations document in force.
  virtual Result<DocumentAtRevision> Declarations() = 0;

  // Applies a change and returns the revision that it made. The operator is
  // known from the key, not from `change`. Fails with kRevisionConflict when
  // another revision than the base is in force, and with kInvalidDeclaration.
  // After kNoQuorum the change may have been applied: apply the same one again.
  virtual Result<ChangeResult> Apply(const ApplyChange& change) = 0;

  virtual Result<FleetStatus> Status() = 0;
  virtual Result<std::vector<BackendStatus>> Backends() = 0;

  // Returns the totals of a day "YYYY-MM-DD".
  virtual Result<DayReport> Totals(const std::string& day) = 0;
};

}  // namespace sapphirebank
