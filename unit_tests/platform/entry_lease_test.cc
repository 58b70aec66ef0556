#include <catch2/catch.hpp>
#include <future>

#include "unit_tests/platform/entry_hosts.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;

// Longer than the socket buffers on both sides.
constexpr std::size_t kLongBody = std::size_t{24} << 20U;

// A server that reads the head of a request, stops reading for a while, and
// then reads on to the end of the body or of the connection.
class StallingServer {
 public:
  explicit StallingServer(Duration stall)
      : server_([this, stall](boost::asio::ip::tcp::socket& socket, int) {
          // The host looks later whether it still reaches the server.
          if (has_request_) return;
          std::string bytes;
          boost::system::error_code error;
          const std::size_t head = boost::asio::read_until(
              socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", error);
          // A connection that the host gave up before it sent anything.
          if (error) return;
          has_request_ = true;
          head_.set_value();
          std::this_thread::sleep_for(stall);
          boost::asio::read(
              socket, boost::asio::dynamic_buffer(bytes),
              boost::asio::transfer_at_least(kLongBody + head - bytes.size()),
              error);
          body_.set_value(!error);
        }) {}

  Endpoint endpoint() const { return server_.endpoint(); }
  // Returns whether a request came.
  bool AwaitHead() {
    return head_.get_future().wait_for(kPatience) == std::future_status::ready;
  }
  // Waits for the end of the request and returns whether it came whole, or
  // nothing if it did not end.
  std::optional<bool> IsWhole() {
    auto whole = body_.get_future();
    if (whole.wait_for(kPatience) != std::future_status::ready) {
      return std::nullopt;
    }
    return whole.get();
  }

 private:
  static constexpr std::chrono::seconds kPatience{10};

  bool has_request_ = false;
  std::promise<void> head_;
  std::promise<bool> body_;
  ScriptedServer server_;
};

// A caller's request with a long body, sent on a thread of its own.
std::future<HttpAnswer> SendLongBody(TestEntryHost& host) {
  return std::async(std::launch::async, [&host] {
    return host.Send("/order/1", "q1", std::string(kLongBody, 'x'));
  });
}

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

// Guards against a body that goes on to a server long after the lease: the
// server may have left, and its departure may have been acknowledged since.
TEST_CASE("a request does not reach a server after the lease and its way",
          "[platform]") {
  LoopThread loop;
  StallingServer server(milliseconds(1200));
  ViewLeaseSettings lease = TestEntryHost::kLongLease;
  lease.contact_lease = milliseconds(500);
  TestEntryHost host(loop, "127.0.0.1", 0, lease);
  host.Update({server.endpoint()}, {});
  auto answer = SendLongBody(host);
  REQUIRE(server.AwaitHead());
  CHECK(server.IsWhole() == false);
  // A part has reached the server, so the outcome is not known.
  CHECK(answer.get().status == 504);
}

// Guards against a departure that is acknowledged while the body of a request
// is on its way to the server.
TEST_CASE("a request does not reach a server that left long before",
          "[platform]") {
  LoopThread loop;
  StallingServer server(milliseconds(1200));
  ViewLeaseSettings lease = TestEntryHost::kLongLease;
  lease.departure_bound = milliseconds(300);
  TestEntryHost host(loop, "127.0.0.1", 0, lease);
  host.Update({server.endpoint()}, {});
  auto answer = SendLongBody(host);
  REQUIRE(server.AwaitHead());
  host.Update({}, {}, 2);
  CHECK(server.IsWhole() == false);
  CHECK(answer.get().status == 504);
}

TEST_CASE("a request that is slow on its way reaches a server that stays",
          "[platform]") {
  LoopThread loop;
  StallingServer server(milliseconds(1000));
  ViewLeaseSettings lease = TestEntryHost::kLongLease;
  lease.contact_lease = milliseconds(600);
  TestEntryHost host(loop, "127.0.0.1", 0, lease);
  host.Update({server.endpoint()}, {});
  auto answer = SendLongBody(host);
  REQUIRE(server.AwaitHead());
  // The server stalls for longer than a lease, which is renewed meanwhile.
  for (int i = 0; i < 10; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    host.Update({server.endpoint()}, {});
  }
  CHECK(server.IsWhole() == true);
  answer.get();
}

}  // namespace
}  // namespace sapphirebank
