#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Counts an owner's accounts of all hosts and workspaces under one lease.
using AccountNumber = std::uint64_t;

// What a host asks for one workspace. The counts run from the opening of the
// account, so that a message which is lost, doubled or late does no harm.
struct WorkspaceTokenRequest {
  WorkspaceId workspace;
  // The account that the counts belong to; 0 and 0 when there is none yet.
  Term term = 0;
  AccountNumber account = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  // Requests that wait for a token now.
  std::uint32_t needed = 0;
  // Tokens to hold ready besides.
  std::uint32_t prefetch = 0;

  friend bool operator==(const WorkspaceTokenRequest&,
                         const WorkspaceTokenRequest&) = default;
};

// From a host that spends to an owner, for several workspaces.
struct TokenRequest {
  // The life of the asking process; sequences grow within it.
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<WorkspaceTokenRequest> requests;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

// What an owner says about one workspace.
enum class GrantStatus {
  kGranted,
  kExhausted,         // Fewer tokens were left than were needed.
  kRecalling,         // The same, and tokens held elsewhere are called back.
  kNotOwner,          // The bucket's lease is not held here.
  kUnknownWorkspace,  // No accepted configuration declares it.
};

// An owner's answer for one workspace.
struct WorkspaceTokenGrant {
  WorkspaceId workspace;
  GrantStatus status = GrantStatus::kGranted;
  Term term = 0;
  AccountNumber account = 0;
  // Tokens granted since the account was opened.
  std::uint64_t granted = 0;
  // With kExhausted and kRecalling: when another ask makes sense.
  Duration retry_after = Duration::zero();
  // Few tokens are left: hosts should hold none ready.
  bool scarce = false;

  friend bool operator==(const WorkspaceTokenGrant&,
                         const WorkspaceTokenGrant&) = default;
};

// From an owner to a host that asked.
struct TokenResponse {
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<WorkspaceTokenGrant> grants;

  friend bool operator==(const TokenResponse&, const TokenResponse&) = default;
};

// From an owner to a host: report what was spent of these workspaces and return
// what is not needed now.
struct TokenRecall {
  std::vector<WorkspaceId> workspaces;

  friend bool operator==(const TokenRecall&, const TokenRecall&) = default;
};

using RateMessage = std::variant<TokenRequest, TokenResponse, TokenRecall>;

// A message to send.
struct RateEffect {
  HostId to;
  RateMessage message;
};

}  // namespace sapphirebank
