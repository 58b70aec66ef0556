#include "sapphirebank/fleet/refusal_memory.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

DispatchQuery MakeQuery(RequestFingerprint fingerprint, int rank = 1) {
  DispatchQuery query;
  query.service = ServiceId("desk");
  query.rank.route = rank;
  query.fingerprint = fingerprint;
  query.time_left = seconds(4);
  return query;
}

const DispatchRefusal kRefusal = {ErrorKind::kQueueFull, milliseconds(300)};

TEST_CASE("a caller that repeats at once is refused without the hub",
          "[admission]") {
  RefusalMemory memory{RefusalMemorySettings()};
  CHECK_FALSE(memory.RefuseEarly(kStart, MakeQuery(1)));
  memory.RecordRefusal(kStart, MakeQuery(1), kRefusal);
  const auto refusal =
      memory.RefuseEarly(kStart + milliseconds(100), MakeQuery(1));
  REQUIRE(refusal);
  CHECK(refusal->retry_after == milliseconds(200));
  CHECK(refusal->kind == ErrorKind::kQueueFull);
  // Others, and the same one when told, are for the hub to decide.
  CHECK_FALSE(memory.RefuseEarly(kStart + milliseconds(100), MakeQuery(2)));
  CHECK_FALSE(memory.RefuseEarly(kStart + milliseconds(290), MakeQuery(1)));
  // As soon as there is room, nobody is refused.
  memory.RecordAdmission(kStart + milliseconds(110), MakeQuery(3), true);
  CHECK_FALSE(memory.RefuseEarly(kStart + milliseconds(120), MakeQuery(1)));
}

TEST_CASE("while its hub is lost a host refuses as the hub did, for a second",
          "[admission]") {
  RefusalMemory memory{RefusalMemorySettings()};
  CHECK_FALSE(memory.RefuseWithoutHub(kStart, MakeQuery(1), 0));
  // The hub refused half of the requests.
  for (RequestFingerprint i = 1; i <= 20; ++i) {
    memory.RecordRefusal(kStart, MakeQuery(i), kRefusal);
    memory.RecordAdmission(kStart, MakeQuery(100 + i), false);
  }
  const Instant soon = kStart + milliseconds(100);
  CHECK(memory.RefuseWithoutHub(soon, MakeQuery(50), 0.4));
  CHECK_FALSE(memory.RefuseWithoutHub(soon, MakeQuery(50), 0.6));
  // Neither a more urgent request nor one of another service.
  CHECK_FALSE(memory.RefuseWithoutHub(soon, MakeQuery(50, 0), 0));
  DispatchQuery other = MakeQuery(50);
  other.service = ServiceId("archive");
  CHECK_FALSE(memory.RefuseWithoutHub(soon, other, 0));
  // The longer ago, the fewer; after a second none.
  const Instant later = kStart + milliseconds(800);
  CHECK_FALSE(memory.RefuseWithoutHub(later, MakeQuery(50), 0.4));
  CHECK(memory.RefuseWithoutHub(later, MakeQuery(50), 0.05));
  CHECK_FALSE(memory.RefuseWithoutHub(kStart + seconds(1), MakeQuery(50), 0));
  // The hub is back and has room.
  memory.RecordAdmission(soon, MakeQuery(60), true);
  CHECK_FALSE(memory.RefuseWithoutHub(soon, MakeQuery(50), 0));
}

TEST_CASE("a host remembers a bounded number of refusals", "[admission]") {
  RefusalMemorySettings settings;
  settings.request_limit = 10;
  RefusalMemory memory(settings);
  for (RequestFingerprint i = 1; i <= 100; ++i) {
    memory.RecordRefusal(kStart, MakeQuery(i), kRefusal);
  }
  CHECK(memory.size() <= 10);
  CHECK(memory.RefuseEarly(kStart, MakeQuery(100)));
}

}  // namespace
}  // namespace sapphirebank
