#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/consensus/control_state.h"
#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/consensus/log_retention.h"
#include "sapphirebank/consensus/log_storage.h"
#include "sapphirebank/consensus/peer_contacts.h"
#include "sapphirebank/consensus/peer_message.h"
#include "sapphirebank/consensus/peer_presence.h"
#include "sapphirebank/consensus/raft_node.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Usage of a ControlHost:
//
// Call Create() once. Then, for whatever has happened since the last cycle (a
// timer of about 20 ms, messages, requests), call Tick, Receive, Propose and
// Read, in any number. These only update state in memory; nothing is written or
// sent.
//
// TakeEarlyMessages(): messages to send at once. The call is optional; it lets
// the other hosts write in parallel with this one.
//
// Flush(): writes and syncs the pending state, then returns what may be made
// visible: messages to send and completions by token. The more inputs precede
// one Flush, the more of them share one sync.
//
// Pass on waiting messages before Tick, so that a host that was suspended does
// not mistake its own pause for a lost leader. A message carries whole entries,
// so it may be somewhat larger than max_patch_bytes.
//
// An entry host that abandons a claim proposes kNotRun as its outcome, and may
// resend any command whose result it did not receive.
//
// All calls must come from one thread. Messages may be lost, duplicated,
// delayed and reordered; EncodePeerMessage and DecodePeerMessage convert them
// to bytes. The transport must authenticate the host that a message comes from.

// Chosen by the caller of Propose or Read to match the Completion to its
// request.
using RequestToken = std::uint64_t;

struct ControlHostSettings {
  HostId host;
  // All hosts of the group, including this one: one, three or five.
  std::vector<HostId> control_hosts;
  RaftSettings raft;
  std::size_t segment_bytes = SegmentLogSettings().segment_bytes;

  // Hosts may join and leave at run time: any host that sends a Hello is
  // admitted, and a host that is lost loses its vote. `control_hosts` are then
  // only the first ones to contact: they, and any other host of the group, name
  // the rest in their answers.
  bool dynamic_membership = false;
  // With dynamic_membership: the hosts that form the group when all data
  // folders are empty. Each founder bootstraps the same membership without
  // contacting the others, so that a majority of them makes exactly one group
  // even when they are partitioned. Must be empty on any later start.
  std::vector<HostId> founders;

  // Validates a declarations document before it is proposed. Optional.
  std::function<Result<void>(const nlohmann::json&)> validate;

  // Time from the end of a run to the removal of its claim.
  Duration claim_retention = std::chrono::hours(24);
  // Time after which the outcome of a run counts as unknown.
  Duration claim_run_timeout = std::chrono::minutes(10);
  std::size_t max_claims = 100'000;
  // Limits on the stored answer of one claim and on those of all claims.
  std::size_t max_answer_bytes = 16UL << 10;
  std::size_t max_total_answer_bytes = 32UL << 20;
  // Limit on an idempotency key, a fingerprint and a change id.
  std::size_t max_key_bytes = 256;
  std::size_t max_patch_bytes = 16UL << 20;
  // Limit on proposals and reads in progress.
  std::size_t max_pending = 4096;

  LogRetentionSettings retention;

  Duration stamp_interval = std::chrono::seconds(1);
  Duration clock_interval = std::chrono::seconds(30);
  Duration hello_interval = std::chrono::seconds(1);

  // Pause before the data folder is opened again after a failure, doubled up to
  // the maximum with each failed attempt.
  Duration reopen_delay = std::chrono::milliseconds(100);
  Duration max_reopen_delay = std::chrono::milliseconds(800);
};

// Proof that a majority followed this leader at `issued_at`: no revision later
// than `revision` was in force then. Stamps are ordered by (term, counter).
struct FreshnessStamp {
  Term term = 0;
  std::uint64_t counter = 0;
  Revision revision = 0;
  WallTime issued_at;

  friend bool operator==(const FreshnessStamp&,
                         const FreshnessStamp&) = default;
};

// The result of one Propose or Read.
//
// Errors: kNotLeader (the command will never be applied; ask `leader`),
// kNoQuorum (it may still be applied: resend it unchanged), kQueueFull,
// kStorageFailed, and those of ControlState. A Read completes with Done:
// state() is then at least as recent as the call.
struct Completion {
  RequestToken token = 0;
  Result<CommandResult> result;
  Revision revision = 0;  // The revision in force on this host at completion.
  std::optional<HostId> leader;
};

// What a host keeps of the log before and after a snapshot was taken.
struct LogCompaction {
  std::size_t entries_before = 0;
  std::size_t bytes_before = 0;
  std::size_t entries_after = 0;
  std::size_t bytes_after = 0;
  std::size_t snapshot_bytes = 0;
};

struct ControlEffects {
  std::vector<PeerEnvelope> messages;
  std::vector<Completion> completions;
  // Set when the declarations changed: the revision now in force on this host.
  std::optional<Revision> revision;
  // Whether the FleetRecord changed.
  bool fleet_changed = false;
  std::optional<FreshnessStamp> stamp;
  // Set when a snapshot was taken.
  std::optional<LogCompaction> compaction;
  // Set when the data folder failed, or cannot be opened again for another
  // cause than before. This host takes no part in the group until the folder
  // has been opened again, which Tick attempts.
  std::optional<Error> failure;
  // Set when the folder has been opened again.
  bool recovered = false;
};

// One control host: combines the replicated log, its storage and the control
// state.
class ControlHost {
 public:
  // Opens the data folder, or formats an empty one. `files` must outlive the
  // host. `seed` must differ between all starts on all hosts, since the id of a
  // new data folder is derived from it. Fails with kInvalidSettings or
  // kStorageFailed.
  static Result<ControlHost> Create(ControlHostSettings settings,
                                    FileSystem& files, Instant now,
                                    std::uint64_t seed);

  // Runs the periodic work of the node and, on the leader, of the group. Opens
  // the data folder again when that is due after a failure. `wall` is used only
  // for times shown to people, the retention of claims and the first term of a
  // new group.
  void Tick(Instant now, WallTime wall);

  void Receive(Instant now, const HostId& from, const PeerMessage& message);
  void Propose(Instant now, const ControlCommand& command, RequestToken token);
  void Read(Instant now, RequestToken token);

  // Removes a host from the group permanently. Remove it from the settings of
  // the other hosts first, or they will admit it again.
  void RemoveHost(Instant now, const HostId& host, RequestToken token);

  // Adds a host of a group with dynamic membership that this host is linked
  // with.
  void AddHost(const HostId& host) { presence_.Add(host); }

  // Returns the hosts that this host should be linked with: the members of the
  // group and the hosts that others named lately. Those in the settings are not
  // repeated.
  std::vector<HostId> HostsToContact(Instant now) const;

  // Returns whether this host belongs to the group, as far as its own log
  // tells. Only then does it learn what the group decides.
  bool IsMember() const {
    return node_.membership().Find(node_.self()) != nullptr;
  }

  // Transfers the leadership to another host, for a graceful shutdown.
  void TransferLeadership(Instant now);

  std::vector<PeerEnvelope> TakeEarlyMessages(Instant now);
  ControlEffects Flush(Instant now);

  // Returns the state as of the last Flush. It is known to be current only when
  // a Read completes.
  const ControlState& state() const { return state_; }
  const RaftNode& raft() const { return node_; }

  // Returns whether the data folder failed and has not been opened again.
  bool HasFailed() const { return failure_.has_value(); }

  // Returns whether this host is the leader, as far as it knows.
  bool IsLeader() const {
    return !failure_ && node_.role() == ControlRole::kLeader;
  }

  // Returns the host of the current leader, as far as is known; nothing while
  // the data folder has failed.
  std::optional<HostId> leader() const;

 private:
  struct PendingProposal {
    Term term = 0;
    RequestToken token = 0;
  };
  // A read barrier. Without a token it serves a freshness stamp.
  struct PendingRead {
    std::uint64_t round = 0;
    Term term = 0;
    std::optional<RequestToken> token;
    WallTime requested_at;
  };

  // What is read from the data folder.
  struct OpenedFolder {
    LogStorage storage;
    RaftNode node;
  };

  ControlHost(ControlHostSettings settings, FileSystem& files,
              OpenedFolder folder, ControlState state, Random random);

  static Result<OpenedFolder> OpenFolder(const ControlHostSettings& settings,
                                         FileSystem& files,
                                         LogIndex known_commit, Instant now,
                                         Random& random);
  void Reopen(Instant now);
  Result<void> CheckAppliedEntries(const RaftNode& node) const;

  void RunLeaderTasks(Instant now);
  void ProposeMembershipChange(Instant now);
  void BootstrapFromFounders();
  void SendHellos(Instant now);
  void SendHello(const HostId& host, bool is_answer, std::vector<HostId> hosts);
  void ReceiveHello(Instant now, const HostId& from, const NodeId& node,
                    const Hello& hello);
  void IntroduceNewcomers(Instant now);
  Result<ControlCommand> Check(ControlCommand command) const;
  Result<ControlCommand> CheckChange(ApplyChange change) const;
  Result<ControlCommand> CheckRestore(RestoreDeclarations restore) const;
  Result<void> Validate(const nlohmann::json& document) const;
  Result<ControlCommand> CheckClaim(Claim claim) const;
  Result<ControlCommand> CheckCompletion(CompleteClaim complete) const;
  Result<void> PersistEffects(const RaftEffects& effects);
  Result<void> ApplyCommitted();
  Result<void> MaybeTakeSnapshot();
  Result<void> RestoreState(const Snapshot& snapshot);
  void CompleteConfirmedReads();
  void FailLostRequests();
  void Halt(Instant now, const Error& error);
  void Complete(RequestToken token, Result<CommandResult> result);
  bool IsFull() const;

  ControlHostSettings settings_;
  FileSystem* files_;
  Random random_;
  LogStorage storage_;
  RaftNode node_;
  ControlState state_;
  PeerPresence presence_;
  PeerContacts contacts_;
  LogPosition applied_;
  LogRetention retention_;
  WallTime wall_time_;
  Instant next_stamp_;
  Instant next_clock_;
  Instant next_hello_;
  Instant next_introduction_;
  std::uint64_t stamp_counter_ = 0;
  std::map<LogIndex, PendingProposal> proposals_;
  std::deque<PendingRead> reads_;
  std::optional<Error> failure_;
  Instant reopen_at_;
  Duration reopen_delay_{};
  ControlEffects effects_;
};

}  // namespace sapphirebank
