#pragma once

#include <string>

#include "sapphirebank/fleet/fleet_hub.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {

inline constexpr Instant kStart{std::chrono::seconds(1000)};
inline const HostId kEntry("entry-1");
inline const HostId kRelay("relay");
inline const WorkspaceId kNorth("north");

// A leader and a relay that exchange encoded messages.
struct LeaderAndRelay {
  FleetRecord record;
  FleetHub leader{
      FleetHubSettings(), 1, {"10.0.0.1:7", ZoneId("kochi")}, Random(1)};
  FleetHub relay{
      FleetHubSettings(), 2, {"10.0.0.2:7", ZoneId("fann")}, Random(2)};
  Instant now = kStart;
  std::uint64_t number = 1;

  explicit LeaderAndRelay(double rate = 50) {
    record.Apply(StorePlan{1, R"({"version":1})"});
    const auto plan = MakePlan(MakePlanParts(1, rate, rate));
    leader.BecomeLeader(now);
    relay.BecomeRelay();
    leader.ApplyRecord(now, record, plan);
    relay.ApplyRecord(now, record, plan);
    // The leader has served for long enough to know all servers; the relay has
    // just started.
    leader.HandleReport(now - std::chrono::seconds(2), HostId("earlier"), false,
                        EntryReport(), record);
    leader.RemoveReporter(HostId("earlier"));
  }

  template <typename Message>
  static Message RoundTrip(const Message& message) {
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(message), bytes);
    return nlohmann::json::from_cbor(bytes).get<Message>();
  }

  // Sends the relay's report to the leader and applies the response.
  void Sync() {
    EntryReport report = relay.BuildLeaderReport(now, number == 1);
    report.number = number++;
    relay.ApplyLeaderUpdate(now,
                            RoundTrip(leader.HandleReport(
                                now, kRelay, true, RoundTrip(report), record)),
                            record);
  }

  EntryReport MakeReport() {
    EntryReport report;
    report.number = number++;
    report.ready_hosts->push_back({"10.0.1.1:80", ZoneId("fann")});
    report.registry_id = 2;
    return report;
  }
};

}  // namespace sapphirebank
