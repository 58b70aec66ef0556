#include <algorithm>
#include <cassert>

#include "sapphirebank/consensus/raft_node.h"

// The leader part of RaftNode.
namespace sapphirebank {

RaftProgress* RaftNode::UpdateProgress(Instant now, const PeerMessage& message,
                                       std::uint64_t round) {
  if (role_ != ControlRole::kLeader) return nullptr;
  const auto found = progress_.find(message.from);
  if (found == progress_.end()) return nullptr;
  RaftProgress& progress = found->second;
  progress.last_contact = now;
  progress.acknowledged_round = std::max(progress.acknowledged_round, round);
  return &progress;
}

void RaftNode::Handle(Instant now, const HostId& /*host*/,
                      const PeerMessage& message, const AppendResponse& body) {
  RaftProgress* progress = UpdateProgress(now, message, body.round);
  if (progress == nullptr) return;
  if (body.accepted) {
    if (body.match > log_.last().index) return;
    progress->match_index = std::max(progress->match_index, body.match);
    progress->next_index =
        std::max(progress->next_index, progress->match_index + 1);
    if (progress->snapshot_transfer &&
        progress->match_index >= progress->snapshot_transfer->last.index)
      progress->snapshot_transfer.reset();
    AdvanceCommit();
    return;
  }
  // Ignores a refusal that is outdated: the follower has since acknowledged
  // these entries, or `next_index` is already at or below the conflict.
  if (body.conflict.index <= progress->match_index) return;
  if (body.conflict.index >= progress->next_index) return;
  LogIndex next = body.conflict.index;
  const LogIndex last_of_term = log_.LastIndexWithTermAtMost(
      body.conflict.term, progress->next_index - 1);
  if (log_.TermAt(last_of_term) == body.conflict.term) {
    next = std::max(next, last_of_term + 1);
  }
  progress->next_index =
      std::clamp(next, progress->match_index + 1, progress->next_index - 1);
}

void RaftNode::Handle(Instant now, const HostId& /*host*/,
                      const PeerMessage& message,
                      const SnapshotResponse& body) {
  RaftProgress* progress = UpdateProgress(now, message, body.round);
  if (progress == nullptr || !progress->snapshot_transfer) return;
  SnapshotTransfer& transfer = *progress->snapshot_transfer;
  if (body.last != transfer.last) return;
  if (body.next_offset == transfer.next_offset) return;
  transfer.next_offset =
      std::min<std::uint64_t>(body.next_offset, transfer.bytes->size());
  const GroupMember* member = membership().Find(message.from);
  if (member != nullptr) SendSnapshot(now, *member, *progress, true);
}

Result<std::uint64_t> RaftNode::StartReadRound() {
  if (role_ != ControlRole::kLeader) {
    return Fail(ErrorKind::kNotLeader, "this control host is not the leader");
  }
  round_requested_ = true;
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
    progress.next_index = log_.last().index + 1;
    progress.last_contact = now;
    progress_[member.node] = progress;
  }
}

std::vector<PeerEnvelope> RaftNode::TakeEarlyMessages(Instant now) {
  // A term or vote must not be sent before it is durable.
  if (role_ != ControlRole::kLeader || hard_state_changed_) return {};
  Replicate(now);
  std::vector<PeerEnvelope> early;
  std::vector<PeerEnvelope> late;
  for (PeerEnvelope& envelope : messages_) {
    const bool can_send_early =
        std::holds_alternative<AppendRequest>(envelope.message.body);
    (can_send_early ? early : late).push_back(std::move(envelope));
  }
  messages_ = std::move(late);
  return early;
}

void RaftNode::Replicate(Instant now) {
  SyncProgressWithMembership(now);
  if (round_requested_) {
    Broadcast(now);
    return;
  }
  for (const GroupMember& member : membership().members()) {
    const auto found = progress_.find(member.node);
    if (found == progress_.end()) continue;
    RaftProgress& progress = found->second;
    if (progress.snapshot_transfer || progress.next_index > log_.last().index)
      continue;
    if (MaySendEntries(progress)) SendAppend(now, member, progress);
  }
}

// What a follower that does not read has not acknowledged is kept for it on its
// link.
bool RaftNode::MaySendEntries(const RaftProgress& progress) const {
  const LogIndex limit =
      progress.match_index + settings_.max_unacknowledged_entries;
  if (progress.next_index > limit) return false;
  const LogIndex from = std::max(progress.match_index, log_.base().index);
  const LogIndex sent = progress.next_index - 1;
  return sent <= from ||
         log_.BytesBetween(from, sent) < settings_.max_unacknowledged_bytes;
}

void RaftNode::Broadcast(Instant now) {
  round_requested_ = false;
  next_heartbeat_ = now + settings_.heartbeat_interval;
  ++round_;
  // Its vote for a successor tells when the last round began.
  last_leader_contact_ = now;
  for (const GroupMember& member : membership().members()) {
    const auto found = progress_.find(member.node);
    if (found != progress_.end()) SendAppend(now, member, found->second);
  }
}

void RaftNode::SendAppend(Instant now, const GroupMember& member,
                          RaftProgress& progress) {
  if (progress.snapshot_transfer || progress.next_index <= log_.base().index) {
    SendSnapshot(now, member, progress, false);
    return;
  }
  AppendRequest request;
  request.previous = {progress.next_index - 1,
                      *log_.TermAt(progress.next_index - 1)};
  if (MaySendEntries(progress)) {
    request.entries =
        log_.Slice(progress.next_index, settings_.max_append_bytes);
  }
  request.commit = commit_;
  request.round = round_;
  progress.next_index += request.entries.size();
  Send(member.host, member.node, hard_state_.term, std::move(request));
}

// Followers that need the same snapshot share its encoded form.
SnapshotTransfer RaftNode::StartSnapshotTransfer(Instant now) const {
  SnapshotTransfer transfer;
  transfer.last = snapshot_.last;
  transfer.sent_at = now - settings_.election_timeout;
  for (const auto& [node, progress] : progress_) {
    const auto& other = progress.snapshot_transfer;
    if (other && other->last == snapshot_.last) transfer.bytes = other->bytes;
  }
  if (!transfer.bytes) {
    transfer.bytes =
        std::make_shared<const std::string>(EncodeSnapshot(snapshot_));
  }
  return transfer;
}

void RaftNode::SendSnapshot(Instant now, const GroupMember& member,
                            RaftProgress& progress, bool resend) {
  if (!progress.snapshot_transfer) {
    progress.snapshot_transfer = StartSnapshotTransfer(now);
  }
  SnapshotTransfer& transfer = *progress.snapshot_transfer;
  SnapshotRequest request;
  request.last = transfer.last;
  request.offset = transfer.next_offset;
  request.round = round_;
  // Until the next part is due, an empty one serves as a heartbeat.
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
      matches.push_back(found == progress_.end() ? 0
                                                 : found->second.match_index);
    }
  }
  const std::size_t quorum = membership().Quorum();
  if (matches.size() < quorum) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex index = matches[quorum - 1];
  // Only an entry of the current term may be committed by counting replicas
  // (section 5.4.2 of the Raft paper).
  if (index > commit_ && log_.TermAt(index) == hard_state_.term) {
    commit_ = index;
  }
}

bool RaftNode::HasQuorum(Instant now) const {
  std::size_t count = 0;
  for (const GroupMember& member : membership().members()) {
    if (!member.voter) continue;
    const auto found = progress_.find(member.node);
    const bool has_recent_contact =
        member.node == self_ || found == progress_.end() ||
        now - found->second.last_contact < settings_.election_timeout;
    if (has_recent_contact) ++count;
  }
  return count >= membership().Quorum();
}

std::vector<NodeId> RaftNode::UnresponsiveVoters(Instant now,
                                                 Duration min_silence) const {
  std::vector<NodeId> nodes;
  for (const auto& [node, progress] : progress_) {
    if (membership().IsVoter(node) &&
        now - progress.last_contact >= min_silence) {
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
    const bool has_recent_contact =
        now - progress.last_contact < settings_.election_timeout;
    if (has_recent_contact && progress.match_index >= commit_)
      nodes.push_back(node);
  }
  return nodes;
}

void RaftNode::TransferLeadership(Instant now) {
  if (role_ != ControlRole::kLeader) return;
  transfer_deadline_ = now + settings_.election_timeout;
  ContinueTransfer(now);
}

std::vector<PeerEnvelope> RaftNode::Resign() {
  if (role_ != ControlRole::kLeader) return {};
  const GroupMember* successor = nullptr;
  std::pair<LogIndex, Instant> longest;
  for (const auto& [node, progress] : progress_) {
    const GroupMember* member = membership().Find(node);
    if (member == nullptr || !member->voter) continue;
    // Of voters with equal logs, the one heard last is the likeliest to run.
    const std::pair candidate(progress.match_index, progress.last_contact);
    if (successor != nullptr && candidate <= longest) continue;
    successor = member;
    longest = candidate;
  }
  std::vector<PeerEnvelope> messages;
  if (successor != nullptr) {
    messages.push_back(
        {successor->host,
         {self_, successor->node, hard_state_.term, TimeoutNow{}}});
  }
  ApplyEvent(Event::kQuorumLost);
  return messages;
}

void RaftNode::ContinueTransfer(Instant now) {
  if (!transfer_deadline_) return;
  if (now >= *transfer_deadline_) {
    transfer_deadline_.reset();
    return;
  }
  for (const auto& [node, progress] : progress_) {
    const GroupMember* member = membership().Find(node);
    if (member == nullptr || !member->voter) continue;
    if (progress.match_index != log_.last().index) continue;
    Send(member->host, node, hard_state_.term, TimeoutNow{});
    return;
  }
}

}  // namespace sapphirebank
