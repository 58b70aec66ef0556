#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// The state of a member as seen by one host. The order is that of the state
// chart `member`.
enum class MemberState { kAlive, kSuspect, kFailed, kLeft };

// Returns the name of `state`, as written to logs.
std::string_view MemberStateName(MemberState state);

// Maximum lengths of the strings that a member announces, in bytes.
inline constexpr std::size_t kMaxMemberTextBytes = 64;
inline constexpr std::size_t kMaxMetadataBytes = 192;

// The properties that a host announces about itself.
struct MemberDetails {
  // Random identifier of the process. It distinguishes two processes that use
  // the same host id.
  std::uint32_t process = 0;
  ZoneId zone;
  // Address on which the host receives membership messages, as "address:port".
  std::string address;
  // Opaque to membership, at most kMaxMetadataBytes.
  std::string metadata;

  friend bool operator==(const MemberDetails&, const MemberDetails&) = default;
};

// One host of the fleet as this host sees it.
struct Member {
  HostId id;
  MemberState state = MemberState::kAlive;
  Incarnation incarnation = 0;
  MemberDetails details;

  friend bool operator==(const Member&, const Member&) = default;
};

// The kinds of changes of the view.
enum class MemberEventKind {
  kJoined,      // Live for the first time, or again after it failed or left.
  kRestarted,   // A new process uses the host id.
  kChanged,     // The details changed.
  kSuspected,   // Still live, but a probe failed.
  kRefuted,     // The member refuted a suspicion.
  kFailed,      // No longer live.
  kLeft,        // Shut down gracefully.
  kIdConflict,  // Another live process uses and keeps this host's id.
  kIsolated,    // This host receives nothing from other hosts.
  kReconnected  // This host receives messages again.
};

// Returns the name of `kind`, as written to logs.
std::string_view MemberEventName(MemberEventKind kind);

// A change of the view. For kIsolated and kReconnected, `member` is this host;
// for kIdConflict, it has this host's id and the details of the other process.
struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kJoined;
  Member member;
};

}  // namespace sapphirebank
