#include <algorithm>
#include <cassert>

#include "sapphirebank/consensus/raft_node.h"

// How RaftNode leads.
namespace sapphirebank {

RaftProgress* RaftNode::ProgressOf(Instant now, const PeerMessage& message,
                                   std::uint64_t round) {
  if (role_ != ControlRole::kLeader) return nullptr;
  const auto found = progress_.find(message.from);
  if (found == progress_.end()) return nullptr;
  RaftProgress& progress = found->second;
  progress.heard_at = now;
  progress.acknowledged_round = std::max(progress.acknowledged_round, round);
  return &progress;
}

void RaftNode::Handle(Instant now, const HostId& /*host*/,
                      const PeerMessage& message, const AppendResponse& body) {
  RaftProgress* progress = ProgressOf(now, message, body.round);
  if (progress == nullptr) return;
  if (body.accepted) {
    if (body.match > log_.last().index) return;
    progress->match = std::max(progress->match, body.match);
    progress->next = std::max(progress->next, progress->match + 1);
    if (progress->transfer && progress->match >= progress->transfer->last.index)
      progress->transfer.reset();
    AdvanceCommit();
    return;
  }
  // An old refusal that the follower has overtaken, or one that teaches
  // nothing new.
  if (body.conflict.index <= progress->match) return;
  if (body.conflict.index >= progress->next) return;
  LogIndex next = body.conflict.index;
  const LogIndex last_of_term =
      log_.LastIndexWithTermAtMost(body.conflict.term, progress->next - 1);
  if (log_.TermAt(last_of_term) == body.conflict.term) {
    next = std::max(next, last_of_term + 1);
  }
  progress->next = std::clamp(next, progress->match + 1, progress->next - 1);
}

void RaftNode::Handle(Instant now, const HostId& /*host*/,
                      const PeerMessage& message,
                      const SnapshotResponse& body) {
  RaftProgress* progress = ProgressOf(now, message, body.round);
  if (progress == nullptr || !progress->transfer) return;
  SnapshotTransfer& transfer = *progress->transfer;
  if (body.last != transfer.last) return;
  if (body.next_offset == transfer.next_offset) return;
  transfer.next_offset =
      std::min<std::uint64_t>(body.next_offset, transfer.bytes->size());
  const GroupMember* member = membership().Find(message.from);
  if (member != nullptr) SendSnapshot(now, *member, *progress, true);
}

void RaftNode::Handle(Instant /*now*/, const HostId& host,
                      const PeerMessage& message, const Hello& body) {
  if (body.answer) return;
  Send(host, message.from, hard_state_.term, Hello{IsEmpty(), true});
}

Result<std::uint64_t> RaftNode::StartReadRound() {
  if (role_ != ControlRole::kLeader) {
    return Fail(ErrorKind::kNotLeader, "this control host does not lead");
  }
  round_wanted_ = true;
  return round_ + 1;
}

bool RaftNode::IsRoundConfirmed(std::uint64_t round) const {
  if (role_ != ControlRole::kLeader || round > round_) return false;
  if (log_.TermAt(commit_) != hard_state_.term) return false;
  std::size_t count = 0;
  for (const GroupMember& member : membership().members()) {
    if (!member.voter) continue;
    const auto found = progress_.find(member.node);
    const bool is_confirmed =
        member.node == self_ ||
        (found != progress_.end() && found->second.acknowledged_round >= round);
    if (is_confirmed) ++count;
  }
  return count >= membership().Quorum();
}

void RaftNode::SyncProgressWithMembership(Instant now) {
  std::erase_if(progress_, [&](const auto& item) {
    return membership().Find(item.first) == nullptr;
  });
  for (const GroupMember& member : membership().members()) {
    if (member.node == self_ || progress_.contains(member.node)) continue;
    RaftProgress progress;
    progress.next = log_.last().index + 1;
    progress.heard_at = now;
    progress_[member.node] = progress;
  }
}

std::vector<PeerEnvelope> RaftNode::TakeEarlyMessages(Instant now) {
  // A term or vote that is not on disk yet must not be told.
  if (role_ != ControlRole::kLeader || hard_state_changed_) return {};
  Replicate(now);
  std::vector<PeerEnvelope> early;
  std::vector<PeerEnvelope> late;
  for (PeerEnvelope& envelope : messages_) {
    const bool is_early =
        std::holds_alternative<AppendRequest>(envelope.message.body);
    (is_early ? early : late).push_back(std::move(envelope));
  }
  messages_ = std::move(late);
  return early;
}

void RaftNode::Replicate(Instant now) {
  SyncProgressWithMembership(now);
  if (round_wanted_) {
    Broadcast(now);
    return;
  }
  for (const GroupMember& member : membership().members()) {
    const auto found = progress_.find(member.node);
    if (found == progress_.end()) continue;
    RaftProgress& progress = found->second;
    if (progress.transfer || progress.next > log_.last().index) continue;
    const LogIndex limit =
        progress.match + settings_.max_unacknowledged_entries;
    if (progress.next <= limit) SendAppend(now, member, progress);
  }
}

void RaftNode::Broadcast(Instant now) {
  round_wanted_ = false;
  next_heartbeat_ = now + settings_.heartbeat_interval;
  ++round_;
  for (const GroupMember& member : membership().members()) {
    const auto found = progress_.find(member.node);
    if (found != progress_.end()) SendAppend(now, member, found->second);
  }
}

void RaftNode::SendAppend(Instant now, const GroupMember& member,
                          RaftProgress& progress) {
  if (progress.transfer || progress.next <= log_.base().index) {
    SendSnapshot(now, member, progress, false);
    return;
  }
  AppendRequest request;
  request.previous = {progress.next - 1, *log_.TermAt(progress.next - 1)};
  request.entries = log_.Slice(progress.next, settings_.max_append_bytes);
  request.commit = commit_;
  request.round = round_;
  progress.next += request.entries.size();
  Send(member.host, member.node, hard_state_.term, std::move(request));
}

void RaftNode::SendSnapshot(Instant now, const GroupMember& member,
                            RaftProgress& progress, bool resend) {
  if (!progress.transfer) {
    progress.transfer = SnapshotTransfer{
        snapshot_.last,
        std::make_shared<const std::string>(EncodeSnapshot(snapshot_)), 0,
        now - settings_.election_timeout};
  }
  SnapshotTransfer& transfer = *progress.transfer;
  SnapshotRequest request;
  request.last = transfer.last;
  request.offset = transfer.next_offset;
  request.round = round_;
  // Between the parts an empty one serves as a heartbeat.
  const bool is_due =
      resend || now - transfer.sent_at >= settings_.election_timeout;
  if (is_due) {
    request.data = transfer.bytes->substr(transfer.next_offset,
                                          settings_.snapshot_chunk_bytes);
    request.done =
        request.offset + request.data.size() == transfer.bytes->size();
    transfer.sent_at = now;
  }
  Send(member.host, member.node, hard_state_.term, std::move(request));
}

void RaftNode::AdvanceCommit() {
  std::vector<LogIndex> matches;
  for (const GroupMember& member : membership().members()) {
    if (!member.voter) continue;
    const auto found = progress_.find(member.node);
    if (member.node == self_) {
      matches.push_back(persisted_);
    } else {
      matches.push_back(found == progress_.end() ? 0 : found->second.match);
    }
  }
  const std::size_t quorum = membership().Quorum();
  if (matches.size() < quorum) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex index = matches[quorum - 1];
  // Only entries of the own term are committed by counting (section 5.4.2).
  if (index > commit_ && log_.TermAt(index) == hard_state_.term) {
    commit_ = index;
  }
}

bool RaftNode::HasQuorum(Instant now) const {
  std::size_t count = 0;
  for (const GroupMember& member : membership().members()) {
    if (!member.voter) continue;
    const auto found = progress_.find(member.node);
    const bool is_heard =
        member.node == self_ || found == progress_.end() ||
        now - found->second.heard_at < settings_.election_timeout;
    if (is_heard) ++count;
  }
  return count >= membership().Quorum();
}

std::vector<NodeId> RaftNode::UnresponsiveVoters(Instant now,
                                                 Duration silence) const {
  std::vector<NodeId> nodes;
  for (const auto& [node, progress] : progress_) {
    if (membership().IsVoter(node) && now - progress.heard_at >= silence) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<NodeId> RaftNode::CaughtUpLearners(Instant now) const {
  std::vector<NodeId> nodes;
  for (const auto& [node, progress] : progress_) {
    const GroupMember* member = membership().Find(node);
    if (member == nullptr || member->voter) continue;
    const bool is_heard = now - progress.heard_at < settings_.election_timeout;
    if (is_heard && progress.match >= commit_) nodes.push_back(node);
  }
  return nodes;
}

void RaftNode::TransferLeadership(Instant now) {
  if (role_ != ControlRole::kLeader) return;
  transfer_until_ = now + settings_.election_timeout;
  ContinueTransfer(now);
}

void RaftNode::ContinueTransfer(Instant now) {
  if (!transfer_until_) return;
  if (now >= *transfer_until_) {
    transfer_until_.reset();
    return;
  }
  for (const auto& [node, progress] : progress_) {
    const GroupMember* member = membership().Find(node);
    if (member == nullptr || !member->voter) continue;
    if (progress.match != log_.last().index) continue;
    Send(member->host, node, hard_state_.term, TimeoutNow{});
    return;
  }
}

}  // namespace sapphirebank
