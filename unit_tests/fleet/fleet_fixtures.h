#pragma once

#include <memory>
#include <string>
#include <utility>

#include "sapphirebank/fleet/server_announcement.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

inline ServerAnnouncement MakeServer(const std::string& id,
                                     const std::string& zone = "kochi",
                                     Incarnation incarnation = 1,
                                     std::uint64_t sequence = 1) {
  ServerAnnouncement server;
  server.id = BackendId(id);
  server.service = ServiceId("desk");
  server.endpoint = {
      "10.0.0.1",
      static_cast<std::uint16_t>(1000 + std::hash<std::string>()(id) % 999)};
  server.zone = ZoneId(zone);
  server.slots = 2;
  server.sequence = sequence;
  server.incarnation = incarnation;
  return server;
}

// A plan with one service, one route and one workspace with a rate.
inline TrafficPlanParts MakePlanParts(PlanVersion version = 1, double rate = 50,
                                      double burst = 50) {
  TrafficPlanParts parts;
  parts.version = version;
  PlannedService service;
  service.id = ServiceId("desk");
  service.warm_up = std::chrono::seconds(3);
  service.warm_up_rate = 6;
  parts.services.push_back(service);
  PlannedRoute route;
  route.name = "lookup";
  route.host = "desk.example";
  route.path_prefix = "/lookup/";
  route.timeout = std::chrono::seconds(1);
  route.latency_objective = std::chrono::milliseconds(400);
  route.max_tries = 2;
  route.shares.push_back({ServiceId("desk"), 1});
  parts.routes.push_back(route);
  parts.workspaces.push_back({WorkspaceId("north"), {"key-1"}, rate, burst});
  return parts;
}

inline std::shared_ptr<const TrafficPlan> MakePlan(TrafficPlanParts parts) {
  return TrafficPlan::Create(std::move(parts)).value();
}

}  // namespace sapphirebank
