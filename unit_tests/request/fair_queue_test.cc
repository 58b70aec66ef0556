#include "sapphirebank/request/fair_queue.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart(seconds(100));
const Instant kFarDeadline = kStart + std::chrono::hours(1);

FairQueue MakeQueue(FairQueueSettings settings = {}) {
  return *FairQueue::Create(settings);
}

WorkspaceId Workspace(std::uint64_t number) {
  return WorkspaceId("w" + std::to_string(number));
}

// Pops all requests and returns their workspaces in the order of service.
// Tokens must be workspace * 1000 + number.
std::string PopAll(FairQueue& queue) {
  std::string order;
  while (const auto token = queue.Pop(kStart)) {
    order += std::to_string(*token / 1000);
  }
  return order;
}

// Pushes a request that must be accepted and returns the one dropped for it.
std::optional<QueueToken> PushFor(FairQueue& queue, std::uint64_t workspace,
                                  QueueToken token) {
  auto pushed =
      queue.Push(kStart, Workspace(workspace), 1, kFarDeadline, token);
  REQUIRE(pushed);
  return *pushed;
}

TEST_CASE("workspaces are served in proportion to their weights",
          "[fair_queue]") {
  struct Row {
    std::vector<double> weights;
    int requests;
    const char* order;
  };
  const Row rows[] = {
      {{1}, 3, "000"},         {{1, 1}, 3, "010101"},
      {{2, 1}, 4, "00100111"}, {{1, 1, 3}, 3, "012220101"},
      {{0.5, 1}, 2, "1010"},   {{1.5, 1}, 4, "01001011"},
      {{0.001, 1}, 2, "1100"},
  };
  for (const Row& row : rows) {
    FairQueue queue = MakeQueue();
    for (std::size_t w = 0; w < row.weights.size(); ++w) {
      for (int i = 0; i < row.requests; ++i) {
        REQUIRE(queue.Push(kStart, Workspace(w), row.weights[w], kFarDeadline,
                           w * 1000 + i));
      }
    }
    CHECK(PopAll(queue) == row.order);
    CHECK(queue.size() == 0);
    CHECK_FALSE(queue.next_expiry());
  }
}

TEST_CASE(
    "a full queue drops a request of the workspace with the longest queue",
    "[fair_queue]") {
  FairQueue queue = MakeQueue({.limit = 6, .workspace_limit = 5});
  for (int i = 0; i < 5; ++i) {
    REQUIRE(queue.Push(kStart, Workspace(0), 1, kFarDeadline, i));
  }
  const auto over_workspace_limit =
      queue.Push(kStart, Workspace(0), 1, kFarDeadline, 5);
  REQUIRE_FALSE(over_workspace_limit);
  CHECK(over_workspace_limit.error().kind == ErrorKind::kQueueFull);
  CHECK(PushFor(queue, 1, 1000) == std::nullopt);
  CHECK(PushFor(queue, 1, 1001) == 4U);
  CHECK(PushFor(queue, 2, 2000) == 3U);
  // Three, two and one are queued: no request is dropped in favor of a
  // workspace that would then have as many.
  CHECK_FALSE(queue.Push(kStart, Workspace(1), 1, kFarDeadline, 1002));
  CHECK(PushFor(queue, 2, 2001) == 2U);
  const auto equal = queue.Push(kStart, Workspace(2), 1, kFarDeadline, 2002);
  REQUIRE_FALSE(equal);
  CHECK(equal.error().kind == ErrorKind::kQueueFull);
  CHECK(PopAll(queue) == "012012");
}

TEST_CASE("requests expire at their deadline or after the maximum wait",
          "[fair_queue]") {
  FairQueue queue = MakeQueue({.max_wait = milliseconds(100)});
  REQUIRE(queue.Push(kStart, Workspace(0), 1, kStart + milliseconds(50), 1));
  REQUIRE(queue.Push(kStart, Workspace(0), 1, kFarDeadline, 2));
  REQUIRE(queue.Push(kStart, Workspace(1), 1, kStart + milliseconds(100), 3));
  const auto late = queue.Push(kStart, Workspace(1), 1, kStart, 4);
  REQUIRE_FALSE(late);
  CHECK(late.error().kind == ErrorKind::kDeadlineTooShort);
  CHECK(queue.next_expiry() == kStart + milliseconds(50));
  CHECK(queue.LongestWait(kStart + milliseconds(20)) == milliseconds(20));
  CHECK(queue.ExpireDue(kStart + milliseconds(49)).empty());
  // Pop() never returns an expired request; ExpireDue() still reports it.
  CHECK(queue.Pop(kStart + milliseconds(50)) == 2U);
  CHECK(queue.ExpireDue(kStart + milliseconds(50)) ==
        std::vector<QueueRefusal>{{1, ErrorKind::kDeadlineTooShort}});
  CHECK_FALSE(queue.Pop(kStart + milliseconds(100)));
  CHECK(queue.ExpireDue(kStart + milliseconds(100)) ==
        std::vector<QueueRefusal>{{3, ErrorKind::kDeadlineTooShort}});
  REQUIRE(queue.Push(kStart, Workspace(0), 1, kFarDeadline, 5));
  CHECK(queue.ExpireDue(kStart + milliseconds(100)) ==
        std::vector<QueueRefusal>{{5, ErrorKind::kQueueTimeout}});
}

TEST_CASE("a cancelled request is neither popped nor expired", "[fair_queue]") {
  FairQueue queue = MakeQueue();
  REQUIRE(queue.Push(kStart, Workspace(0), 2, kFarDeadline, 1));
  REQUIRE(queue.Push(kStart, Workspace(1), 1, kFarDeadline, 1000));
  CHECK(queue.Cancel(1));
  CHECK_FALSE(queue.Cancel(1));
  CHECK_FALSE(queue.Cancel(7));
  CHECK(PopAll(queue) == "1");
  CHECK(queue.ExpireDue(kFarDeadline).empty());
}

TEST_CASE("a workspace is charged for longer than mean slot times",
          "[fair_queue]") {
  FairQueue queue = MakeQueue();
  for (int i = 0; i < 4; ++i) {
    REQUIRE(queue.Push(kStart, Workspace(0), 1, kFarDeadline, i));
    REQUIRE(queue.Push(kStart, Workspace(1), 1, kFarDeadline, 1000 + i));
  }
  queue.Finish(Workspace(1), milliseconds(100));
  queue.Finish(Workspace(0), milliseconds(300));
  CHECK(PopAll(queue) == "11010100");
  // Slot time of an unknown workspace is ignored, and a debt does not delay a
  // workspace while no other one has requests queued.
  queue.Finish(Workspace(7), seconds(100));
  REQUIRE(queue.Push(kStart, Workspace(0), 1, kFarDeadline, 1));
  queue.Finish(Workspace(0), seconds(1000));
  CHECK(queue.Pop(kStart) == 1U);
}

TEST_CASE("invalid queue settings are refused", "[fair_queue]") {
  CHECK_FALSE(FairQueue::Create({.limit = 0}));
  CHECK_FALSE(FairQueue::Create({.workspace_limit = 0}));
  CHECK_FALSE(FairQueue::Create({.max_wait = Duration::zero()}));
}

// Reference model of the queued requests, independent of the queue's own
// bookkeeping.
struct Model {
  std::map<std::uint64_t, std::deque<QueueToken>> waiting;
  // Requests of other workspaces popped while the first one of a workspace was
  // queued.
  std::map<std::uint64_t, double> passed;

  std::size_t size() const {
    std::size_t count = 0;
    for (const auto& [workspace, tokens] : waiting) count += tokens.size();
    return count;
  }
  void Remove(QueueToken token) {
    auto& tokens = waiting[token / 1'000'000];
    const auto place = std::find(tokens.begin(), tokens.end(), token);
    REQUIRE(place != tokens.end());
    if (place == tokens.begin()) passed[token / 1'000'000] = 0;
    tokens.erase(place);
  }
};

TEST_CASE(
    "no workspace waits for more requests of others than the documented bound",
    "[fair_queue]") {
  constexpr std::uint64_t kWorkspaces = 6;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    std::vector<double> weights;
    for (std::uint64_t w = 0; w < kWorkspaces; ++w) {
      weights.push_back(0.2 + 3 * random.Unit());
    }
    FairQueue queue = MakeQueue({.limit = 40, .workspace_limit = 30});
    Model model;
    QueueToken next = 0;
    for (int step = 0; step < 1000; ++step) {
      const std::uint64_t w =
          random.Chance(0.5) ? 0 : random.Below(kWorkspaces);
      const QueueToken token = w * 1'000'000 + next++;
      if (random.Chance(0.55)) {
        const auto pushed =
            queue.Push(kStart, Workspace(w), weights[w], kFarDeadline, token);
        if (!pushed) continue;
        if (*pushed) model.Remove(**pushed);
        if (model.waiting[w].empty()) model.passed[w] = 0;
        model.waiting[w].push_back(token);
        continue;
      }
      if (random.Chance(0.1) && !model.waiting[w].empty()) {
        const QueueToken cancelled = model.waiting[w].back();
        REQUIRE(queue.Cancel(cancelled));
        model.Remove(cancelled);
        continue;
      }
      const auto popped = queue.Pop(kStart);
      REQUIRE(popped.has_value() == (model.size() > 0));
      if (!popped) continue;
      const std::uint64_t served = *popped / 1'000'000;
      // Only the first workspace has longer than mean slot times.
      const auto held = milliseconds(served == 0 ? 1 + random.Below(20) : 1);
      queue.Finish(Workspace(served), held);
      REQUIRE(model.waiting[served].front() == *popped);
      model.Remove(*popped);
      for (std::uint64_t i = 0; i < kWorkspaces; ++i) {
        if (i == served || i == 0 || model.waiting[i].empty()) continue;
        model.passed[i] += 1;
        double others = 0;
        for (std::uint64_t j = 0; j < kWorkspaces; ++j) {
          if (j != i) others += weights[j] + 1;
        }
        REQUIRE(model.passed[i] <= std::ceil(1 / weights[i]) * others);
      }
      REQUIRE(queue.size() == model.size());
    }
  }
}

}  // namespace
}  // namespace sapphirebank
