#include <catch2/catch.hpp>

#include "unit_tests/platform/entry_hosts.h"

namespace sapphirebank {
namespace {

// Guards against requests without a key that are handled by a plan of any age,
// at a host whose hub has lost the leader.
TEST_CASE("a host whose lease is over refuses every request at once",
          "[platform]") {
  LoopThread loop;
  ScriptedBackend backend(loop);
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({backend.endpoint()}, {}, 1, TestEntryHost::kLease);
  for (const char* path : {"/lookup/1", "/order/1", "/unknown/1"}) {
    CHECK(host.Send(path).status == 503);
  }
  CHECK(backend.requests() == 0);
  host.Update({backend.endpoint()}, {});
  CHECK(host.Send("/lookup/1").status == 200);
  CHECK(host.Send("/unknown/1").status == 404);
}

TEST_CASE("a host whose lease is over refuses requests of other hosts",
          "[platform]") {
  LoopThread loop;
  const ClosedPort closed[3];
  ScriptedBackend backend(loop);
  TestEntryHost host(loop, "127.0.0.2");
  host.Update({backend.endpoint()}, {}, 1, TestEntryHost::kLease);
  TestEntryHost cut_off(loop, "127.0.0.1", host.fleet_port());
  cut_off.Update(
      {closed[0].endpoint(), closed[1].endpoint(), closed[2].endpoint()},
      {"127.0.0.2:80"});
  CHECK(cut_off.Send("/lookup/1").status == 503);
  CHECK(cut_off.Send("/order/1").status == 503);
  CHECK(host.detours() > 0);
  CHECK(backend.requests() == 0);
}

}  // namespace
}  // namespace sapphirebank
