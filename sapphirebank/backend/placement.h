#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirebank/backend/backend_types.h"

namespace sapphirebank {

// Requests a slot of a backend server for one attempt of a request. The entry
// host should have received the whole request, so that a slow caller does not
// occupy a slot.
struct PlaceRequest {
  RequestId request;
  ServiceId service;
  WorkspaceId workspace;
  Fingerprint fingerprint = 0;
  // Servers on which this request was already attempted.
  std::vector<BackendId> excluded;
  // Whether the request may safely run twice, so that it may explore a suspect
  // server.
  bool idempotent = false;
};

// Why a backend server was chosen or not.
enum class PlacementReason {
  kChosen,        // It was chosen.
  kLessFree,      // Another had a larger share of free slots.
  kSuspect,       // Its latest requests failed or are overdue.
  kBusy,          // No slot is free.
  kColdLimit,     // None of the slots opened so far is free.
  kNoConnection,  // Its maximum of connections is reached.
  kExcluded,      // The request was already attempted on it.
  kEjected,
  kZoneOut,
  kDraining,
  kSilent,
};

// Returns the reason's name in logs.
const char* PlacementReasonName(PlacementReason reason);

struct PlacementCandidate {
  BackendId backend;
  PlacementReason reason = PlacementReason::kLessFree;
};

enum class PlacementStatus {
  kPlaced,
  // Servers accept requests, but none has a free slot: the request may wait.
  kAllBusy,
};

struct Placement {
  PlacementStatus status = PlacementStatus::kAllBusy;
  // The members below are set only when `status` is kPlaced, except for the
  // candidates.
  AttemptId attempt = 0;
  BackendId backend;
  BackendAddress address;
  // Idle connections to the server may have been cut silently: open a new one.
  bool needs_fresh_connection = false;
  // The servers that were considered, including the chosen one. For a service
  // with many servers, only a sample is considered.
  std::vector<PlacementCandidate> candidates;
};

}  // namespace sapphirebank
