#pragma once

#include <cstdint>
#include <vector>

#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// A coordinator's measure against one backend server.
enum class VerdictKind {
  kEject,  // No new requests.
  kLimit,  // At most `slot_limit` concurrent requests.
};

// The evidence on which a verdict is based.
enum class VerdictCause {
  kFailures,   // More failures than the server's peers.
  kSlow,       // Slower answers than the server's peers.
  kStuck,      // Requests that do not finish, also on new connections.
  kInherited,  // An ejection decided by an earlier coordinator.
};

// Returns the cause's name in logs.
const char* VerdictCauseName(VerdictCause cause);

struct Verdict {
  BackendId backend;
  VerdictKind kind = VerdictKind::kEject;
  VerdictCause cause = VerdictCause::kFailures;
  std::uint32_t slot_limit = 0;
  // Remaining time of the ejection.
  Duration left = Duration::zero();
  // Number of consecutive ejections, starting at 1.
  std::uint32_t level = 0;

  friend bool operator==(const Verdict&, const Verdict&) = default;
};

// All verdicts of a service's coordinator on the backend servers of one key. A
// newer set replaces the former one: servers that it does not name are no
// longer restricted.
struct VerdictSet {
  HostId coordinator;
  Term term = 0;  // Term of the coordinator's lease.
  BackendKey key;
  // The owner's report that this set answers. `ttl` counts from the time of
  // that report, so that a delayed set cannot stay in force for longer than the
  // coordinator assumes.
  Term owner_term = 0;
  std::uint64_t in_reply_to = 0;
  Duration ttl = Duration::zero();
  std::vector<Verdict> verdicts;
  // Requests that were running on one server when it crashed.
  std::vector<Fingerprint> suspects;
  std::vector<Quarantine> quarantined;
  // Whether the owner itself is the likely cause of its servers' failures, so
  // that another host should own the key.
  bool owner_suspected = false;

  friend bool operator==(const VerdictSet&, const VerdictSet&) = default;
};

}  // namespace sapphirebank
