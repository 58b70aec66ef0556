#pragma once

#include <string>
#include <string_view>

#include "sapphirebank/consensus/claim_table.h"
#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/consensus/declaration_store.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// The replicated state machine of the control hosts: the declarations, the
// idempotency claims, and the FleetRecord for fleets that learn everything from
// the control hosts. The same commands in the same order give the same state
// and the same results on every host.
class ControlState {
 public:
  // Applies one committed command and returns its result.
  Result<CommandResult> Apply(const ControlCommand& command);

  const DeclarationStore& declarations() const { return declarations_; }
  const ClaimTable& claims() const { return claims_; }
  const FleetRecord& fleet() const { return fleet_; }

  // Encodes the whole state as CBOR. Equal states give equal bytes.
  std::string Snapshot() const;

  // Reads what Snapshot wrote. Fails with kStorageFailed.
  static Result<ControlState> Restore(std::string_view bytes);

 private:
  DeclarationStore declarations_;
  ClaimTable claims_;
  FleetRecord fleet_;
};

}  // namespace sapphirebank
