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

// Guards against a request at a server that left while the request waited for
// another one: the host had heard nothing since.
TEST_CASE("a request that outlasts the lease is sent to no further server",
          "[platform]") {
  using std::chrono::milliseconds;
  LoopThread loop;
  std::atomic<bool> is_full = false;
  const auto script = [&](const HttpRequest& request) {
    HttpAnswer answer = ScriptedBackend::Answer(request);
    if (!is_full) return answer;
    answer.status = 503;
    answer.fields.push_back({"sapphirebank-not-executed", "1"});
    return answer;
  };
  ScriptedBackend backends[] = {ScriptedBackend(loop, script),
                                ScriptedBackend(loop, script)};
  TestEntryHost host(loop, "127.0.0.1");
  constexpr Duration kTimeLeft = milliseconds(2000);
  const Instant lease_end = MonotonicNow() + kTimeLeft;
  host.Update({backends[0].endpoint(), backends[1].endpoint()}, {}, 1,
              TestEntryHost::kLease - kTimeLeft);
  // Fill the retry budget.
  for (int i = 0; i < 40; ++i) CHECK(host.Send("/order/1").status == 200);
  is_full = true;
  for (ScriptedBackend& backend : backends)
    backend.set_delay(milliseconds(500));
  std::this_thread::sleep_for(lease_end - milliseconds(250) - MonotonicNow());
  const int before = backends[0].requests() + backends[1].requests();
  CHECK(host.Send("/order/1").status == 503);
  CHECK(backends[0].requests() + backends[1].requests() == before + 1);
}

}  // namespace
}  // namespace sapphirebank
