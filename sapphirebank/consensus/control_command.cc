#include "sapphirebank/consensus/control_command.h"

#include <fmt/format.h>

#include <array>
#include <cstddef>

#include "sapphirebank/consensus/log_entry.h"

namespace sapphirebank {

using nlohmann::json;

std::int64_t ToUnixMicroseconds(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime FromUnixMicroseconds(std::int64_t microseconds) {
  return WallTime(Duration(microseconds));
}

void to_json(json& out, const ClaimKey& key) {
  out = json::array({key.workspace.value(), key.idempotency_key});
}

void from_json(const json& in, ClaimKey& key) {
  key.workspace = WorkspaceId(in.at(0).get<std::string>());
  in.at(1).get_to(key.idempotency_key);
}

void to_json(json& out, const ClaimHolder& holder) {
  out = json::array(
      {holder.request.value(), holder.host.value(), holder.incarnation});
}

void from_json(const json& in, ClaimHolder& holder) {
  holder.request = RequestId(in.at(0).get<std::string>());
  holder.host = HostId(in.at(1).get<std::string>());
  in.at(2).get_to(holder.incarnation);
}

static void to_json(json& out, const ApplyChange& change) {
  out = {{"base", change.base_revision},
         {"id", change.change_id},
         {"operator", change.operator_id},
         {"patch", change.patch}};
}

static void from_json(const json& in, ApplyChange& change) {
  in.at("base").get_to(change.base_revision);
  in.at("id").get_to(change.change_id);
  in.at("operator").get_to(change.operator_id);
  change.patch = in.at("patch");
}

static void to_json(json& out, const RestoreDeclarations& restore) {
  out = {{"revision", restore.revision}, {"document", restore.document}};
}

static void from_json(const json& in, RestoreDeclarations& restore) {
  in.at("revision").get_to(restore.revision);
  restore.document = in.at("document");
}

static void to_json(json& out, const Claim& claim) {
  out = {{"key", claim.key},
         {"fingerprint", claim.fingerprint},
         {"holder", claim.holder}};
}

static void from_json(const json& in, Claim& claim) {
  in.at("key").get_to(claim.key);
  in.at("fingerprint").get_to(claim.fingerprint);
  in.at("holder").get_to(claim.holder);
}

static void to_json(json& out, const CompleteClaim& claim) {
  out = {{"key", claim.key},
         {"holder", claim.holder},
         {"end", static_cast<unsigned>(claim.outcome)},
         {"answer", BytesToJson(claim.answer)}};
}

static void from_json(const json& in, CompleteClaim& claim) {
  in.at("key").get_to(claim.key);
  in.at("holder").get_to(claim.holder);
  const auto outcome = in.at("end").get<unsigned>();
  if (outcome > static_cast<unsigned>(ClaimOutcome::kUnknown)) {
    throw json::out_of_range::create(401, "unknown outcome of a claim", &in);
  }
  claim.outcome = static_cast<ClaimOutcome>(outcome);
  claim.answer = BytesFromJson(in.at("answer"));
}

static void to_json(json& out, const ExpireIncarnations& expire) {
  out = {{"host", expire.host.value()}, {"through", expire.through}};
}

static void from_json(const json& in, ExpireIncarnations& expire) {
  expire.host = HostId(in.at("host").get<std::string>());
  in.at("through").get_to(expire.through);
}

static void to_json(json& out, const AdvanceClock& clock) {
  out = {{"now", ToUnixMicroseconds(clock.now)},
         {"keep", clock.claim_retention.count()},
         {"run", clock.claim_run_timeout.count()}};
}

static void from_json(const json& in, AdvanceClock& clock) {
  clock.now = FromUnixMicroseconds(in.at("now").get<std::int64_t>());
  clock.claim_retention = Duration(in.at("keep").get<std::int64_t>());
  clock.claim_run_timeout = Duration(in.at("run").get<std::int64_t>());
}

namespace {

// Encoded names of the alternatives of ControlCommand, in the same order.
constexpr auto kCommandNames = std::to_array<std::string_view>(
    {"change", "restore", "claim", "complete", "end_host", "clock", "plan",
     "zone", "retire", "rollout", "rollout_phase"});
static_assert(kCommandNames.size() == std::variant_size_v<ControlCommand>);

template <std::size_t kIndex = 0>
ControlCommand CommandFromJson(std::string_view name, const json& in) {
  if constexpr (kIndex == kCommandNames.size()) {
    throw json::out_of_range::create(403, "unknown command", &in);
  } else {
    if (name != kCommandNames[kIndex]) {
      return CommandFromJson<kIndex + 1>(name, in);
    }
    return in.get<std::variant_alternative_t<kIndex, ControlCommand>>();
  }
}

}  // namespace

std::string EncodeCommand(const ControlCommand& command) {
  json out = json::array({kCommandNames[command.index()], nullptr});
  std::visit([&](const auto& typed) { out[1] = typed; }, command);
  return EncodeCbor(out);
}

Result<ControlCommand> DecodeCommand(std::string_view bytes) {
  try {
    const json in = json::from_cbor(bytes);
    return CommandFromJson(in.at(0).get<std::string>(), in.at(1));
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("malformed control command: {}", e.what()));
  }
}

}  // namespace sapphirebank
