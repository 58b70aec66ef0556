#include "sapphirebank/fleet/server_proofs.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {

void ServerProofs::Assigned(Instant now, const BackendId& server) {
  Proof& proof = proofs_[server];
  proof.assigned_at = now;
  if (proof.settling && now - *proof.settling >= settings_.settle) {
    proof.proven_at = std::exchange(proof.settling, std::nullopt);
  }
  if (!proof.settling) proof.settling = now;
}

void ServerProofs::Served(Instant assigned_at, const BackendId& server) {
  const auto found = proofs_.find(server);
  if (found == proofs_.end()) return;
  Proof& proof = found->second;
  proof.successes_missing = std::max(proof.successes_missing - 1, 0);
  if (!proof.proven_at || *proof.proven_at < assigned_at) {
    proof.proven_at = assigned_at;
  }
}

void ServerProofs::Failed(const BackendId& server) {
  Proof& proof = proofs_[server];
  proof.proven_at.reset();
  proof.settling.reset();
  proof.successes_missing = settings_.successes_after_failure;
}

Duration ServerProofs::AgeOf(Instant now, const BackendId& server) const {
  const auto found = proofs_.find(server);
  if (found == proofs_.end()) return settings_.life;
  const Proof& proof = found->second;
  if (proof.successes_missing > 0) return settings_.life;
  const bool is_settled =
      proof.settling && now - *proof.settling >= settings_.settle;
  const auto& proven_at = is_settled ? proof.settling : proof.proven_at;
  if (!proven_at) return settings_.life;
  return std::min(now - *proven_at, settings_.life);
}

Duration ServerProofs::IdleTime(Instant now, const BackendId& server) const {
  const auto found = proofs_.find(server);
  if (found == proofs_.end()) return settings_.life;
  return std::min(now - found->second.assigned_at, settings_.life);
}

void ServerProofs::Tick(Instant now) {
  std::erase_if(proofs_, [&](const auto& item) {
    const Proof& proof = item.second;
    return proof.successes_missing == 0 &&
           now - proof.assigned_at > settings_.life;
  });
}

}  // namespace sapphirebank
