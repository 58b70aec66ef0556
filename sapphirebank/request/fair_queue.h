#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct FairQueueSettings {
  // Requests that may wait in all.
  std::size_t limit = 200;
  // Requests of one workspace that may wait.
  std::size_t workspace_limit = 100;
  // Longest wait of a request.
  Duration max_wait = std::chrono::seconds(2);
};

// The caller's name for a waiting request.
using QueueToken = std::uint64_t;

// A request that left the queue without being served, and why.
struct QueueRefusal {
  QueueToken token = 0;
  ErrorKind kind = ErrorKind::kQueueTimeout;

  friend bool operator==(const QueueRefusal&, const QueueRefusal&) = default;
};

// Requests of one service that wait on one host for a slot, shared fairly
// between workspaces by deficit round robin (Shreedhar and Varghese, 1996). A
// request costs one unit at first; one that held its slot longer than others
// leaves its workspace a debt for the difference. When the queue is full, a
// request of the workspace with the most waiting requests for its weight makes
// room (longest queue drop), so that no workspace can keep another one out.
//
// While a workspace of weight w and debt d has a request waiting, at most
// ceil((1 + d)/w) * sum(v + 1) requests of others are popped before its first
// one, the sum being over the weights v of the other waiting workspaces.
//
// Push, Pop and Cancel take time logarithmic in the number of waiting
// requests.
class FairQueue {
 public:
  // Weights outside of these are taken for the nearest one.
  static constexpr double kMinWeight = 0.1;
  static constexpr double kMaxWeight = 100;
  // Largest debt of a workspace, in requests.
  static constexpr double kMaxDebt = 50;

  // Fails with kInvalidSettings when a limit or the longest wait is zero.
  static Result<FairQueue> Create(FairQueueSettings settings);

  FairQueue(FairQueue&&) = default;
  FairQueue& operator=(FairQueue&&) = default;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;
  ~FairQueue() = default;

  // Adds a request that must be served before `deadline`. `token` must not be
  // waiting. Fails with kDeadlineTooShort or kQueueFull. Returns the request
  // that had to make room for it, if there was one: it ends with kQueueFull.
  Result<std::optional<QueueToken>> Push(Instant now,
                                         const WorkspaceId& workspace,
                                         double weight, Instant deadline,
                                         QueueToken token);

  // Removes the next request to serve and returns it, or nothing when none
  // waits.
  std::optional<QueueToken> Pop(Instant now);

  // Tells that a request of `workspace` gave its slot back after `held`.
  void Finish(const WorkspaceId& workspace, Duration held);

  // Removes a request whose caller went away. Returns whether it waited.
  bool Cancel(QueueToken token);

  // Returns the requests whose time is over, which no longer wait: with
  // kDeadlineTooShort when their own deadline passed, else kQueueTimeout.
  std::vector<QueueRefusal> ExpireDue(Instant now);

  // Returns when ExpireDue() has something to do next.
  std::optional<Instant> next_expiry() const;

  // Returns the longest present wait of any workspace.
  Duration LongestWait(Instant now) const;

  // Returns how many requests wait.
  std::size_t size() const { return entries_.size(); }

 private:
  struct WorkspaceQueue;
  struct Entry {
    WorkspaceQueue* queue = nullptr;
    std::list<QueueToken>::iterator position;
    Instant pushed;
    Instant expiry;
    ErrorKind expiry_kind = ErrorKind::kQueueTimeout;
  };
  struct WorkspaceQueue {
    WorkspaceId workspace;
    double weight = 1;
    double deficit = 0;
    std::list<QueueToken> tokens;
    std::list<WorkspaceQueue*>::iterator turn;

    // Waiting requests for each unit of weight.
    double Load() const { return static_cast<double>(tokens.size()) / weight; }
  };

  explicit FairQueue(const FairQueueSettings& settings) : settings_(settings) {}

  WorkspaceQueue& QueueOf(const WorkspaceId& workspace, double weight);
  // Changes a queue by `change` and keeps `loads_` in step.
  template <typename Change>
  void UpdateLoad(WorkspaceQueue& queue, const Change& change);
  void Remove(QueueToken token);
  void MoveExpired(Instant now);
  // Returns the request that has to make room for one of `queue`, if any has.
  std::optional<QueueToken> Victim(const WorkspaceQueue& queue) const;
  void EndTurn();

  FairQueueSettings settings_;
  std::unordered_map<WorkspaceId, WorkspaceQueue> queues_;
  // The queues that hold requests, in the order of their turns.
  std::list<WorkspaceQueue*> turns_;
  // Whether the first queue of `turns_` got its share of this turn.
  bool turn_begun_ = false;
  std::unordered_map<QueueToken, Entry> entries_;
  std::set<std::pair<Instant, QueueToken>> expiries_;
  std::set<std::pair<double, WorkspaceId>> loads_;
  std::vector<QueueRefusal> expired_;
  // Moving average of the time that a request holds its slot.
  double mean_held_seconds_ = 0;
};

}  // namespace sapphirebank
