#include "sapphirebank/consensus/raft_node.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace sapphirebank {
namespace {

constexpr auto kRoleNames = std::to_array<std::string_view>(
    {"follower", "pre_candidate", "candidate", "leader"});
constexpr auto kEventNames = std::to_array<std::string_view>(
    {"election_timeout", "pre_vote_won", "vote_won", "higher_term",
     "leader_heard", "quorum_lost"});

bool IsFromLeader(const PeerMessage& message) {
  return std::holds_alternative<AppendRequest>(message.body) ||
         std::holds_alternative<SnapshotRequest>(message.body);
}

}  // namespace

Result<RaftNode> RaftNode::Create(const RaftSettings& settings, NodeId self,
                                  RaftState state, Instant now,
                                  std::uint64_t seed) {
  auto chart = StateChart::Load("control_role", kRoleNames, kEventNames);
  if (!chart) return tl::unexpected(chart.error());
  return RaftNode(settings, std::move(self), std::move(state), now, seed,
                  std::move(*chart));
}

RaftNode::RaftNode(const RaftSettings& settings, NodeId self, RaftState state,
                   Instant now, std::uint64_t seed, StateChart chart)
    : settings_(settings),
      self_(std::move(self)),
      chart_(std::move(chart)),
      random_(seed),
      hard_state_(std::move(state.hard_state)),
      snapshot_(std::move(state.snapshot)),
      log_(snapshot_.last, {}),
      commit_(std::max(snapshot_.last.index, state.known_commit)),
      last_leader_contact_(now),
      next_heartbeat_(now),
      leader_since_(now) {
  memberships_[snapshot_.last.index] = snapshot_.membership;
  if (!state.entries.empty() &&
      state.entries.front().position.index <= snapshot_.last.index) {
    // Earlier entries, and with them their terms, are no longer stored.
    log_.Reset(state.entries.front().position);
  }
  for (LogEntry& entry : state.entries) {
    if (entry.position.index <= log_.last().index) continue;
    if (entry.position.index > snapshot_.last.index) RecordMembership(entry);
    log_.Append(std::move(entry));
  }
  persisted_ = log_.last().index;
  unstable_from_ = persisted_ + 1;
  SetElectionDeadline(now, settings_.first_election_timeout);
}

void RaftNode::Bootstrap(const GroupMembership& membership, Term first_term) {
  assert(IsEmpty() && membership.IsVoter(self_));
  SetTerm(std::max(hard_state_.term, first_term));
  AppendLocal(EntryKind::kMembership, EncodeCbor(membership));
}

void RaftNode::Tick(Instant now) {
  if (role_ == ControlRole::kLeader) {
    if (!HasQuorum(now)) {
      ApplyEvent(Event::kQuorumLost);
      ResetElectionDeadline(now);
      return;
    }
    last_leader_contact_ = now;
    ContinueTransfer(now);
    if (now >= next_heartbeat_) round_requested_ = true;
    return;
  }
  if (now >= election_deadline_ && membership().IsVoter(self_)) {
    StartElection(now, false);
  }
}

void RaftNode::Receive(Instant now, const HostId& host,
                       const PeerMessage& message) {
  if (message.to != self_) return;
  if (!ReconcileTerm(now, host, message)) return;
  // There is only one leader in a term.
  if (role_ == ControlRole::kLeader && IsFromLeader(message)) return;
  std::visit([&](const auto& body) { Handle(now, host, message, body); },
             message.body);
}

Result<LogPosition> RaftNode::Propose(std::string payload) {
  if (role_ != ControlRole::kLeader || transfer_deadline_) {
    return Fail(ErrorKind::kNotLeader, "this control host is not the leader");
  }
  AppendLocal(EntryKind::kCommand, std::move(payload));
  return log_.last();
}

Result<LogPosition> RaftNode::ProposeMembership(
    const GroupMembership& membership) {
  if (role_ != ControlRole::kLeader) {
    return Fail(ErrorKind::kNotLeader, "this control host is not the leader");
  }
  if (!CanChangeMembership() || !membership.IsVoter(self_)) {
    return Fail(
        ErrorKind::kRevisionConflict,
        "the control group cannot change its membership now: a change or a "
        "leadership transfer is pending, or this host would lose its vote");
  }
  AppendLocal(EntryKind::kMembership, EncodeCbor(membership));
  return log_.last();
}

RaftEffects RaftNode::TakeEffects(Instant now) {
  if (role_ == ControlRole::kLeader) Replicate(now);
  RaftEffects effects;
  if (std::exchange(hard_state_changed_, false)) {
    effects.hard_state = hard_state_;
  }
  effects.snapshot = std::exchange(installed_snapshot_, std::nullopt);
  effects.drop_log = std::exchange(drop_log_, false);
  for (; unstable_from_ <= log_.last().index; ++unstable_from_) {
    effects.entries.push_back(log_.At(unstable_from_));
  }
  effects.messages = std::exchange(messages_, {});
  return effects;
}

void RaftNode::OnPersisted() {
  persisted_ = unstable_from_ - 1;
  if (role_ == ControlRole::kLeader) AdvanceCommit();
}

void RaftNode::Compact(Snapshot snapshot, LogIndex through) {
  assert(snapshot.last.index <= commit_ && through <= snapshot.last.index);
  const GroupMembership at_snapshot = MembershipAt(snapshot.last.index);
  snapshot_ = std::move(snapshot);
  memberships_.erase(memberships_.begin(),
                     memberships_.upper_bound(snapshot_.last.index));
  memberships_[snapshot_.last.index] = at_snapshot;
  if (through > log_.base().index) log_.DropThrough(through);
}

const GroupMembership& RaftNode::MembershipAt(LogIndex index) const {
  auto after = memberships_.upper_bound(index);
  assert(after != memberships_.begin());
  return std::prev(after)->second;
}

bool RaftNode::CanChangeMembership() const {
  return role_ == ControlRole::kLeader && !transfer_deadline_ &&
         memberships_.rbegin()->first <= commit_ &&
         log_.TermAt(commit_) == hard_state_.term;
}

void RaftNode::ApplyEvent(Event event) {
  const auto next = chart_.Next(static_cast<StateChart::State>(role_),
                                static_cast<StateChart::Event>(event));
  assert(next);
  const auto role = static_cast<ControlRole>(*next);
  if (role_ == ControlRole::kLeader && role != role_) {
    progress_.clear();
    round_requested_ = false;
    transfer_deadline_.reset();
    leader_.reset();
  }
  role_ = role;
}

void RaftNode::Send(const HostId& host, const NodeId& to, Term term,
                    PeerMessageBody body) {
  messages_.push_back({host, {self_, to, term, std::move(body)}});
}

void RaftNode::Reply(const HostId& host, const PeerMessage& request,
                     PeerMessageBody body) {
  Send(host, request.from, hard_state_.term, std::move(body));
}

void RaftNode::SetTerm(Term term) {
  assert(term >= hard_state_.term);
  if (term == hard_state_.term) return;
  hard_state_ = {term, NodeId()};
  hard_state_changed_ = true;
  leader_.reset();
}

void RaftNode::ResetElectionDeadline(Instant now) {
  SetElectionDeadline(now, settings_.election_timeout);
}

void RaftNode::SetElectionDeadline(Instant now, Duration timeout) {
  const auto jitter_range = static_cast<std::uint64_t>(timeout.count());
  election_deadline_ =
      now + timeout +
      Duration(random_.Below(std::max<std::uint64_t>(jitter_range, 1)));
}

void RaftNode::AppendLocal(EntryKind kind, std::string payload) {
  LogEntry entry{
      {log_.last().index + 1, hard_state_.term}, kind, std::move(payload)};
  RecordMembership(entry);
  log_.Append(std::move(entry));
}

void RaftNode::RecordMembership(const LogEntry& entry) {
  if (entry.kind != EntryKind::kMembership) return;
  memberships_[entry.position.index] =
      nlohmann::json::from_cbor(entry.payload).get<GroupMembership>();
}

void RaftNode::TruncateFrom(LogIndex from) {
  assert(from > commit_);
  log_.TruncateFrom(from);
  memberships_.erase(memberships_.lower_bound(from), memberships_.end());
  unstable_from_ = std::min(unstable_from_, from);
  persisted_ = std::min(persisted_, from - 1);
}

}  // namespace sapphirebank
