#include "platform/call_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/plan_codec.h"

namespace sapphirebank {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

HttpRequest ACall(const std::string& target, const std::string& body = "") {
  HttpRequest request;
  request.head.method = "POST";
  request.head.target = target;
  request.body = body;
  return request;
}

json ABeat() {
  return {{"service", "desk"},   {"address", "10.128.0.9:8080"},
          {"zone", "plateau"},   {"version", "v1"},
          {"slots", 2},          {"state", "ready"},
          {"warmupLeft", "0ms"}, {"seq", 4}};
}

json AConfig() {
  return json::parse(R"({"version":"r7","routes":{
    "r-1":{"host":"a.example","pathPrefix":"/x/","kind":"safe",
           "timeout":"800ms","targetLatency":"400ms","priority":2,
           "trafficSplit":[{"service":"s1","weight":90},
                           {"service":"s2","weight":10}],
           "maxAttempts":2,"public":false},
    "r-2":{"host":"a.example","pathPrefix":"/y/","kind":"unsafe",
           "timeout":"1000ms","targetLatency":"400ms","priority":1,
           "service":"s1","maxAttempts":2,"public":true}},
    "services":{"s1":{"healthPath":"/health","maxConnections":360,
                      "protocol":"h1","tls":false,"warmup":"3s",
                      "warmupPerS":6.7},
                "s2":{"healthPath":"/health","maxConnections":360}},
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
              "headerTimeout":"3000ms","idleTimeout":"15000ms"},
    "tenants":{"t1":{"apiKeys":["k1","k2"],"priority":1,"ratePerS":64,
                     "burst":64}}})");
}

const ControlCodec kDialect = PlatformControlDialect();

TEST_CASE("each call of the platform is read", "[platform]") {
  const auto read = [](const std::string& call, const std::string& body = "") {
    return kDialect.read_call(ACall("/api/rpc?call=" + call, body)).value();
  };
  const auto beat = std::get<HeartbeatCall>(
      read("instances.heartbeat&of=i-1", ABeat().dump()));
  CHECK(beat.server.id == BackendId("i-1"));
  CHECK(beat.server.endpoint == Endpoint{"10.128.0.9", 8080});
  CHECK(beat.server.sequence == 4);
  CHECK(beat.server.incarnation == 0);
  CHECK_FALSE(beat.server.leaving);
  json leaving = ABeat();
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

  const std::string document = AConfig().dump();
  const auto plan = std::get<StorePlanCall>(read("config.put", document));
  CHECK(plan.plan.version == 7);
  CHECK(plan.plan.document == document);
  CHECK(std::holds_alternative<ReadPlanCall>(read("config.get")));
  CHECK(std::get<SetZoneCall>(read("evacuations.start&of=kochi")).zone ==
        SetZoneOut{ZoneId("kochi"), true});
  CHECK(std::get<SetZoneCall>(read("evacuations.end&of=kochi")).zone ==
        SetZoneOut{ZoneId("kochi"), false});
  const auto lookup =
      kDialect.read_call(ACall("/api/resolve?name=a&region=b&zone=kochi"));
  REQUIRE(lookup);
  CHECK(std::get<LookupCall>(*lookup).caller_zone == ZoneId("kochi"));
}

TEST_CASE("heartbeats of other writers name no server", "[platform]") {
  const std::vector<std::function<void(json&)>> spoils = {
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
  for (const auto& spoil : spoils) {
    json beat = ABeat();
    spoil(beat);
    INFO(beat.dump());
    const auto call = kDialect.read_call(
        ACall("/api/rpc?call=instances.heartbeat&of=i-1", beat.dump()));
    REQUIRE_FALSE(call);
    CHECK(kDialect.refusal(call.error()).status == 400);
  }
  for (const std::string body : {"", "{", "\xff\xfe", "null"}) {
    CHECK_FALSE(kDialect.read_call(
        ACall("/api/rpc?call=instances.heartbeat&of=i-1", body)));
  }
  CHECK_FALSE(kDialect.read_call(
      ACall("/api/rpc?call=instances.heartbeat", ABeat().dump())));
}

TEST_CASE("configurations that are invalid are refused with 4xx",
          "[platform]") {
  const std::vector<std::function<void(json&)>> spoils = {
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
  REQUIRE(
      kDialect.read_call(ACall("/api/rpc?call=config.put", AConfig().dump())));
  for (const auto& spoil : spoils) {
    json config = AConfig();
    spoil(config);
    INFO(config.dump());
    const auto call =
        kDialect.read_call(ACall("/api/rpc?call=config.put", config.dump()));
    REQUIRE_FALSE(call);
    const int status = kDialect.refusal(call.error()).status;
    CHECK(status >= 400);
    CHECK(status < 500);
  }
  const std::string whole = AConfig().dump();
  for (std::size_t cut = 0; cut < whole.size(); cut += 37) {
    CHECK_FALSE(kDialect.read_call(
        ACall("/api/rpc?call=config.put", whole.substr(0, cut))));
  }
}

TEST_CASE("the parts of a configuration come through", "[platform]") {
  const auto plan = ReadPlanDocument(AConfig().dump());
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

TEST_CASE("answers of control have the platform's form", "[platform]") {
  CHECK(kDialect.done(ReadPlanCall(), "{\"version\":\"r7\"}").body ==
        "{\"version\":\"r7\"}");
  CHECK(kDialect.done(SetZoneCall(), "ignored").body == "{}");
  const HttpAnswer named =
      kDialect.addresses({"10.1.0.5:8405"}, milliseconds(3000));
  CHECK(named.status == 200);
  CHECK(json::parse(named.body) ==
        json::parse(R"({"addresses":["10.1.0.5:8405"],"ttl":"3000ms"})"));
  CHECK(kDialect.addresses({}, milliseconds(1)).status == 503);
  CHECK(kDialect.refusal(Error(ErrorKind::kNoQuorum, "x")).status == 503);
  CHECK_FALSE(kDialect.read_call(ACall("/api/rpc?call=none&of=a")));
  CHECK_FALSE(kDialect.read_call(ACall("/elsewhere")));
}

TEST_CASE("times of the platform are read", "[platform]") {
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
