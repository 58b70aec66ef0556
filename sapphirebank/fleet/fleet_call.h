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

// A backend server's heartbeat. One that says that it leaves is answered only
// once a majority of the control hosts knows.
struct HeartbeatCall {
  ServerAnnouncement server;
};

// A backend server leaves.
struct LeaveCall {
  BackendId server;
  // Its life, when it tells.
  std::optional<Incarnation> incarnation;
};

struct StorePlanCall {
  StorePlan plan;
};

// Asks for the newest plan.
struct ReadPlanCall {};

struct SetZoneCall {
  SetZoneOut zone;
};

// A caller asks for addresses of entry hosts.
struct LookupCall {
  ZoneId caller_zone;
};

using FleetCall = std::variant<HeartbeatCall, LeaveCall, StorePlanCall,
                               ReadPlanCall, SetZoneCall, LookupCall>;

// How calls and their answers look to those who call a control host.
struct ControlApiCodec {
  // Reads a call. Its Error is what the caller did wrong.
  std::function<Result<FleetCall>(const HttpRequest&)> read_call;
  // Answers a call that was done; `document` is the plan that was read.
  std::function<HttpAnswer(const FleetCall&, const std::string& document)> done;
  std::function<HttpAnswer(const std::vector<std::string>& addresses,
                           Duration life)>
      addresses;
  std::function<HttpAnswer(const Error&)> refusal;
};

}  // namespace sapphirebank
