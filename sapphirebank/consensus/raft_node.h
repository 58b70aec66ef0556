#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/consensus/membership.h"
#include "sapphirebank/consensus/peer_message.h"
#include "sapphirebank/consensus/raft_log.h"
#include "sapphirebank/consensus/raft_progress.h"
#include "sapphirebank/consensus/snapshot.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/state_chart.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct RaftSettings {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  // A follower that hears no leader stands for election after one to two of
  // these; a leader that hears no majority for one steps down.
  Duration election_timeout = std::chrono::milliseconds(600);
  // The same for a node that has just started and so need not wait out a
  // leader that it heard. The pre-vote keeps it from disturbing one.
  Duration first_election_timeout = std::chrono::milliseconds(600);
  std::size_t max_append_bytes = 256UL << 10;
  std::size_t snapshot_chunk_bytes = 256UL << 10;
  // Entries sent to a follower before it acknowledges any of them.
  std::uint64_t max_unacknowledged_entries = 8192;
};

// What a node had on disk when it started.
struct RaftState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
};

// The states of charts/control_role.json, in its order.
enum class ControlRole { kFollower, kPreCandidate, kCandidate, kLeader };

// What a RaftNode wants done, in this order: write and sync what is to be
// stored, call Persisted(), and only then send `messages`.
struct RaftEffects {
  std::optional<HardState> hard_state;
  // A snapshot from the leader. It replaces the stored one.
  std::optional<Snapshot> snapshot;
  // The snapshot does not continue the stored log, which must be dropped.
  bool drop_log = false;
  // Replace whatever is stored from the first one's index on.
  std::vector<LogEntry> entries;
  std::vector<PeerEnvelope> messages;

  // Returns whether something must be stored.
  bool MustPersist() const {
    return hard_state || snapshot || !entries.empty();
  }
};

// One node of a Raft group (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014), with the pre-vote, the leader's
// check of its quorum, learners, single-server membership changes, read
// barriers and leadership transfer of Ongaro's dissertation.
//
// It decides only: it has no clock, socket, thread or file.
class RaftNode {
 public:
  // `self` is the node whose folder held `state`. Fails with kInvalidSettings
  // when the state chart does not fit.
  static Result<RaftNode> Create(const RaftSettings& settings, NodeId self,
                                 RaftState state, Instant now,
                                 std::uint64_t seed);

  // Forms a group of `membership`, which must contain this node. The node must
  // be empty. The group's terms start with `first_term` or a later one.
  void Bootstrap(const GroupMembership& membership, Term first_term);

  // Acts on the passage of time.
  void Tick(Instant now);

  // Acts on a message that came from `host`.
  void Receive(Instant now, const HostId& host, const PeerMessage& message);

  // Appends a command. Fails with kNotLeader, and then it never runs.
  Result<LogPosition> Propose(std::string payload);

  // Appends a change of the membership by one node. Fails with kNotLeader, or
  // with kRevisionConflict while the last change is not committed.
  Result<LogPosition> ProposeMembership(const GroupMembership& membership);

  // Asks for proof that this node still leads, by a round of messages that
  // starts after the call. Returns the round to pass to IsRoundConfirmed.
  Result<std::uint64_t> StartReadRound();

  // Returns whether a majority has answered `round` and every change accepted
  // before it started is known to be committed.
  bool IsRoundConfirmed(std::uint64_t round) const;

  // Hands the leadership to the voter with the longest log. Proposals are
  // refused until that happened or one election timeout passed.
  void TransferLeadership(Instant now);

  // Returns the appends that a leader may send before its own disk has synced
  // the same entries, so that the followers' writes overlap with its own.
  std::vector<PeerEnvelope> TakeEarlyMessages(Instant now);

  // Returns everything to be done since the last call.
  RaftEffects TakeEffects(Instant now);

  // Tells that everything taken so far is on disk.
  void OnPersisted();

  // Drops the log up to `through`, which `snapshot` covers.
  void Compact(Snapshot snapshot, LogIndex through);

  const NodeId& self() const { return self_; }
  ControlRole role() const { return role_; }
  Term term() const { return hard_state_.term; }
  LogIndex commit() const { return commit_; }
  const RaftLog& log() const { return log_; }
  const Snapshot& snapshot() const { return snapshot_; }

  // Returns whether the node holds nothing that a group agreed on.
  bool IsEmpty() const { return log_.last().index == 0; }

  // Returns the node that leads as far as is known.
  const std::optional<NodeId>& leader() const { return leader_; }

  // Returns since when this node leads, if it does.
  Instant leader_since() const { return leader_since_; }

  // Returns when a leader was last heard, or this node last led.
  Instant last_leader_contact() const { return last_leader_contact_; }

  // Returns the membership in force: the last one in the log.
  const GroupMembership& membership() const {
    return memberships_.rbegin()->second;
  }

  // Returns the membership as of the entry at `index`.
  const GroupMembership& MembershipAt(LogIndex index) const;

  // Returns whether a membership change may be proposed.
  bool CanChangeMembership() const;

  // Returns the voters that a leader has not heard for `silence`.
  std::vector<NodeId> UnresponsiveVoters(Instant now,
                                         Duration min_silence) const;

  // Returns the learners that hold every committed entry.
  std::vector<NodeId> CaughtUpLearners(Instant now) const;

 private:
  RaftNode(const RaftSettings& settings, NodeId self, RaftState state,
           Instant now, std::uint64_t seed, StateChart chart);

  // The events of charts/control_role.json, in its order.
  enum class Event {
    kElectionTimeout,
    kPreVoteWon,
    kVoteWon,
    kHigherTerm,
    kLeaderHeard,
    kQuorumLost
  };

  void ApplyEvent(Event event);
  void Send(const HostId& host, const NodeId& to, Term term,
            PeerMessageBody body);
  void Reply(const HostId& host, const PeerMessage& request,
             PeerMessageBody body);
  void SetTerm(Term term);
  void ResetElectionDeadline(Instant now);
  void SetElectionDeadline(Instant now, Duration timeout);
  void AppendLocal(EntryKind kind, std::string payload);
  void RecordMembership(const LogEntry& entry);
  void TruncateFrom(LogIndex from);

  // raft_election.cc
  void StartElection(Instant now, bool transfer);
  void RequestVotes(Instant now, bool transfer);
  void CountVote(Instant now, const NodeId& voter);
  void BecomeLeader(Instant now);
  bool HasLiveLeader(Instant now) const;
  bool ReconcileTerm(Instant now, const HostId& host,
                     const PeerMessage& message);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const VoteRequest& body);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const VoteResponse& body);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const TimeoutNow& body);

  // raft_follower.cc
  void RecordLeaderContact(Instant now, const PeerMessage& message);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const AppendRequest& body);
  AppendResponse AppendFromLeader(const AppendRequest& body);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const SnapshotRequest& body);
  void InstallSnapshot(Snapshot snapshot);

  // raft_leader.cc
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const AppendResponse& body);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const SnapshotResponse& body);
  void Handle(Instant now, const HostId& host, const PeerMessage& message,
              const Hello& body);
  RaftProgress* UpdateProgress(Instant now, const PeerMessage& message,
                               std::uint64_t round);
  void SyncProgressWithMembership(Instant now);
  void Broadcast(Instant now);
  void SendAppend(Instant now, const GroupMember& member,
                  RaftProgress& progress);
  void SendSnapshot(Instant now, const GroupMember& member,
                    RaftProgress& progress, bool resend);
  void Replicate(Instant now);
  void AdvanceCommit();
  bool HasQuorum(Instant now) const;
  void ContinueTransfer(Instant now);

  RaftSettings settings_;
  NodeId self_;
  StateChart chart_;
  Random random_;
  HardState hard_state_;
  Snapshot snapshot_;
  RaftLog log_;
  // By the index of the entry that set it; the first is the snapshot's.
  std::map<LogIndex, GroupMembership> memberships_;
  LogIndex commit_ = 0;
  LogIndex persisted_ = 0;
  // First entry that TakeEffects has not handed out yet.
  LogIndex unstable_from_ = 1;

  ControlRole role_ = ControlRole::kFollower;
  std::optional<NodeId> leader_;
  Instant last_leader_contact_;
  Instant election_deadline_;
  std::set<NodeId> votes_;
  bool transfer_election_ = false;

  // Of a leader.
  std::map<NodeId, RaftProgress> progress_;
  std::uint64_t round_ = 0;
  bool round_requested_ = false;
  Instant next_heartbeat_;
  Instant leader_since_;
  std::optional<Instant> transfer_deadline_;

  // Of a follower that receives a snapshot.
  LogPosition incoming_snapshot_position_;
  std::string incoming_snapshot_data_;

  bool hard_state_changed_ = false;
  std::optional<Snapshot> installed_snapshot_;
  bool drop_log_ = false;
  std::vector<PeerEnvelope> messages_;
};

}  // namespace sapphirebank
