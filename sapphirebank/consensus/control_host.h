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
#include "sapphirebank/consensus/log_storage.h"
#include "sapphirebank/consensus/peer_message.h"
#include "sapphirebank/consensus/peer_presence.h"
#include "sapphirebank/consensus/raft_node.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// How to drive a ControlHost:
//
//   Create() once. Then, for whatever happened since the last round (a timer
//   every 20 ms or so, messages, requests), call Tick, Receive, Propose and
//   Read, in any number. They only decide; nothing is written or sent.
//
//   TakeEarlyMessages(): send these at once (optional: it lets the other hosts
//   write at the same time as this one).
//
//   Flush(): writes and syncs what was decided, then returns what may now be
//   told: messages to send and answers by token. The more inputs go before one
//   Flush, the more of them share one sync.
//
// Take waiting messages before Tick, so that a host that was held up does not
// take its own pause for a silent leader. A message carries a whole entry, so
// it may be as large as max_patch_bytes and some.
//
// An entry host that gives up on a claim proposes its end as kNotRun, and may
// resend any command whose answer it did not get.
//
// All calls come from one thread. Messages may be lost, repeated, delayed and
// reordered; EncodePeerMessage and DecodePeerMessage give their bytes. The
// links must prove that a message comes from the host that it is said to.

// Chosen by the caller of Propose or Read to know the answer again.
using RequestToken = std::uint64_t;

struct ControlHostSettings {
  HostId host;
  // All hosts of the group, this one too. One, three or five.
  std::vector<HostId> control_hosts;
  RaftSettings raft;
  LogStorageSettings storage;

  // The hosts come and go: whoever presents itself joins, and a host that is
  // gone loses its vote. `control_hosts` then are the first ones to ask.
  bool dynamic_membership = false;
  // With dynamic_membership: the hosts that form the group when all data
  // folders are empty. Each forms the same one without asking the others, so
  // that a majority of them makes one group however they are cut off. Empty on
  // any later start.
  std::vector<HostId> founders;

  // Refuses a declarations document before it is proposed.
  std::function<Result<void>(const nlohmann::json&)> validate;

  // From the end of a run to the removal of its claim.
  Duration claim_retention = std::chrono::hours(24);
  // After which a run counts as having no known end.
  Duration claim_run_timeout = std::chrono::minutes(10);
  std::size_t max_claims = 100'000;
  std::size_t max_answer_bytes = 16UL << 10;        // Of one claim.
  std::size_t max_total_answer_bytes = 32UL << 20;  // Of all claims.
  std::size_t max_key_bytes = 256;                  // Key or fingerprint.
  std::size_t max_patch_bytes = 16UL << 20;
  std::size_t max_pending = 4096;  // Proposals and reads without an answer.

  // A snapshot is taken when the log since the last one is larger than it,
  // and than this.
  std::size_t snapshot_log_bytes = 4UL << 20;
  // Entries kept behind a snapshot for followers that lag.
  std::uint64_t trailing_entries = 1024;

  Duration stamp_interval = std::chrono::seconds(1);
  Duration clock_interval = std::chrono::seconds(30);
  Duration hello_interval = std::chrono::seconds(1);
};

// Proof that at `issued_at` a majority followed this leader: no change later
// than `revision` was in force then. Stamps grow by (term, counter).
struct FreshnessStamp {
  Term term = 0;
  std::uint64_t counter = 0;
  Revision revision = 0;
  WallTime issued_at;

  friend bool operator==(const FreshnessStamp&,
                         const FreshnessStamp&) = default;
};

// The end of one Propose or Read.
//
// Errors: kNotLeader (it never runs; ask `leader`), kNoQuorum (it may still
// happen: resend it as it is), kQueueFull, kStorageFailed, and those of
// ControlState. A Read ends with Done: state() is then as current as the
// moment of the call.
struct Completion {
  RequestToken token = 0;
  Result<CommandResult> result;
  Revision revision = 0;  // In force here when the answer was made.
  std::optional<HostId> leader;
};

struct ControlEffects {
  std::vector<PeerEnvelope> messages;
  std::vector<Completion> completions;
  // The declarations changed; this is the revision now in force here.
  std::optional<Revision> revision;
  // The record of the fleet changed.
  bool fleet_changed = false;
  std::optional<FreshnessStamp> stamp;
  // The data folder failed. This host takes no further part; open it anew.
  std::optional<Error> failure;
};

// One control host: the replicated log, its files and the control state.
class ControlHost {
 public:
  // Opens the data folder, or formats an empty one. `seed` must differ from
  // every other start on any host, since it also names a new data folder.
  // Fails with kInvalidSettings or kStorageFailed.
  static Result<ControlHost> Create(ControlHostSettings settings,
                                    FileSystem& files, Instant now,
                                    std::uint64_t seed);

  // Acts on the passage of time. `wall` is used only for what is told to
  // people and for the keep time of claims.
  void Tick(Instant now, WallTime wall);

  void Receive(Instant now, const HostId& from, const PeerMessage& message);
  void Propose(Instant now, const ControlCommand& command, RequestToken token);
  void Read(Instant now, RequestToken token);

  // Removes a host from the group for good. First take it out of the settings
  // of the others, or they admit it again.
  void RemoveHost(Instant now, const HostId& host, RequestToken token);

  // Adds a host of an open group that was learned of.
  void AddHost(const HostId& host) { presence_.Add(host); }

  // Hands the leadership on, before a graceful shutdown.
  void TransferLeadership(Instant now);

  std::vector<PeerEnvelope> TakeEarlyMessages(Instant now);
  ControlEffects Flush(Instant now);

  // The state as of the last Flush; current only after a Read.
  const ControlState& state() const { return state_; }
  const RaftNode& raft() const { return node_; }

  // Returns whether this host leads as far as it knows.
  bool IsLeader() const { return node_.role() == ControlRole::kLeader; }

  // Returns the host that leads as far as is known.
  std::optional<HostId> leader() const;

 private:
  struct PendingProposal {
    Term term = 0;
    RequestToken token = 0;
  };
  // A read barrier; without a token it is for a freshness stamp.
  struct PendingRead {
    std::uint64_t round = 0;
    Term term = 0;
    std::optional<RequestToken> token;
    WallTime requested_at;
  };

  ControlHost(ControlHostSettings settings, LogStorage storage, RaftNode node,
              ControlState state);

  void RunLeaderTasks(Instant now);
  void ProposeMembershipChange(Instant now);
  void BootstrapFromFounders();
  void SendHellos(Instant now);
  Result<ControlCommand> Check(ControlCommand command) const;
  Result<ControlCommand> CheckChange(ApplyChange change) const;
  Result<ControlCommand> CheckRestore(RestoreDeclarations restore) const;
  Result<void> Validate(const nlohmann::json& document) const;
  Result<ControlCommand> CheckClaim(Claim claim) const;
  Result<ControlCommand> CheckCompletion(CompleteClaim complete) const;
  Result<void> PersistEffects(const RaftEffects& effects);
  Result<void> ApplyCommitted();
  Result<void> TakeSnapshot();
  Result<void> RestoreState(const Snapshot& snapshot);
  void CompleteConfirmedReads();
  void FailLostRequests();
  void Halt(const Error& error);
  void Complete(RequestToken token, Result<CommandResult> result);
  bool IsFull() const;

  ControlHostSettings settings_;
  LogStorage storage_;
  RaftNode node_;
  ControlState state_;
  PeerPresence presence_;
  LogPosition applied_;
  std::size_t log_bytes_since_snapshot_ = 0;
  WallTime wall_time_;
  Instant next_stamp_;
  Instant next_clock_;
  Instant next_hello_;
  std::uint64_t stamp_counter_ = 0;
  std::map<LogIndex, PendingProposal> proposals_;
  std::deque<PendingRead> reads_;
  std::optional<Error> failure_;
  ControlEffects effects_;
};

}  // namespace sapphirebank
