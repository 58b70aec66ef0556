#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Numbers the accounts of an owner, across all hosts and workspaces, under one
// lease.
using AccountNumber = std::uint64_t;

// A host's request for tokens of one workspace. The counts are totals since the
// account was opened, so that lost, duplicated or late messages do no harm.
struct WorkspaceTokenRequest {
  WorkspaceId workspace;
  // The account to which the counts belong; 0 and 0 if there is none yet.
  Term term = 0;
  AccountNumber account = 0;
  std::uint64_t spent = 0;
  std::uint64_t returned = 0;
  // Number of requests that are waiting for a token.
  std::uint32_t needed = 0;
  // Number of tokens wanted in advance of further requests.
  std::uint32_t prefetch = 0;

  friend bool operator==(const WorkspaceTokenRequest&,
                         const WorkspaceTokenRequest&) = default;
};

// Message from a host to an owner, for several workspaces.
struct TokenRequest {
  // Incarnation of the requesting process; sequence numbers increase within it.
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<WorkspaceTokenRequest> requests;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

// Status of an owner's response for one workspace.
enum class GrantStatus {
  kGranted,
  kExhausted,  // Fewer tokens were left than needed.
  kRecalling,  // As kExhausted, but other hosts' tokens are being recalled.
  kNotOwner,   // This host does not hold the bucket's lease.
  kUnknownWorkspace,  // Not declared in the accepted configuration.
};

// An owner's response for one workspace.
struct WorkspaceTokenGrant {
  WorkspaceId workspace;
  GrantStatus status = GrantStatus::kGranted;
  Term term = 0;
  AccountNumber account = 0;
  // Total of tokens granted since the account was opened.
  std::uint64_t granted = 0;
  // With kExhausted and kRecalling: time until another request makes sense.
  Duration retry_after = Duration::zero();
  // Few tokens are left, so hosts should not hold tokens in advance.
  bool scarce = false;

  friend bool operator==(const WorkspaceTokenGrant&,
                         const WorkspaceTokenGrant&) = default;
};

// Message from an owner to a host in response to its TokenRequest.
struct TokenResponse {
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<WorkspaceTokenGrant> grants;

  friend bool operator==(const TokenResponse&, const TokenResponse&) = default;
};

// Message from an owner to a host, which then reports the spent tokens of these
// workspaces and returns those that it does not need now.
struct TokenRecall {
  std::vector<WorkspaceId> workspaces;

  friend bool operator==(const TokenRecall&, const TokenRecall&) = default;
};

using RateMessage = std::variant<TokenRequest, TokenResponse, TokenRecall>;

// A message to send to a host.
struct RateEffect {
  HostId to;
  RateMessage message;
};

}  // namespace sapphirebank
