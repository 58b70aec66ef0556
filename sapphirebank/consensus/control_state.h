#pragma once

#include <string>
#include <string_view>

#include "sapphirebank/consensus/claim_table.h"
#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/consensus/declaration_store.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// What the control hosts agree on: the declarations, the idempotency claims
// and the record of a fleet that learns everything from them. The same commands
// in the same order give the same state and the same answers on every host.
class ControlState {
 public:
  // Applies one agreed command and returns its answer.
  Result<CommandResult> Apply(const ControlCommand& command);

  const DeclarationStore& declarations() const { return declarations_; }
  const ClaimTable& claims() const { return claims_; }
  const FleetRecord& fleet() const { return fleet_; }

  // Returns the whole state as CBOR; equal states give equal bytes.
  std::string Snapshot() const;

  // Reads what Snapshot wrote. Fails with kStorageFailed.
  static Result<ControlState> Restore(std::string_view bytes);

 private:
  DeclarationStore declarations_;
  ClaimTable claims_;
  FleetRecord fleet_;
};

}  // namespace sapphirebank
