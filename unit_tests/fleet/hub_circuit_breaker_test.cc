#include "sapphirebank/fleet/hub_circuit_breaker.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};

// Requests that arrive while the hub is cut off, each of which may wait for a
// quarter of an objective of 1.2 s.
TEST_CASE("requests at a host whose hub is silent do not all wait", "[fleet]") {
  constexpr Duration kWait = milliseconds(300);
  HubCircuitBreaker breaker;
  int waited = 0;
  int refused_at_once = 0;
  Instant timeout_at{};
  for (int i = 0; i < 400; ++i) {
    const Instant now = kStart + i * milliseconds(10);
    if (timeout_at != Instant() && now >= timeout_at) {
      breaker.RecordTimeout(timeout_at);
      timeout_at = Instant();
    }
    if (breaker.IsOpen(now)) {
      ++refused_at_once;
      continue;
    }
    ++waited;
    if (timeout_at == Instant()) timeout_at = now + kWait;
  }
  // Open for 500 ms of each 800 ms.
  CHECK(refused_at_once > waited);
}

TEST_CASE("an answer of the hub ends its silence", "[fleet]") {
  HubCircuitBreaker breaker;
  CHECK_FALSE(breaker.IsOpen(kStart));
  breaker.RecordTimeout(kStart);
  CHECK(breaker.IsOpen(kStart + milliseconds(100)));
  CHECK_FALSE(breaker.IsOpen(kStart + kHubSilenceTime));
  breaker.RecordTimeout(kStart);
  breaker.RecordAnswer();
  CHECK_FALSE(breaker.IsOpen(kStart + milliseconds(100)));
}

}  // namespace
}  // namespace sapphirebank
