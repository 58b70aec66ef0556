#include "sapphirebank/consensus/control_state.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "sapphirebank/consensus/cbor_sequence.h"

namespace sapphirebank {
namespace {

// Calls the part of the state that a command is for.
struct Applier {
  DeclarationStore& declarations;
  ClaimTable& claims;
  FleetRecord& fleet;

  Result<ControlAnswer> operator()(const ApplyChange& change) const {
    return declarations.Apply(change).map(
        [](ChangeAnswer answer) { return ControlAnswer(answer); });
  }

  Result<ControlAnswer> operator()(const RestoreDeclarations& restore) const {
    return declarations.Apply(restore).map(
        [](ChangeAnswer answer) { return ControlAnswer(answer); });
  }

  Result<ControlAnswer> operator()(const Claim& claim) const {
    return claims.Apply(claim).map(
        [](ClaimAnswer answer) { return ControlAnswer(std::move(answer)); });
  }

  Result<ControlAnswer> operator()(const CompleteClaim& complete) const {
    return claims.Apply(complete).map([] { return ControlAnswer(Done()); });
  }

  Result<ControlAnswer> operator()(const ExpireIncarnations& end) const {
    claims.Apply(end);
    return Done();
  }

  Result<ControlAnswer> operator()(const AdvanceClock& clock) const {
    claims.Apply(clock);
    return Done();
  }

  template <typename FleetCommand>
  Result<ControlAnswer> operator()(const FleetCommand& command) const {
    fleet.Apply(command);
    return Done();
  }
};

}  // namespace

Result<ControlAnswer> ControlState::Apply(const ControlCommand& command) {
  return std::visit(Applier{declarations_, claims_, fleet_}, command);
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
    return Fail(
        ErrorKind::kStorageFailed,
        fmt::format("the control state cannot be decoded: {}", e.what()));
  }
}

}  // namespace sapphirebank
