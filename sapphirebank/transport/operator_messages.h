#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// The declarations document in force and its revision.
struct DocumentAtRevision {
  Revision revision = 0;
  nlohmann::json document = nlohmann::json::object();
};

// State of one host as known to the responding control host.
struct HostStatus {
  HostId host;
  std::string role;  // "entry" or "control".
  ZoneId zone;
  std::string state;      // Of membership: "alive", "suspect", ...
  Revision revision = 0;  // In force on the host, as last reported.

  friend bool operator==(const HostStatus&, const HostStatus&) = default;
};

// One lease as known to the responding control host.
struct LeaseStatus {
  std::string key;
  HostId owner;
  Term term = 0;

  friend bool operator==(const LeaseStatus&, const LeaseStatus&) = default;
};

// State of the fleet as known to one control host.
struct FleetStatus {
  Revision revision = 0;  // In force.
  std::optional<HostId> leader;
  Term term = 0;
  std::vector<HostStatus> hosts;
  std::vector<LeaseStatus> leases;

  friend bool operator==(const FleetStatus&, const FleetStatus&) = default;
};

// State of one backend server as last reported by its owner.
struct BackendStatus {
  BackendId backend;
  ServiceId service;
  ZoneId zone;
  HostId owner;
  std::string state;  // Name of a state of BackendStateMachine.
  std::uint32_t slots = 0;
  std::uint32_t open_slots = 0;  // Usable slots; below `slots` in a cold start.
  std::uint32_t busy = 0;

  friend bool operator==(const BackendStatus&, const BackendStatus&) = default;
};

void to_json(nlohmann::json& json, const DocumentAtRevision& value);
void from_json(const nlohmann::json& json, DocumentAtRevision& value);
void to_json(nlohmann::json& json, const HostStatus& value);
void from_json(const nlohmann::json& json, HostStatus& value);
void to_json(nlohmann::json& json, const LeaseStatus& value);
void from_json(const nlohmann::json& json, LeaseStatus& value);
void to_json(nlohmann::json& json, const FleetStatus& value);
void from_json(const nlohmann::json& json, FleetStatus& value);
void to_json(nlohmann::json& json, const BackendStatus& value);
void from_json(const nlohmann::json& json, BackendStatus& value);

// Encodes the body of a request to change the declarations. The operator is not
// part of it: the control host identifies it by the key.
nlohmann::json ChangeBody(const ApplyChange& change);

// Decodes the result of ChangeBody(). Fails with kMalformedRequest, naming the
// invalid member.
Result<ApplyChange> ChangeFromBody(std::string_view body);

// Decodes the body of a response. Fails with kPeerRejected when it is not valid
// JSON for T.
template <typename T>
Result<T> FromAnswerBody(std::string_view body) {
  try {
    return nlohmann::json::parse(body).get<T>();
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kPeerRejected,
                std::string("cannot decode the response: ") + e.what());
  }
}

// A refusal by a control host, with the endpoint of the leader if the host
// named it.
struct OperatorRefusal {
  Error error;
  std::optional<Endpoint> leader;
};

// Encodes a refusal as a problem document (RFC 9457).
std::string RefusalToBody(const OperatorRefusal& refusal);

// Decodes the result of RefusalToBody(). Any other body gives kInternal with
// the HTTP status in its detail.
OperatorRefusal RefusalFromBody(std::string_view body, int http_status);

}  // namespace sapphirebank
