#include <fmt/format.h>

#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/consensus/log_entry.h"

// The validation that a leading ControlHost applies to a command before it
// proposes it. It must not affect how a committed command is applied, because
// the limits may differ between hosts.
namespace sapphirebank {

Result<ControlCommand> ControlHost::Check(ControlCommand command) const {
  if (auto* change = std::get_if<ApplyChange>(&command)) {
    return CheckChange(std::move(*change));
  }
  if (auto* restore = std::get_if<RestoreDeclarations>(&command)) {
    return CheckRestore(std::move(*restore));
  }
  if (auto* claim = std::get_if<Claim>(&command)) {
    return CheckClaim(std::move(*claim));
  }
  if (auto* complete = std::get_if<CompleteClaim>(&command)) {
    return CheckCompletion(std::move(*complete));
  }
  if (std::holds_alternative<AdvanceClock>(command)) {
    return Fail(ErrorKind::kMalformedRequest,
                "AdvanceClock may be proposed only by the leader itself");
  }
  return command;
}

Result<ControlCommand> ControlHost::CheckChange(ApplyChange change) const {
  const DeclarationStore& declarations = state_.declarations();
  if (change.change_id.empty() ||
      change.change_id.size() > settings_.max_key_bytes) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("change id must have 1 to {} bytes",
                            settings_.max_key_bytes));
  }
  if (EncodeCbor(change.patch).size() > settings_.max_patch_bytes) {
    return Fail(ErrorKind::kBodyTooLarge,
                fmt::format("patch exceeds the limit of {} bytes",
                            settings_.max_patch_bytes));
  }
  // A change with an outdated base revision is decided when it is applied, so
  // that its result is stored for resends.
  const bool is_current = change.base_revision == declarations.revision();
  if (!is_current || declarations.HasResult(change.change_id)) return change;
  auto document = declarations.Preview(change);
  if (!document) return tl::unexpected(document.error());
  if (auto valid = Validate(*document); !valid) {
    return tl::unexpected(valid.error());
  }
  return change;
}

Result<ControlCommand> ControlHost::CheckRestore(
    RestoreDeclarations restore) const {
  if (auto valid = Validate(restore.document); !valid) {
    return tl::unexpected(valid.error());
  }
  return restore;
}

Result<void> ControlHost::Validate(const nlohmann::json& document) const {
  if (!settings_.validate) return {};
  return settings_.validate(document);
}

Result<ControlCommand> ControlHost::CheckClaim(Claim claim) const {
  const std::size_t limit = settings_.max_key_bytes;
  const auto& key = claim.key.idempotency_key;
  if (key.empty() || key.size() > limit || claim.fingerprint.size() > limit) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("idempotency key must have 1 to {0} bytes, its "
                            "fingerprint at most {0}",
                            limit));
  }
  // Pending proposals count as well; otherwise many concurrent claims could
  // exceed the limit.
  const std::size_t held = state_.claims().size() + proposals_.size();
  if (held >= settings_.max_claims && !state_.claims().Contains(claim.key)) {
    return Fail(
        ErrorKind::kIdempotencyUnavailable,
        fmt::format("the limit of idempotency keys is reached: {} are held",
                    state_.claims().size()));
  }
  return claim;
}

Result<ControlCommand> ControlHost::CheckCompletion(
    CompleteClaim complete) const {
  const bool is_too_large =
      complete.answer.size() > settings_.max_answer_bytes ||
      state_.claims().answer_bytes() + complete.answer.size() >
          settings_.max_total_answer_bytes;
  if (complete.outcome == ClaimOutcome::kAnswered && is_too_large) {
    complete.outcome = ClaimOutcome::kAnswerTooLarge;
  }
  if (complete.outcome != ClaimOutcome::kAnswered) complete.answer.clear();
  return complete;
}

}  // namespace sapphirebank
