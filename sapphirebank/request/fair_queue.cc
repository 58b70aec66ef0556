#include "sapphirebank/request/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace sapphirebank {
namespace {

// Smoothing factor of the moving average of slot times.
constexpr double kMeanSlotTimeGain = 1.0 / 64;

}  // namespace

Result<FairQueue> FairQueue::Create(FairQueueSettings settings) {
  const bool valid = settings.limit > 0 && settings.workspace_limit > 0 &&
                     settings.max_wait > Duration::zero();
  if (!valid) {
    return Fail(ErrorKind::kInvalidSettings,
                "queue: limit, workspace_limit and max_wait must be positive");
  }
  return FairQueue(settings);
}

Result<std::optional<QueueToken>> FairQueue::Push(Instant now,
                                                  const WorkspaceId& workspace,
                                                  double weight,
                                                  Instant deadline,
                                                  QueueToken token) {
  assert(entries_.count(token) == 0);
  if (deadline <= now) {
    return Fail(ErrorKind::kDeadlineTooShort,
                "the deadline passed before the request could be queued");
  }
  MoveExpired(now);
  WorkspaceQueue& queue = QueueOf(workspace, weight);
  std::optional<QueueToken> victim;
  bool full = queue.tokens.size() >= settings_.workspace_limit;
  if (!full && entries_.size() >= settings_.limit) {
    victim = Victim(queue);
    full = !victim;
  }
  if (full) {
    if (queue.tokens.empty()) queues_.erase(workspace);
    return Fail(ErrorKind::kQueueFull, "the request queue is full");
  }
  if (victim) Remove(*victim);
  Entry entry;
  entry.queue = &queue;
  entry.pushed = now;
  entry.expiry = std::min(deadline, now + settings_.max_wait);
  entry.expiry_kind = deadline <= entry.expiry ? ErrorKind::kDeadlineTooShort
                                               : ErrorKind::kQueueTimeout;
  UpdateLoad(queue, [&] { queue.tokens.push_back(token); });
  entry.position = std::prev(queue.tokens.end());
  if (queue.tokens.size() == 1) {
    queue.turn = turns_.insert(turns_.end(), &queue);
  }
  expiries_.emplace(entry.expiry, token);
  entries_.emplace(token, entry);
  return victim;
}

std::optional<QueueToken> FairQueue::Pop(Instant now) {
  MoveExpired(now);
  while (!turns_.empty()) {
    WorkspaceQueue& queue = *turns_.front();
    if (!turn_begun_) {
      queue.deficit += queue.weight;
      turn_begun_ = true;
    }
    if (queue.deficit < 1) {
      EndTurn();
      continue;
    }
    queue.deficit -= 1;
    const QueueToken token = queue.tokens.front();
    Remove(token);
    return token;
  }
  return std::nullopt;
}

void FairQueue::Finish(const WorkspaceId& workspace, Duration held) {
  const double seconds = ToSeconds(held);
  if (seconds <= 0) return;
  if (mean_held_seconds_ <= 0) mean_held_seconds_ = seconds;
  const double cost = seconds / mean_held_seconds_;
  mean_held_seconds_ += kMeanSlotTimeGain * (seconds - mean_held_seconds_);
  const auto found = queues_.find(workspace);
  if (found == queues_.end()) return;
  WorkspaceQueue& queue = found->second;
  // Requests shorter than the mean earn no credit: it would break the bound
  // that the class documents.
  queue.deficit = std::max(-kMaxDebt, queue.deficit - std::max(0.0, cost - 1));
}

bool FairQueue::Cancel(QueueToken token) {
  if (entries_.count(token) == 0) return false;
  Remove(token);
  return true;
}

std::vector<QueueRefusal> FairQueue::ExpireDue(Instant now) {
  MoveExpired(now);
  return std::exchange(expired_, {});
}

std::optional<Instant> FairQueue::next_expiry() const {
  if (expiries_.empty()) return std::nullopt;
  return expiries_.begin()->first;
}

Duration FairQueue::LongestWait(Instant now) const {
  Duration longest = Duration::zero();
  for (const WorkspaceQueue* queue : turns_) {
    const Entry& first = entries_.at(queue->tokens.front());
    longest = std::max(longest, now - first.pushed);
  }
  return longest;
}

FairQueue::WorkspaceQueue& FairQueue::QueueOf(const WorkspaceId& workspace,
                                              double weight) {
  WorkspaceQueue& queue = queues_[workspace];
  queue.workspace = workspace;
  const double bounded = std::clamp(weight, kMinWeight, kMaxWeight);
  UpdateLoad(queue, [&] { queue.weight = bounded; });
  return queue;
}

template <typename Change>
void FairQueue::UpdateLoad(WorkspaceQueue& queue, const Change& change) {
  loads_.erase({queue.Load(), queue.workspace});
  change();
  if (!queue.tokens.empty()) loads_.emplace(queue.Load(), queue.workspace);
}

void FairQueue::Remove(QueueToken token) {
  const auto found = entries_.find(token);
  assert(found != entries_.end());
  const Entry entry = found->second;
  WorkspaceQueue& queue = *entry.queue;
  expiries_.erase({entry.expiry, token});
  entries_.erase(found);
  UpdateLoad(queue, [&] { queue.tokens.erase(entry.position); });
  if (!queue.tokens.empty()) return;
  if (queue.turn == turns_.begin()) turn_begun_ = false;
  turns_.erase(queue.turn);
  queues_.erase(WorkspaceId(queue.workspace));
}

void FairQueue::MoveExpired(Instant now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const QueueToken token = expiries_.begin()->second;
    expired_.push_back({token, entries_.at(token).expiry_kind});
    Remove(token);
  }
}

std::optional<QueueToken> FairQueue::Victim(const WorkspaceQueue& queue) const {
  assert(!loads_.empty());
  const WorkspaceQueue& longest = queues_.at(loads_.rbegin()->second);
  const double load_after =
      static_cast<double>(queue.tokens.size() + 1) / queue.weight;
  if (&longest == &queue || longest.Load() <= load_after) return std::nullopt;
  return longest.tokens.back();
}

void FairQueue::EndTurn() {
  turns_.splice(turns_.end(), turns_, turns_.begin());
  turn_begun_ = false;
}

}  // namespace sapphirebank
