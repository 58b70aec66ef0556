#include "sapphirebank/transport/detour_fields.h"

#include <catch2/catch.hpp>

#include "sapphirebank/transport/forward_fields.h"

namespace sapphirebank {
namespace {

const FleetSecret kSecret("secret");

HttpRequestHead MakeHead() {
  return {"POST", "/permits", {{"authorization", "Token k"}}};
}

DetourRequest MakeDetour() {
  DetourRequest detour;
  detour.to = "10.0.0.2:7";
  detour.time_left = std::chrono::milliseconds(800);
  detour.caller_time_left = std::chrono::milliseconds(1500);
  detour.plan_version = 12;
  detour.attempts_received = 1;
  detour.may_have_run = true;
  detour.is_retry = true;
  detour.has_token = true;
  return detour;
}

TEST_CASE("what a host tells of a request arrives at the next host",
          "[transport]") {
  HttpRequestHead head = MakeHead();
  AddDetourFields(kSecret, MakeDetour(), head, "body");
  const auto read = ReadDetourFields(kSecret, "10.0.0.2:7", head, "body");
  REQUIRE(read);
  CHECK(read->time_left == std::chrono::milliseconds(800));
  CHECK(read->caller_time_left == std::chrono::milliseconds(1500));
  CHECK(read->plan_version == 12);
  CHECK(read->attempts_received == 1);
  CHECK(read->may_have_run);
  CHECK(read->is_retry);
  CHECK(read->has_token);
  StripConnectionFields(head.fields);
  CHECK(head.fields.size() == 1);
}

// Guards against callers that pretend to be an entry host, and against requests
// that are recorded and sent to another host or with other content.
TEST_CASE("a request from another host is accepted only as it was signed",
          "[transport]") {
  HttpRequestHead head = MakeHead();
  AddDetourFields(kSecret, MakeDetour(), head, "body");
  const auto is_rejected = [](const Result<DetourRequest>& read) {
    return !read && read.error().kind == ErrorKind::kPeerRejected;
  };
  CHECK(is_rejected(ReadDetourFields(kSecret, "10.0.0.3:7", head, "body")));
  CHECK(is_rejected(ReadDetourFields(kSecret, "10.0.0.2:7", head, "other")));
  CHECK(is_rejected(
      ReadDetourFields(FleetSecret("no"), "10.0.0.2:7", head, "body")));
  HttpRequestHead other = head;
  other.target = "/other";
  CHECK(is_rejected(ReadDetourFields(kSecret, "10.0.0.2:7", other, "body")));
  CHECK(
      is_rejected(ReadDetourFields(kSecret, "10.0.0.2:7", MakeHead(), "body")));
  // A signature for another purpose.
  HttpRequestHead forwarded = MakeHead();
  AddForwardFields(kSecret, ForwardedRequest(), forwarded, "body");
  CHECK(
      is_rejected(ReadDetourFields(kSecret, "10.0.0.2:7", forwarded, "body")));
}

}  // namespace
}  // namespace sapphirebank
