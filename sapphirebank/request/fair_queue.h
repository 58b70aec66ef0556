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
  // Maximum number of queued requests in total.
  std::size_t limit = 200;
  // Maximum number of queued requests of one workspace.
  std::size_t workspace_limit = 100;
  // Maximum queueing time of a request.
  Duration max_wait = std::chrono::seconds(2);
};

// Identifies a queued request; chosen by the user of the queue.
using QueueToken = std::uint64_t;

// A request that was removed without being served, and the reason.
struct QueueRefusal {
  QueueToken token = 0;
  ErrorKind kind = ErrorKind::kQueueTimeout;

  friend bool operator==(const QueueRefusal&, const QueueRefusal&) = default;
};

// Queue of the requests of one service that wait on one host for a slot,
// scheduled between workspaces by deficit round robin (Shreedhar and Varghese,
// 1996). A request costs one unit when it is popped; one that held its slot for
// longer than the mean charges its workspace for the difference afterwards, as
// a debt. When the queue is full, a request of the workspace with the most
// queued requests per unit of weight is dropped (longest queue drop), so that
// no workspace can keep another one out.
//
// While a workspace of weight w and debt d has a request queued, at most
// ceil((1 + d)/w) * sum(v + 1) requests of other workspaces are popped before
// its first one, where the sum is over the weights v of the other workspaces
// with queued requests.
//
// Push, Pop and Cancel take time logarithmic in the number of queued requests.
class FairQueue {
 public:
  // Weights are clamped to this range.
  static constexpr double kMinWeight = 0.1;
  static constexpr double kMaxWeight = 100;
  // Maximum debt of a workspace, in requests.
  static constexpr double kMaxDebt = 50;

  // Fails with kInvalidSettings when a limit or the maximum wait is zero.
  static Result<FairQueue> Create(FairQueueSettings settings);

  FairQueue(FairQueue&&) = default;
  FairQueue& operator=(FairQueue&&) = default;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;
  ~FairQueue() = default;

  // Adds a request that must be served before `deadline`. `token` must not be
  // queued already. Fails with kDeadlineTooShort or kQueueFull. Returns the
  // request that was dropped to make room, if any; the caller refuses it with
  // kQueueFull.
  Result<std::optional<QueueToken>> Push(Instant now,
                                         const WorkspaceId& workspace,
                                         double weight, Instant deadline,
                                         QueueToken token);

  // Removes and returns the next request to serve; nothing when the queue is
  // empty.
  std::optional<QueueToken> Pop(Instant now);

  // Reports that a request of `workspace` returned its slot after `held`, and
  // charges the workspace for a longer than mean slot time.
  void Finish(const WorkspaceId& workspace, Duration held);

  // Removes a request whose caller disconnected. Returns whether it was queued.
  bool Cancel(QueueToken token);

  // Removes and returns the expired requests: with kDeadlineTooShort when their
  // own deadline passed, with kQueueTimeout after the maximum wait.
  std::vector<QueueRefusal> ExpireDue(Instant now);

  // Returns when the next request expires; nothing when the queue is empty.
  std::optional<Instant> next_expiry() const;

  // Returns the longest time that a queued request has waited by `now`.
  Duration LongestWait(Instant now) const;

  // Returns the number of queued requests.
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

    // Queued requests per unit of weight.
    double Load() const { return static_cast<double>(tokens.size()) / weight; }
  };

  explicit FairQueue(const FairQueueSettings& settings) : settings_(settings) {}

  WorkspaceQueue& QueueOf(const WorkspaceId& workspace, double weight);
  // Applies `change` to a queue and updates its entry in `loads_`.
  template <typename Change>
  void UpdateLoad(WorkspaceQueue& queue, const Change& change);
  void Remove(QueueToken token);
  void MoveExpired(Instant now);
  // Returns the request to drop in favor of one of `queue`. Returns nothing
  // when no other workspace would still have the higher load.
  std::optional<QueueToken> Victim(const WorkspaceQueue& queue) const;
  void EndTurn();

  FairQueueSettings settings_;
  std::unordered_map<WorkspaceId, WorkspaceQueue> queues_;
  // Non-empty queues in round-robin order.
  std::list<WorkspaceQueue*> turns_;
  // Whether the first queue of `turns_` has received its quantum for this turn.
  bool turn_begun_ = false;
  std::unordered_map<QueueToken, Entry> entries_;
  std::set<std::pair<Instant, QueueToken>> expiries_;
  std::set<std::pair<double, WorkspaceId>> loads_;
  std::vector<QueueRefusal> expired_;
  // Exponential moving average of the time for which requests hold their slot.
  double mean_held_seconds_ = 0;
};

}  // namespace sapphirebank
