#include "platform/call_codec.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "platform/plan_codec.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/rollout_codec.h"
#include "unit_tests/platform/configuration.h"

namespace sapphirebank {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

HttpRequest MakeCall(const std::string& target, const std::string& body = "") {
  HttpRequest request;
  request.head.method = "POST";
  request.head.target = target;
  request.body = body;
  return request;
}

json HeartbeatJson() {
  return {{"service", "desk"},   {"address", "10.128.0.9:8080"},
          {"zone", "plateau"},   {"version", "v1"},
          {"slots", 2},          {"state", "ready"},
          {"warmupLeft", "0ms"}, {"seq", 4}};
}

const ControlCodec kCodec = PlatformControlCodec();

TEST_CASE("each platform call is decoded", "[platform]") {
  const auto read = [](const std::string& call, const std::string& body = "") {
    return kCodec.read_call(MakeCall("/api/rpc?call=" + call, body)).value();
  };
  const auto heartbeat = std::get<HeartbeatCall>(
      read("instances.heartbeat&of=i-1", HeartbeatJson().dump()));
  CHECK(heartbeat.server.id == BackendId("i-1"));
  CHECK(heartbeat.server.endpoint == Endpoint{"10.128.0.9", 8080});
  CHECK(heartbeat.server.sequence == 4);
  CHECK(heartbeat.server.incarnation == 0);
  CHECK_FALSE(heartbeat.server.leaving);
  json leaving = HeartbeatJson();
  leaving["state"] = "draining";
  leaving["born"] = 1'700'000'000'123;
  leaving["warmupLeft"] = "2.5s";
  const auto last = std::get<HeartbeatCall>(
      read("instances.heartbeat&of=i-1", leaving.dump()));
  CHECK(last.server.leaving);
  CHECK(last.server.incarnation == 1'700'000'000'123);
  CHECK(last.server.warm_up_left == milliseconds(2500));

  const auto leave = std::get<LeaveCall>(read("instances.leave&of=i-1"));
  CHECK(leave.server == BackendId("i-1"));
  CHECK_FALSE(leave.incarnation);
  CHECK(std::get<LeaveCall>(read("instances.leave&of=i-1", R"({"born":5})"))
            .incarnation == Incarnation{5});

  const std::string document = ConfigurationJson().dump();
  const auto plan = std::get<StorePlanCall>(read("config.put", document));
  CHECK(plan.plan.version == 7);
  CHECK(plan.plan.document == document);
  CHECK(std::holds_alternative<ReadPlanCall>(read("config.get")));
  CHECK(std::get<SetZoneCall>(read("evacuations.start&of=kochi")).zone ==
        SetZoneOut{ZoneId("kochi"), true});
  CHECK(std::get<SetZoneCall>(read("evacuations.end&of=kochi")).zone ==
        SetZoneOut{ZoneId("kochi"), false});
  const auto order = std::get<StartRolloutCall>(
      read("rollouts.start",
           R"({"service":"s1","targetVersion":"v2","duration":"12s"})"));
  CHECK(order.order ==
        StartRollout{ServiceId("s1"), "v2", std::chrono::seconds(12)});
  CHECK(std::get<ReadRolloutCall>(read("rollouts.get&of=s1")).service ==
        ServiceId("s1"));
  const auto lookup =
      kCodec.read_call(MakeCall("/api/resolve?name=a&region=b&zone=kochi"));
  REQUIRE(lookup);
  CHECK(std::get<LookupCall>(*lookup).caller_zone == ZoneId("kochi"));
}

TEST_CASE("malformed orders of rollouts are refused", "[platform]") {
  const std::vector<std::function<void(json&)>> corruptions = {
      [](json& b) { b.erase("service"); },
      [](json& b) { b["service"] = ""; },
      [](json& b) { b["service"] = 7; },
      [](json& b) { b.erase("targetVersion"); },
      [](json& b) { b["targetVersion"] = ""; },
      [](json& b) { b["targetVersion"] = 2; },
      [](json& b) { b["targetVersion"] = "v\n2"; },
      [](json& b) { b["targetVersion"] = std::string(257, 'v'); },
      [](json& b) { b.erase("duration"); },
      [](json& b) { b["duration"] = 12; },
      [](json& b) { b["duration"] = ""; },
      [](json& b) { b["duration"] = "soon"; },
      [](json& b) { b["duration"] = "0s"; },
      [](json& b) { b["duration"] = "10ms"; },
      [](json& b) { b["duration"] = "-12s"; },
      [](json& b) { b["duration"] = "86401s"; },
      [](json& b) { b["duration"] = "1e308s"; },
      [](json& b) { b = json::array(); }};
  for (const auto& corrupt : corruptions) {
    json order = {
        {"service", "s1"}, {"targetVersion", "v2"}, {"duration", "12s"}};
    corrupt(order);
    CAPTURE(order.dump());
    const auto call = kCodec.read_call(
        MakeCall("/api/rpc?call=rollouts.start", order.dump()));
    REQUIRE_FALSE(call);
    CHECK(kCodec.refusal(call.error()).status == 400);
  }
  for (const std::string body : {"", "{", "\xff\xfe", "null"}) {
    CHECK_FALSE(
        kCodec.read_call(MakeCall("/api/rpc?call=rollouts.start", body)));
  }
  CHECK_FALSE(kCodec.read_call(MakeCall("/api/rpc?call=rollouts.get")));
}

TEST_CASE("the state of a rollout is told in the operator's words",
          "[platform]") {
  const std::pair<RolloutPhase, const char*> rows[] = {
      {RolloutPhase::kTrial, "running"},
      {RolloutPhase::kSwitch, "running"},
      {RolloutPhase::kCompleted, "completed"},
      {RolloutPhase::kRolledBack, "rolled_back"}};
  for (const auto& [phase, state] : rows) {
    Rollout rollout;
    rollout.service = ServiceId("s1");
    rollout.target_version = "v2";
    rollout.phase = phase;
    const HttpAnswer answer = kCodec.done(ReadRolloutCall{rollout.service},
                                          RolloutToJson(rollout).dump());
    CHECK(answer.status == 200);
    CHECK(json::parse(answer.body) ==
          json({{"state", state}, {"targetVersion", "v2"}}));
  }
  CHECK(json::parse(kCodec.done(StartRolloutCall(), "").body) ==
        json::object());
}

TEST_CASE("malformed heartbeats are refused", "[platform]") {
  const std::vector<std::function<void(json&)>> corruptions = {
      [](json& b) { b.erase("service"); },
      [](json& b) { b["service"] = 7; },
      [](json& b) { b.erase("address"); },
      [](json& b) { b["address"] = "nowhere"; },
      [](json& b) { b["address"] = "10.0.0.1:99999"; },
      [](json& b) { b.erase("zone"); },
      [](json& b) { b["slots"] = "2"; },
      [](json& b) { b["slots"] = -2; },
      [](json& b) { b["state"] = "resting"; },
      [](json& b) { b.erase("state"); },
      [](json& b) { b["warmupLeft"] = 3; },
      [](json& b) { b["warmupLeft"] = "3m"; },
      [](json& b) { b["seq"] = 1.5; },
      [](json& b) { b.erase("seq"); },
      [](json& b) { b["born"] = "yesterday"; },
      [](json& b) { b["born"] = 1.5; },
      [](json& b) { b = json::array(); }};
  for (const auto& corrupt : corruptions) {
    json heartbeat = HeartbeatJson();
    corrupt(heartbeat);
    INFO(heartbeat.dump());
    const auto call = kCodec.read_call(
        MakeCall("/api/rpc?call=instances.heartbeat&of=i-1", heartbeat.dump()));
    REQUIRE_FALSE(call);
    CHECK(kCodec.refusal(call.error()).status == 400);
  }
  for (const std::string body : {"", "{", "\xff\xfe", "null"}) {
    CHECK_FALSE(kCodec.read_call(
        MakeCall("/api/rpc?call=instances.heartbeat&of=i-1", body)));
  }
  CHECK_FALSE(kCodec.read_call(
      MakeCall("/api/rpc?call=instances.heartbeat", HeartbeatJson().dump())));
}

// Guards against one odd entry that stops hosts, or makes them refuse the
// messages of others that carry it.
TEST_CASE("an entry that is accepted is read by all hosts of the fleet",
          "[platform]") {
  struct Row {
    const char* field;
    json value;
    bool accepted;
  };
  const Row rows[] = {
      {"warmupLeft", "86400s", true},
      {"warmupLeft", "86401s", false},
      {"warmupLeft", "1e308s", false},
      {"address", "10.0.0.1:0", false},
      {"address", "10.0.0.1:65536", false},
      {"address", "10.0.0.300:80", false},
      {"address", "[fd00::1]:80", true},
      {"address", "host:80", false},
      {"slots", 0, false},
      {"slots", 100'000, true},
      {"slots", (std::uint64_t{1} << 32U) + 2, false},
      {"slots", 1e30, false},
      {"seq", std::uint64_t{1} << 53U, true},
      {"seq", std::numeric_limits<std::uint64_t>::max(), false},
      {"seq", std::numeric_limits<std::int64_t>::max(), false},
      {"born", std::uint64_t{1} << 53U, true},
      {"born", std::numeric_limits<std::int64_t>::max(), false},
      {"born", std::numeric_limits<std::uint64_t>::max(), false},
      {"zone", std::string(257, 'z'), false},
      {"zone", "a\nb", false},
      {"service", "", false},
      {"service", json::object(), false},
  };
  for (const Row& row : rows) {
    json heartbeat = HeartbeatJson();
    heartbeat[row.field] = row.value;
    CAPTURE(row.field, row.value.dump().substr(0, 40));
    const auto call = kCodec.read_call(
        MakeCall("/api/rpc?call=instances.heartbeat&of=i-1", heartbeat.dump()));
    CHECK(call.has_value() == row.accepted);
    if (!call) continue;
    // To the leader, to another hub and to an entry host.
    const ServerAnnouncement& server = std::get<HeartbeatCall>(*call).server;
    EntryReport report;
    report.known_servers.push_back(server);
    EntryReport read_report;
    REQUIRE_NOTHROW(
        read_report =
            json::from_cbor(json::to_cbor(report)).get<EntryReport>());
    CHECK(read_report.known_servers.front() == server);
    FleetUpdate update;
    update.servers.push_back({server, ServerHealth::kUp, server.warm_up_left});
    CHECK_NOTHROW(json::from_cbor(json::to_cbor(update)).get<FleetUpdate>());
  }
}

// Guards against a document whose nesting uses up the stack of each host that
// reads it, again after a restart.
TEST_CASE("deeply nested documents are refused", "[platform]") {
  constexpr std::size_t kDepth = 200'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string heartbeat = HeartbeatJson().dump();
  heartbeat.insert(1, "\"extra\":" + deep + ",");
  for (const std::string& body : {deep, heartbeat}) {
    for (const char* call : {"heartbeat", "leave"}) {
      CHECK_FALSE(kCodec.read_call(MakeCall(
          fmt::format("/api/rpc?call=instances.{}&of=i-1", call), body)));
    }
  }
  std::string configuration = ConfigurationJson().dump();
  configuration.insert(1, "\"extra\":" + deep + ",");
  CHECK_FALSE(
      kCodec.read_call(MakeCall("/api/rpc?call=config.put", configuration)));
  json shallow = ConfigurationJson();
  shallow["extra"] = json::parse("[[[[[[]]]]]]");
  CHECK(kCodec.read_call(MakeCall("/api/rpc?call=config.put", shallow.dump())));
}

TEST_CASE("invalid configurations are refused with a 4xx status",
          "[platform]") {
  const std::vector<std::function<void(json&)>> corruptions = {
      [](json& c) { c.erase("version"); },
      [](json& c) { c["version"] = 7; },
      [](json& c) { c["version"] = "r"; },
      [](json& c) { c["version"] = "r7x"; },
      [](json& c) { c.erase("routes"); },
      [](json& c) { c["routes"] = json::array(); },
      [](json& c) { c.erase("services"); },
      [](json& c) { c["routes"]["r-2"]["service"] = "none"; },
      [](json& c) { c["routes"]["r-2"]["pathPrefix"] = "/x/"; },
      [](json& c) { c["routes"]["r-2"]["pathPrefix"] = "y/"; },
      [](json& c) { c["routes"]["r-2"]["host"] = ""; },
      [](json& c) { c["routes"]["r-2"]["maxAttempts"] = 0; },
      [](json& c) { c["routes"]["r-2"].erase("maxAttempts"); },
      [](json& c) { c["routes"]["r-2"].erase("timeout"); },
      [](json& c) { c["routes"]["r-2"]["timeout"] = "1000"; },
      [](json& c) { c["routes"]["r-2"].erase("kind"); },
      [](json& c) { c["routes"]["r-1"]["trafficSplit"][0]["weight"] = -1; },
      [](json& c) { c["routes"]["r-1"]["trafficSplit"][0].erase("weight"); },
      [](json& c) {
        c["tenants"]["t2"] = {{"apiKeys", {"k2"}}};
      }};
  REQUIRE(kCodec.read_call(
      MakeCall("/api/rpc?call=config.put", ConfigurationJson().dump())));
  for (const auto& corrupt : corruptions) {
    json config = ConfigurationJson();
    corrupt(config);
    INFO(config.dump());
    const auto call =
        kCodec.read_call(MakeCall("/api/rpc?call=config.put", config.dump()));
    REQUIRE_FALSE(call);
    const int status = kCodec.refusal(call.error()).status;
    CHECK(status >= 400);
    CHECK(status < 500);
  }
  const std::string whole = ConfigurationJson().dump();
  for (std::size_t cut = 0; cut < whole.size(); cut += 37) {
    CHECK_FALSE(kCodec.read_call(
        MakeCall("/api/rpc?call=config.put", whole.substr(0, cut))));
  }
}

TEST_CASE("a configuration is decoded in full", "[platform]") {
  const auto plan = ReadPlanDocument(ConfigurationJson().dump());
  REQUIRE(plan);
  const PlannedRoute* split = (*plan)->FindRoute("a.example", "/x/1");
  REQUIRE(split != nullptr);
  CHECK(split->idempotent);
  CHECK(split->shares.size() == 2);
  CHECK(split->shares[0].weight == 90);
  CHECK(split->timeout == milliseconds(800));
  CHECK_FALSE(split->open);
  const PlannedRoute* single = (*plan)->FindRoute("a.example", "/y/1");
  REQUIRE(single != nullptr);
  CHECK_FALSE(single->idempotent);
  CHECK(single->open);
  CHECK((*plan)->FindService(ServiceId("s1"))->warm_up_rate == 6.7);
  CHECK((*plan)->FindKey("k2")->rate == 64);
  CHECK((*plan)->parts().limits.idle_timeout == milliseconds(15'000));
}

TEST_CASE("responses to calls have the platform's format", "[platform]") {
  CHECK(kCodec.done(ReadPlanCall(), "{\"version\":\"r7\"}").body ==
        "{\"version\":\"r7\"}");
  CHECK(kCodec.done(SetZoneCall(), "ignored").body == "{}");
  const HttpAnswer named =
      kCodec.addresses({"10.1.0.5:8405"}, milliseconds(3000));
  CHECK(named.status == 200);
  CHECK(json::parse(named.body) ==
        json::parse(R"({"addresses":["10.1.0.5:8405"],"ttl":"3000ms"})"));
  CHECK(kCodec.addresses({}, milliseconds(1)).status == 503);
  CHECK(kCodec.refusal(Error(ErrorKind::kNoQuorum, "x")).status == 503);
  CHECK_FALSE(kCodec.read_call(MakeCall("/api/rpc?call=none&of=a")));
  CHECK_FALSE(kCodec.read_call(MakeCall("/elsewhere")));
}

TEST_CASE("platform durations are parsed", "[platform]") {
  CHECK(ReadWireTime("1500ms") == milliseconds(1500));
  CHECK(ReadWireTime("2.5s") == milliseconds(2500));
  CHECK(ReadWireTime("0ms") == milliseconds(0));
  for (const char* wrong :
       {"", "ms", "5", "-1s", "5m", "1 s", "1e99s", "nan"}) {
    CHECK_FALSE(ReadWireTime(wrong));
  }
}

}  // namespace
}  // namespace sapphirebank
