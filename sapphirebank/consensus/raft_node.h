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
  // A follower that receives nothing from a leader for a random time between
  // one and two election timeouts starts an election. A leader that receives
  // nothing from a majority for one election timeout steps down.
  Duration election_timeout = std::chrono::milliseconds(600);
  // Election timeout of a node that has just started. It has no contact with a
  // leader to wait out, so it may be shorter; the pre-vote keeps the node from
  // disturbing a leader that exists. Also the first timeout after which a vote
  // without a winner is repeated, doubled each time up to election_timeout.
  Duration first_election_timeout = std::chrono::milliseconds(600);
  std::size_t max_append_bytes = 256UL << 10;
  std::size_t snapshot_chunk_bytes = 256UL << 10;
  // Limits on the entries that are sent to a follower before it acknowledges
  // any of them. The first one is sent whatever its size.
  std::uint64_t max_unacknowledged_entries = 8192;
  std::size_t max_unacknowledged_bytes = 8UL << 20;
};

// The persistent state of a node as found on disk at start.
struct RaftState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
  // Lower bound of the commit index, for a node that is created again while its
  // process runs.
  LogIndex known_commit = 0;
};

// The states of charts/control_role.json, in the same order.
enum class ControlRole { kFollower, kPreCandidate, kCandidate, kLeader };

// Output of a RaftNode. The caller must handle it in this order: write and sync
// what is to be stored, call OnPersisted(), and only then send `messages`.
struct RaftEffects {
  std::optional<HardState> hard_state;
  // A snapshot received from the leader, to replace the stored one.
  std::optional<Snapshot> snapshot;
  // The snapshot does not continue the stored log, so that log must be
  // discarded.
  bool drop_log = false;
  // Entries to store in place of everything from the first one's index on.
  std::vector<LogEntry> entries;
  std::vector<PeerEnvelope> messages;

  // Returns whether there is anything to store.
  bool MustPersist() const {
    return hard_state || snapshot || !entries.empty();
  }
};

// One node of a Raft group (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014), with the extensions of Ongaro's
// dissertation: pre-vote, check-quorum, learners, single-server membership
// changes, read barriers and leadership transfer.
//
// The class is a pure state machine: it uses no clock, socket, thread or file.
class RaftNode {
 public:
  // `self` is the node whose data folder contained `state`. Fails with
  // kInvalidSettings when the state chart does not match the roles and events
  // of this class.
  static Result<RaftNode> Create(const RaftSettings& settings, NodeId self,
                                 RaftState state, Instant now,
                                 std::uint64_t seed);

  // Starts a new group of `membership`, which must contain this node as a
  // voter. The node must be empty. The terms of the group start at `first_term`
  // or above.
  void Bootstrap(const GroupMembership& membership, Term first_term);

  // Starts an election, sends heartbeats or steps down as the timeouts that
  // have passed by `now` require.
  void Tick(Instant now);

  // Handles a message that came from `host`.
  void Receive(Instant now, const HostId& host, const PeerMessage& message);

  // Appends a command to the log. Fails with kNotLeader, in which case the
  // command will never be applied.
  Result<LogPosition> Propose(std::string payload);

  // Appends a membership change, which may add, remove or change one node.
  // Fails with kNotLeader, or with kRevisionConflict while the previous change
  // is not committed.
  Result<LogPosition> ProposeMembership(const GroupMembership& membership);

  // Starts a read barrier: a heartbeat round that begins after this call and
  // confirms that this node still leads. Returns the round to pass to
  // IsRoundConfirmed. Fails with kNotLeader.
  Result<std::uint64_t> StartReadRound();

  // Returns whether a majority has acknowledged `round` and every change that
  // was accepted before the round started is known to be committed.
  bool IsRoundConfirmed(std::uint64_t round) const;

  // Transfers the leadership to a voter that holds the whole log. Proposals are
  // refused until the transfer is done or one election timeout has passed.
  void TransferLeadership(Instant now);

  // Gives up the leadership at once, whether or not another voter holds the
  // whole log, and returns the message that asks the voter with the longest one
  // to start an election. Returns nothing when this node does not lead.
  std::vector<PeerEnvelope> Resign();

  // Returns the append requests that a leader may send before its own disk has
  // synced the same entries, so that the followers write in parallel with it.
  std::vector<PeerEnvelope> TakeEarlyMessages(Instant now);

  // Returns the work that has accumulated since the last call.
  RaftEffects TakeEffects(Instant now);

  // Records that everything returned by TakeEffects so far is durable.
  void OnPersisted();

  // Discards the log up to `through`, which `snapshot` covers.
  void Compact(Snapshot snapshot, LogIndex through);

  const NodeId& self() const { return self_; }
  ControlRole role() const { return role_; }
  Term term() const { return hard_state_.term; }
  LogIndex commit() const { return commit_; }
  const RaftLog& log() const { return log_; }
  const Snapshot& snapshot() const { return snapshot_; }

  // Returns whether the log has never held an entry.
  bool IsEmpty() const { return log_.last().index == 0; }

  // Returns the current leader, as far as this node knows.
  const std::optional<NodeId>& leader() const { return leader_; }

  // Returns when this node became leader, if it is one.
  Instant leader_since() const { return leader_since_; }

  // Returns, on a leader, a time such that no other leader has confirmed a
  // round that began later: a majority has not answered any since.
  Instant former_rounds_end() const { return former_rounds_end_; }

  // Returns when this node last received a message from a leader, or was last
  // leader itself.
  Instant last_leader_contact() const { return last_leader_contact_; }

  // Returns the membership in force, which is the latest one in the log whether
  // committed or not.
  const GroupMembership& membership() const {
    return memberships_.rbegin()->second;
  }

  // Returns the membership as of the entry at `index`.
  const GroupMembership& MembershipAt(LogIndex index) const;

  // Returns whether a membership change may be proposed.
  bool CanChangeMembership() const;

  // Returns the voters from which this leader has received nothing for at least
  // `min_silence`.
  std::vector<NodeId> UnresponsiveVoters(Instant now,
                                         Duration min_silence) const;

  // Returns the responsive learners that hold every committed entry.
  std::vector<NodeId> CaughtUpLearners(Instant now) const;

 private:
  RaftNode(const RaftSettings& settings, NodeId self, RaftState state,
           Instant now, std::uint64_t seed, StateChart chart);

  // The events of charts/control_role.json, in the same order.
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
  Duration RetryTimeout() const;
  void RequestVotes(Instant now, bool transfer);
  // `leader_heard_at` is when the voter last heard a leader, at the latest.
  void CountVote(Instant now, const NodeId& voter, Instant leader_heard_at);
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
  // Announcements concern the host, which handles them itself.
  void Handle(Instant, const HostId&, const PeerMessage&, const Hello&) {}
  RaftProgress* UpdateProgress(Instant now, const PeerMessage& message,
                               std::uint64_t round);
  void SyncProgressWithMembership(Instant now);
  void Broadcast(Instant now);
  void SendAppend(Instant now, const GroupMember& member,
                  RaftProgress& progress);
  // Returns whether a follower may be sent further entries.
  bool MaySendEntries(const RaftProgress& progress) const;
  void SendSnapshot(Instant now, const GroupMember& member,
                    RaftProgress& progress, bool resend);
  SnapshotTransfer StartSnapshotTransfer(Instant now) const;
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
  // Keyed by the index of the entry that set it; the first one is that of the
  // snapshot.
  std::map<LogIndex, GroupMembership> memberships_;
  LogIndex commit_ = 0;
  LogIndex persisted_ = 0;
  // The first entry that TakeEffects has not returned yet.
  LogIndex unstable_from_ = 1;

  ControlRole role_ = ControlRole::kFollower;
  std::optional<NodeId> leader_;
  Instant last_leader_contact_;
  Instant election_deadline_;
  std::set<NodeId> votes_;
  // Elections that this node started since it knew a leader.
  int elections_without_leader_ = 0;
  // The latest time at which one of those who voted heard a leader.
  Instant former_rounds_end_;
  bool transfer_election_ = false;

  // Used by a leader only.
  std::map<NodeId, RaftProgress> progress_;
  std::uint64_t round_ = 0;
  bool round_requested_ = false;
  Instant next_heartbeat_;
  Instant leader_since_;
  std::optional<Instant> transfer_deadline_;

  // A snapshot that is being received in parts from the leader.
  LogPosition incoming_snapshot_position_;
  std::string incoming_snapshot_data_;

  bool hard_state_changed_ = false;
  std::optional<Snapshot> installed_snapshot_;
  bool drop_log_ = false;
  std::vector<PeerEnvelope> messages_;
};

}  // namespace sapphirebank
