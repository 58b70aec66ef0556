#include "sapphirebank/consensus/control_state.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "sapphirebank/consensus/cbor_sequence.h"

namespace sapphirebank {
namespace {

// Dispatches a command to the component of the state that it changes.
struct CommandVisitor {
  DeclarationStore& declarations;
  ClaimTable& claims;
  FleetRecord& fleet;

  Result<CommandResult> operator()(const ApplyChange& change) const {
    return declarations.Apply(change).map(
        [](ChangeResult result) { return CommandResult(result); });
  }

  Result<CommandResult> operator()(const RestoreDeclarations& restore) const {
    return declarations.Apply(restore).map(
        [](ChangeResult result) { return CommandResult(result); });
  }

  Result<CommandResult> operator()(const Claim& claim) const {
    return claims.Apply(claim).map(
        [](ClaimResult result) { return CommandResult(std::move(result)); });
  }

  Result<CommandResult> operator()(const CompleteClaim& complete) const {
    return claims.Apply(complete).map([] { return CommandResult(Done()); });
  }

  Result<CommandResult> operator()(const ExpireIncarnations& expire) const {
    claims.Apply(expire);
    return Done();
  }

  Result<CommandResult> operator()(const AdvanceClock& clock) const {
    claims.Apply(clock);
    return Done();
  }

  template <typename FleetCommand>
  Result<CommandResult> operator()(const FleetCommand& command) const {
    fleet.Apply(command);
    return Done();
  }
};

}  // namespace

Result<CommandResult> ControlState::Apply(const ControlCommand& command) {
  return std::visit(CommandVisitor{declarations_, claims_, fleet_}, command);
}

std::string ControlState::Snapshot() const {
  std::string bytes;
  declarations_.AppendTo(bytes);
  claims_.AppendTo(bytes);
  AppendCbor(bytes, nlohmann::json(fleet_));
  return bytes;
}

Result<ControlState> ControlState::Restore(std::string_view bytes) {
  try {
    CborReader reader(bytes);
    ControlState state;
    state.declarations_ = DeclarationStore::ReadFrom(reader);
    state.claims_ = ClaimTable::ReadFrom(reader);
    state.fleet_ = reader.Next().get<FleetRecord>();
    return state;
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kStorageFailed,
                fmt::format("cannot decode the control state: {}", e.what()));
  }
}

}  // namespace sapphirebank
