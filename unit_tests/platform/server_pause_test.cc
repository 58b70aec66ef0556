#include <catch2/catch.hpp>
#include <thread>

#include "unit_tests/platform/entry_hosts.h"

namespace sapphirebank {
namespace {

// Guards against requests at a server that turned this host away with a time to
// wait, and against servers that are given up for good.
TEST_CASE("a server that names a time to wait gets nothing until it is over",
          "[platform]") {
  for (const bool by_detour : {false, true}) {
    CAPTURE(by_detour);
    LoopThread loop;
    const ClosedPort closed[3];
    ScriptedBackend full(loop, [](const HttpRequest& request) {
      HttpAnswer answer = ScriptedBackend::Answer(request);
      answer.status = 503;
      answer.fields.push_back({"sapphirebank-not-executed", "1"});
      answer.fields.push_back({"retry-after", "0.8"});
      return answer;
    });
    ScriptedBackend backend(loop);
    TestEntryHost host(loop, "127.0.0.2");
    host.Update({full.endpoint(), backend.endpoint()}, {});
    TestEntryHost cut_off(loop, "127.0.0.1", host.fleet_port());
    cut_off.Update(
        {closed[0].endpoint(), closed[1].endpoint(), closed[2].endpoint()},
        {"127.0.0.2:80"});
    TestEntryHost& asked = by_detour ? cut_off : host;
    // A request that the full server turned away may find the retry budget
    // empty.
    int refused = 0;
    const auto send = [&](int count) {
      for (int i = 0; i < count; ++i) {
        const int status = asked.Send("/order/1", fmt::format("q{}", i)).status;
        if (status == 503) ++refused;
        CHECK((status == 200 || status == 503));
      }
    };
    send(20);
    CHECK(full.requests() == 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    send(20);
    CHECK(full.requests() == 2);
    CHECK(refused <= 2);
    CHECK(backend.requests() + refused == 40);
  }
}

}  // namespace
}  // namespace sapphirebank
