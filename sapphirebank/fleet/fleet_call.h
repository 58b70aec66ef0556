#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/server_announcement.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// Heartbeat of a backend server. One that announces leaving is answered only
// after a majority of the control hosts has stored it.
struct HeartbeatCall {
  ServerAnnouncement server;
};

// A backend server stops accepting requests.
struct LeaveCall {
  BackendId server;
  // Its incarnation, if given.
  std::optional<Incarnation> incarnation;
};

struct StorePlanCall {
  StorePlan plan;
};

// Reads the newest plan.
struct ReadPlanCall {};

struct SetZoneCall {
  SetZoneOut zone;
};

struct StartRolloutCall {
  StartRollout order;
};

// Reads the last rollout of a service.
struct ReadRolloutCall {
  ServiceId service;
};

// A caller looks up addresses of entry hosts.
struct LookupCall {
  ZoneId caller_zone;
};

using FleetCall =
    std::variant<HeartbeatCall, LeaveCall, StorePlanCall, ReadPlanCall,
                 SetZoneCall, StartRolloutCall, ReadRolloutCall, LookupCall>;

// Decodes calls to a control host and encodes their answers.
struct ControlCodec {
  // Decodes a call. The error describes the caller's mistake.
  std::function<Result<FleetCall>(const HttpRequest&)> read_call;
  // Encodes the answer to a successful call; `document` is the plan for
  // ReadPlanCall and what RolloutToJson wrote for ReadRolloutCall.
  std::function<HttpAnswer(const FleetCall&, const std::string& document)> done;
  std::function<HttpAnswer(const std::vector<std::string>& addresses,
                           Duration life)>
      addresses;
  std::function<HttpAnswer(const Error&)> refusal;
};

}  // namespace sapphirebank
