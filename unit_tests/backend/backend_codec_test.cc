#include "sapphirebank/backend/backend_codec.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace sapphirebank {
namespace {

using nlohmann::json;

// Returns `value` after encoding to CBOR and decoding.
json CborRoundTrip(const json& value) {
  return json::from_cbor(json::to_cbor(value));
}

WindowReport FullReport() {
  ServerWindow window;
  window.backend = BackendId("a");
  window.process_id = "1";
  window.state = BackendState::kEjected;
  window.slots = 3;
  window.in_flight = 2;
  window.overdue_fresh = 1;
  window.overdue_old = 1;
  window.oldest_in_flight = std::chrono::seconds(2);
  window.successes = 10;
  window.http_errors = 9;
  window.timeouts_fresh = 8;
  window.timeouts_old = 7;
  window.refused = 6;
  window.lost_connections = 5;
  window.crashes = 4;
  window.probes_good = 3;
  window.probes_bad = 2;
  window.latency.Add(std::chrono::milliseconds(20));
  window.latency.Add(std::chrono::milliseconds(900));
  window.ejection_left = std::chrono::seconds(3);
  window.ejection_level = 2;
  WindowReport report;
  report.owner = HostId("h");
  report.term = 4;
  report.key = {ServiceId("s"), ZoneId("z")};
  report.sequence = 5;
  report.window = std::chrono::seconds(1);
  report.servers = {window, ServerWindow()};
  report.servers[1].backend = BackendId("b");
  report.crashes = {{BackendId("a"), {1, 2}}};
  report.survived = {3};
  report.quarantined = {{4, std::chrono::minutes(1)}};
  return report;
}

VerdictSet FullVerdicts() {
  VerdictSet set;
  set.coordinator = HostId("h");
  set.term = 4;
  set.key = {ServiceId("s"), ZoneId("z")};
  set.owner_term = 3;
  set.in_reply_to = 5;
  set.ttl = std::chrono::seconds(4);
  set.verdicts = {{BackendId("a"), VerdictKind::kEject, VerdictCause::kStuck, 0,
                   std::chrono::seconds(9), 2},
                  {BackendId("b"), VerdictKind::kLimit, VerdictCause::kSlow, 1,
                   Duration::zero(), 0}};
  set.suspects = {1};
  set.quarantined = {{2, std::chrono::minutes(1)}};
  set.owner_suspected = true;
  return set;
}

TEST_CASE("messages are unchanged after encoding and decoding", "[backend]") {
  CHECK(ParseWindowReport(CborRoundTrip(FullReport())) == FullReport());
  CHECK(ParseVerdictSet(CborRoundTrip(FullVerdicts())) == FullVerdicts());
  const Handover handover = {{{BackendId("a"), "1", 2, true}}};
  CHECK(ParseHandover(CborRoundTrip(handover)) == handover);
  Announcement announcement;
  announcement.backend = BackendId("a");
  announcement.incarnation = 7;
  announcement.process_id = "p";
  announcement.key = {ServiceId("s"), ZoneId("z")};
  announcement.address = {"::1", 80};
  announcement.slots = 2;
  announcement.max_connections = 350;
  announcement.running = 1;
  announcement.draining = true;
  CHECK(ParseAnnouncement(CborRoundTrip(announcement)) == announcement);
}

TEST_CASE("parsing a malformed message fails and names the field",
          "[backend]") {
  using Change = std::function<void(json&)>;
  const std::pair<std::string, Change> rows[] = {
      {"owner", [](json& j) { j.erase("owner"); }},
      {"owner", [](json& j) { j["owner"] = 1; }},
      {"term", [](json& j) { j["term"] = -1; }},
      {"term", [](json& j) { j["term"] = 1.5; }},
      {"window_us", [](json& j) { j["window_us"] = ~std::uint64_t{0}; }},
      {"servers", [](json& j) { j["servers"] = json::object(); }},
      {"slots", [](json& j) { j["servers"][0]["slots"] = 1ULL << 32U; }},
      {"state", [](json& j) { j["servers"][0]["state"] = 6; }},
      {"latency", [](json& j) { j["servers"][0]["latency"] = {1}; }},
      {"latency",
       [](json& j) {
         j["servers"][0]["latency"] = {48, 1};
       }},
      {"latency",
       [](json& j) {
         j["servers"][0]["latency"] = {1, -1};
       }},
      {"running", [](json& j) { j["crashes"][0]["running"] = {"x"}; }},
      {"fingerprint", [](json& j) { j["quarantined"] = {json::object()}; }},
      {"expected an object", [](json& j) { j = json::array(); }},
      {"expected an object", [](json& j) { j["servers"] = {1}; }},
  };
  for (const auto& [field, change] : rows) {
    json value = FullReport();
    change(value);
    const auto read = ParseWindowReport(value);
    REQUIRE(!read);
    CHECK(read.error().kind == ErrorKind::kMalformedRequest);
    CHECK(read.error().detail.find(field) != std::string::npos);
  }
}

TEST_CASE("parsing a corrupted message fails without crashing", "[backend]") {
  const auto bytes = json::to_cbor(FullReport());
  std::size_t rejected = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    auto altered = bytes;
    altered[i] ^= 0x40U;
    const json value = json::from_cbor(altered, true, false);
    if (value.is_discarded() || !ParseWindowReport(value)) ++rejected;
  }
  CHECK(rejected > 0);
}

}  // namespace
}  // namespace sapphirebank
