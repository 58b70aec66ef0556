#include <algorithm>
#include <cassert>

#include "sapphirebank/consensus/raft_node.h"

// The election part of RaftNode.
namespace sapphirebank {
namespace {

// Returns whether a log that ends at `a` is at least as up to date as one that
// ends at `b` (section 5.4.1 of the Raft paper).
bool IsAtLeastAsUpToDate(LogPosition a, LogPosition b) {
  return a.term != b.term ? a.term > b.term : a.index >= b.index;
}

}  // namespace

void RaftNode::StartElection(Instant now, bool transfer) {
  ApplyEvent(Event::kElectionTimeout);
  SetElectionDeadline(now, RetryTimeout());
  ++elections_without_leader_;
  leader_.reset();
  votes_.clear();
  if (transfer) {
    ApplyEvent(Event::kPreVoteWon);
    RequestVotes(now, true);
    return;
  }
  for (const GroupMember& member : membership().members()) {
    if (!member.voter || member.node == self_) continue;
    Send(member.host, member.node, hard_state_.term + 1,
         VoteRequest{true, false, log_.last()});
  }
  CountVote(now, self_, last_leader_contact_);
}

// The silence of the leader has been waited out, so a vote without a winner is
// repeated sooner, unless that happens again and again.
Duration RaftNode::RetryTimeout() const {
  constexpr int kMaxDoublings = 8;
  const int doublings = std::min(elections_without_leader_, kMaxDoublings);
  return std::min<Duration>(
      settings_.election_timeout,
      settings_.first_election_timeout * (1 << doublings));
}

void RaftNode::RequestVotes(Instant now, bool transfer) {
  SetTerm(hard_state_.term + 1);
  hard_state_.vote = self_;
  votes_.clear();
  former_rounds_end_ = last_leader_contact_;
  for (const GroupMember& member : membership().members()) {
    if (!member.voter || member.node == self_) continue;
    Send(member.host, member.node, hard_state_.term,
         VoteRequest{false, transfer, log_.last()});
  }
  CountVote(now, self_, last_leader_contact_);
}

void RaftNode::CountVote(Instant now, const NodeId& voter,
                         Instant leader_heard_at) {
  if (membership().IsVoter(voter)) votes_.insert(voter);
  former_rounds_end_ = std::max(former_rounds_end_, leader_heard_at);
  if (votes_.size() < membership().Quorum()) return;
  if (role_ == ControlRole::kPreCandidate) {
    ApplyEvent(Event::kPreVoteWon);
    RequestVotes(now, false);
  } else if (role_ == ControlRole::kCandidate) {
    ApplyEvent(Event::kVoteWon);
    BecomeLeader(now);
  }
}

void RaftNode::BecomeLeader(Instant now) {
  assert(hard_state_.vote == self_);
  leader_ = self_;
  last_leader_contact_ = now;
  elections_without_leader_ = 0;
  leader_since_ = now;
  next_heartbeat_ = now;
  round_requested_ = true;
  progress_.clear();
  SyncProgressWithMembership(now);
  AppendLocal(EntryKind::kNoOp, {});
}

bool RaftNode::HasLiveLeader(Instant now) const {
  if (role_ == ControlRole::kLeader) return true;
  return leader_ && now - last_leader_contact_ < settings_.election_timeout;
}

bool RaftNode::ReconcileTerm(Instant now, const HostId& host,
                             const PeerMessage& message) {
  const auto* request = std::get_if<VoteRequest>(&message.body);
  const auto* response = std::get_if<VoteResponse>(&message.body);
  if (message.term < hard_state_.term) {
    // Informs a stale leader or candidate of the current term.
    if (request != nullptr) {
      Reply(host, message, VoteResponse{request->pre_vote, false});
    } else if (std::holds_alternative<AppendRequest>(message.body) ||
               std::holds_alternative<SnapshotRequest>(message.body)) {
      Reply(host, message, AppendResponse{});
    }
    return false;
  }
  if (message.term == hard_state_.term) return true;
  // A pre-vote request carries a term that no node has entered yet.
  if (request != nullptr && request->pre_vote) return true;
  if (response != nullptr && response->pre_vote && response->granted) {
    return true;
  }
  // While there is contact with a leader, a candidate must not depose it
  // (section 4.2.3 of Ongaro's dissertation).
  if (request != nullptr && !request->transfer && HasLiveLeader(now)) {
    return false;
  }
  SetTerm(message.term);
  ApplyEvent(Event::kHigherTerm);
  return true;
}

void RaftNode::Handle(Instant now, const HostId& host,
                      const PeerMessage& message, const VoteRequest& body) {
  const bool is_up_to_date = IsAtLeastAsUpToDate(body.last, log_.last());
  if (body.pre_vote) {
    const bool granted =
        is_up_to_date && !HasLiveLeader(now) && message.term > hard_state_.term;
    Send(host, message.from, granted ? message.term : hard_state_.term,
         VoteResponse{true, granted});
    return;
  }
  const bool has_vote_available =
      hard_state_.vote.empty() || hard_state_.vote == message.from;
  const bool granted =
      has_vote_available && is_up_to_date && role_ == ControlRole::kFollower;
  if (granted && hard_state_.vote.empty()) {
    hard_state_.vote = message.from;
    hard_state_changed_ = true;
  }
  if (granted) ResetElectionDeadline(now);
  // The leader that asked the candidate to stand is gone, and a leader is
  // needed that has what this node has.
  if (body.transfer && !is_up_to_date) {
    SetElectionDeadline(now, settings_.heartbeat_interval / 4);
  }
  VoteResponse response{false, granted};
  if (granted) response.leader_silence = now - last_leader_contact_;
  Reply(host, message, response);
}

void RaftNode::Handle(Instant now, const HostId& /*host*/,
                      const PeerMessage& message, const VoteResponse& body) {
  if (!body.granted) return;
  if (body.pre_vote) {
    const bool is_current = role_ == ControlRole::kPreCandidate &&
                            message.term == hard_state_.term + 1;
    if (is_current) CountVote(now, message.from, last_leader_contact_);
    return;
  }
  if (role_ != ControlRole::kCandidate) return;
  CountVote(now, message.from, now - body.leader_silence.value_or(Duration()));
}

void RaftNode::Handle(Instant now, const HostId& /*host*/,
                      const PeerMessage& /*message*/,
                      const TimeoutNow& /*body*/) {
  if (role_ == ControlRole::kLeader || !membership().IsVoter(self_)) return;
  StartElection(now, true);
}

}  // namespace sapphirebank
