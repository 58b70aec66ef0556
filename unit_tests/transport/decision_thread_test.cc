#include "sapphirebank/transport/decision_thread.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;

// A decision thread whose first step waits until Release().
class BusyThread {
 public:
  BusyThread() {
    const auto is_running = std::make_shared<std::promise<void>>();
    thread.Post([this, is_running] {
      is_running->set_value();
      release_.get_future().wait();
    });
    is_running->get_future().wait();
  }

  void Release() { release_.set_value(); }

  // Waits until the steps posted before have run.
  void Wait() {
    const auto is_done = std::make_shared<std::promise<void>>();
    thread.Post([is_done] { is_done->set_value(); });
    is_done->get_future().wait();
  }

 private:
  caf::actor_system_config config_;
  caf::actor_system system_{config_};
  std::promise<void> release_;

 public:
  DecisionThread thread{system_};
};

// Guards against election messages that wait behind those of entry hosts.
TEST_CASE("urgent steps do not wait for the others", "[transport]") {
  BusyThread busy;
  std::string order;
  for (int i = 0; i < 3; ++i) busy.thread.Post([&] { order += 'n'; });
  for (int i = 0; i < 3; ++i) {
    busy.thread.PostUrgent([&order, i] { order += std::to_string(i); });
  }
  busy.Release();
  busy.Wait();
  CHECK(order == "012nnn");
}

// Guards against a timer that is late by all that is queued.
TEST_CASE("a due tick does not wait for queued steps", "[transport]") {
  BusyThread busy;
  std::string order;
  bool has_started = false;
  busy.thread.StartTicks(milliseconds(20), [&] {
    if (has_started) order += 't';
    has_started = true;
  });
  for (int i = 0; i < 4; ++i) {
    busy.thread.Post([&] {
      order += 's';
      std::this_thread::sleep_for(milliseconds(40));
    });
  }
  busy.Release();
  busy.Wait();
  CHECK(order.find("ss") == std::string::npos);
}

}  // namespace
}  // namespace sapphirebank
