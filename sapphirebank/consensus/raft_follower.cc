#include <algorithm>
#include <cassert>

#include "sapphirebank/consensus/raft_node.h"

// The follower part of RaftNode.
namespace sapphirebank {

void RaftNode::RecordLeaderContact(Instant now, const PeerMessage& message) {
  assert(role_ != ControlRole::kLeader);
  ApplyEvent(Event::kLeaderHeard);
  leader_ = message.from;
  last_leader_contact_ = now;
  elections_without_leader_ = 0;
  ResetElectionDeadline(now);
}

void RaftNode::Handle(Instant now, const HostId& host,
                      const PeerMessage& message, const AppendRequest& body) {
  RecordLeaderContact(now, message);
  AppendResponse response = AppendFromLeader(body);
  response.round = body.round;
  Reply(host, message, response);
}

AppendResponse RaftNode::AppendFromLeader(const AppendRequest& body) {
  AppendResponse response;
  const LogPosition previous = body.previous;
  if (previous.index < commit_) {
    // Committed entries are the same on every node, so the log matches the
    // leader's at least up to there.
    response.accepted = true;
    response.match = commit_;
    return response;
  }
  if (previous.index > log_.last().index) {
    response.conflict = {log_.last().index + 1, 0};
    return response;
  }
  if (log_.TermAt(previous.index) != previous.term) {
    response.conflict = {log_.FirstIndexOfTermAt(previous.index),
                         *log_.TermAt(previous.index)};
    return response;
  }
  LogIndex match = previous.index;
  for (const LogEntry& entry : body.entries) {
    assert(entry.position.index == match + 1);
    ++match;
    if (match <= log_.last().index) {
      if (log_.TermAt(match) == entry.position.term) continue;
      TruncateFrom(match);
    }
    RecordMembership(entry);
    log_.Append(entry);
  }
  commit_ = std::max(commit_, std::min(body.commit, match));
  response.accepted = true;
  response.match = match;
  return response;
}

void RaftNode::Handle(Instant now, const HostId& host,
                      const PeerMessage& message, const SnapshotRequest& body) {
  RecordLeaderContact(now, message);
  if (body.last.index <= commit_) {
    AppendResponse response;
    response.accepted = true;
    response.match = commit_;
    response.round = body.round;
    Reply(host, message, response);
    return;
  }
  if (body.last != incoming_snapshot_position_) {
    incoming_snapshot_position_ = body.last;
    incoming_snapshot_data_.clear();
  }
  if (body.offset == incoming_snapshot_data_.size())
    incoming_snapshot_data_ += body.data;
  const std::uint64_t end = body.offset + body.data.size();
  if (body.done && incoming_snapshot_data_.size() == end) {
    auto snapshot = DecodeSnapshot(incoming_snapshot_data_);
    incoming_snapshot_data_.clear();
    if (snapshot) {
      InstallSnapshot(std::move(*snapshot));
      AppendResponse response;
      response.accepted = true;
      response.match = commit_;
      response.round = body.round;
      Reply(host, message, response);
      return;
    }
  }
  Reply(
      host, message,
      SnapshotResponse{body.last, incoming_snapshot_data_.size(), body.round});
}

void RaftNode::InstallSnapshot(Snapshot snapshot) {
  const LogPosition last = snapshot.last;
  const bool continues_log = log_.TermAt(last.index) == last.term;
  if (continues_log) {
    memberships_.erase(memberships_.begin(),
                       memberships_.upper_bound(last.index));
    if (last.index > log_.base().index) log_.DropThrough(last.index);
  } else {
    memberships_.clear();
    log_.Reset(last);
  }
  // The stored log can be kept only if the entry at the snapshot's position was
  // handed out for storage in its present form; the disk may still hold one
  // that has since been replaced in memory.
  const bool is_stored = continues_log && unstable_from_ > last.index;
  if (!is_stored) {
    drop_log_ = true;
    persisted_ = last.index;
    unstable_from_ = last.index + 1;
  }
  memberships_[last.index] = snapshot.membership;
  commit_ = last.index;
  snapshot_ = snapshot;
  installed_snapshot_ = std::move(snapshot);
}

}  // namespace sapphirebank
