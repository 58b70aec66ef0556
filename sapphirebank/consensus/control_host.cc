#include "sapphirebank/consensus/control_host.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

constexpr std::uint64_t kRandomBound = ~std::uint64_t{0};

NodeId RandomNodeId(Random& random) {
  return NodeId(fmt::format("{:016x}{:016x}", random.Below(kRandomBound),
                            random.Below(kRandomBound)));
}

// Time without contact after which a voter is replaced by a learner that waits
// for a vote: two election timeouts of a slow group, well below the 4 s that a
// replacement has to become a full member.
constexpr Duration kReplaceVoterAfter = std::chrono::seconds(2);

// Time without contact after which a voter of an even-sized group is removed.
// It equals the time after which the platform considers a machine lost.
constexpr Duration kRemoveVoterAfter = std::chrono::seconds(3);

// A newcomer that has announced itself for this long without becoming a member
// is named to the leader, once in each interval: it may not reach the leader.
constexpr Duration kIntroduceAfter = std::chrono::milliseconds(600);
constexpr Duration kIntroductionInterval = std::chrono::milliseconds(1000);

bool Contains(const std::vector<HostId>& hosts, const HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

// Returns the node id with which a founder formats its empty data folder. It
// depends on the host only, so that all founders form the same group.
NodeId FounderNodeId(const HostId& host) {
  return NodeId("founder-" + host.value());
}

Result<void> CheckSettings(const ControlHostSettings& settings) {
  if (!settings.dynamic_membership &&
      !Contains(settings.control_hosts, settings.host)) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("control host \"{}\" is not in the list of control "
                            "hosts",
                            settings.host.value()));
  }
  if (settings.raft.heartbeat_interval * 2 > settings.raft.election_timeout) {
    return Fail(
        ErrorKind::kInvalidSettings,
        "the election timeout must be at least twice the heartbeat interval");
  }
  return {};
}

}  // namespace

Result<ControlHost> ControlHost::Create(ControlHostSettings settings,
                                        FileSystem& files, Instant now,
                                        std::uint64_t seed) {
  if (auto valid = CheckSettings(settings); !valid) {
    return tl::unexpected(valid.error());
  }
  Random random(seed);
  auto folder = OpenFolder(settings, files, 0, now, random);
  if (!folder) return tl::unexpected(folder.error());
  ControlState state;
  if (const auto& data = folder->node.snapshot().data) {
    auto restored = ControlState::Restore(*data);
    if (!restored) return tl::unexpected(restored.error());
    state = std::move(*restored);
  }
  return ControlHost(std::move(settings), files, std::move(*folder),
                     std::move(state), random);
}

Result<ControlHost::OpenedFolder> ControlHost::OpenFolder(
    const ControlHostSettings& settings, FileSystem& files,
    LogIndex known_commit, Instant now, Random& random) {
  const NodeId new_node = Contains(settings.founders, settings.host)
                              ? FounderNodeId(settings.host)
                              : RandomNodeId(random);
  const SegmentLogSettings log_settings{settings.segment_bytes,
                                        settings.retention.trailing_bytes};
  auto storage = LogStorage::Open(files, settings.host, new_node, log_settings);
  if (!storage) return tl::unexpected(storage.error());
  RaftState recovered = storage->TakeRecovered();
  recovered.known_commit = known_commit;
  auto node =
      RaftNode::Create(settings.raft, storage->node(), std::move(recovered),
                       now, random.Below(kRandomBound));
  if (!node) return tl::unexpected(node.error());
  return OpenedFolder{std::move(*storage), std::move(*node)};
}

ControlHost::ControlHost(ControlHostSettings settings, FileSystem& files,
                         OpenedFolder folder, ControlState state, Random random)
    : settings_(std::move(settings)),
      files_(&files),
      random_(random),
      storage_(std::move(folder.storage)),
      node_(std::move(folder.node)),
      state_(std::move(state)),
      presence_(settings_.host, settings_.control_hosts),
      contacts_(settings_.host),
      applied_(node_.snapshot().last),
      retention_(settings_.retention) {
  BootstrapFromFounders();
}

void ControlHost::BootstrapFromFounders() {
  if (!Contains(settings_.founders, settings_.host)) return;
  if (!node_.IsEmpty() || node_.self() != FounderNodeId(settings_.host)) return;
  std::vector<GroupMember> members;
  members.reserve(settings_.founders.size());
  for (const HostId& host : settings_.founders) {
    members.push_back({host, FounderNodeId(host), true});
  }
  constexpr Term kFirstTerm = 1;
  node_.Bootstrap(GroupMembership(std::move(members)), kFirstTerm);
}

void ControlHost::Tick(Instant now, WallTime wall) {
  wall_time_ = wall;
  if (failure_ && now >= reopen_at_) Reopen(now);
  if (failure_) return;
  node_.Tick(now);
  if (IsLeader()) RunLeaderTasks(now);
  SendHellos(now);
  IntroduceNewcomers(now);
}

void ControlHost::RunLeaderTasks(Instant now) {
  if (now >= next_clock_) {
    next_clock_ = now + settings_.clock_interval;
    // Refused only during a leadership transfer; the next leader will propose
    // it.
    static_cast<void>(node_.Propose(EncodeCommand(AdvanceClock{
        wall_time_, settings_.claim_retention, settings_.claim_run_timeout})));
  }
  if (now >= next_stamp_) {
    next_stamp_ = now + settings_.stamp_interval;
    if (const auto round = node_.StartReadRound()) {
      reads_.push_back({*round, node_.term(), std::nullopt, wall_time_});
    }
  }
  ProposeMembershipChange(now);
}

void ControlHost::ProposeMembershipChange(Instant now) {
  if (!node_.CanChangeMembership()) return;
  const bool remove_absent =
      now - node_.leader_since() > PeerPresence::kPresenceTimeout;
  const auto present = presence_.Present(now);
  const auto caught_up = node_.CaughtUpLearners(now);
  std::optional<GroupMembership> next;
  if (settings_.dynamic_membership) {
    const UnresponsiveVoters unresponsive = {
        node_.UnresponsiveVoters(now, kReplaceVoterAfter),
        node_.UnresponsiveVoters(now, kRemoveVoterAfter)};
    next = NextDynamicMembership(node_.membership(), present, caught_up,
                                 remove_absent, unresponsive);
  } else {
    next =
        NextMembership(node_.membership(), present, caught_up, remove_absent);
  }
  if (!next) return;
  // Refused only when no change is possible now; the next tick tries again.
  static_cast<void>(node_.ProposeMembership(*next));
}

void ControlHost::SendHellos(Instant now) {
  const bool is_voter = node_.membership().IsVoter(node_.self());
  const bool has_leader =
      now - node_.last_leader_contact() < 2 * settings_.raft.election_timeout;
  if (is_voter && has_leader) return;
  if (!settings_.dynamic_membership && node_.IsEmpty() &&
      presence_.CanBootstrap(now)) {
    std::vector<GroupMember> members = {{settings_.host, node_.self(), true}};
    for (const auto& [host, node] : presence_.Present(now)) {
      members.push_back({host, node, true});
    }
    // Starting the terms at the current Unix time in seconds makes them higher
    // than those of an earlier group that lost all its data.
    const auto first_term = static_cast<Term>(
        std::chrono::floor<std::chrono::seconds>(wall_time_.time_since_epoch())
            .count());
    node_.Bootstrap(GroupMembership(std::move(members)),
                    std::max<Term>(first_term, 1));
    return;
  }
  if (now < next_hello_) return;
  next_hello_ = now + settings_.hello_interval;
  for (const HostId& host : presence_.others()) SendHello(host, false, {});
}

void ControlHost::SendHello(const HostId& host, bool is_answer,
                            std::vector<HostId> hosts) {
  effects_.messages.push_back(
      {host,
       {node_.self(), NodeId(), node_.term(),
        Hello{node_.IsEmpty(), is_answer, std::move(hosts)}}});
}

void ControlHost::ReceiveHello(Instant now, const HostId& from,
                               const NodeId& node, const Hello& hello) {
  presence_.RecordHello(now, from, node, hello);
  if (!settings_.dynamic_membership) {
    if (!hello.answer) SendHello(from, true, {});
    return;
  }
  contacts_.Learn(now, hello.hosts);
  if (hello.answer) return;
  if (node_.membership().Find(node) != nullptr) {
    SendHello(from, true, {});
    return;
  }
  // Only what this host knows by itself, so that a lost host is forgotten.
  std::set<HostId> group;
  for (const GroupMember& member : node_.membership().members()) {
    group.insert(member.host);
  }
  for (const auto& [host, present] : presence_.Present(now)) group.insert(host);
  group.erase(from);
  SendHello(from, true, {group.begin(), group.end()});
}

// Names newcomers to the leader, which then contacts them. The leader admits
// only those whose announcement it gets itself.
void ControlHost::IntroduceNewcomers(Instant now) {
  if (!settings_.dynamic_membership || now < next_introduction_) return;
  const auto leader = this->leader();
  if (IsLeader() || !leader || !IsMember()) return;
  std::vector<HostId> newcomers;
  for (const auto& [host, node] : presence_.Announcing(now, kIntroduceAfter)) {
    if (node_.membership().Find(node) == nullptr) newcomers.push_back(host);
  }
  if (newcomers.empty()) return;
  next_introduction_ = now + kIntroductionInterval;
  SendHello(*leader, true, std::move(newcomers));
}

std::vector<HostId> ControlHost::HostsToContact(Instant now) const {
  std::vector<HostId> hosts = contacts_.Known(now);
  for (const GroupMember& member : node_.membership().members()) {
    hosts.push_back(member.host);
  }
  return hosts;
}

void ControlHost::Receive(Instant now, const HostId& from,
                          const PeerMessage& message) {
  if (failure_) return;
  if (const auto* hello = std::get_if<Hello>(&message.body)) {
    ReceiveHello(now, from, message.from, *hello);
    return;
  }
  node_.Receive(now, from, message);
}

void ControlHost::Propose(Instant /*now*/, const ControlCommand& command,
                          RequestToken token) {
  if (failure_) return Complete(token, tl::unexpected(*failure_));
  if (!IsLeader()) {
    return Complete(token, Fail(ErrorKind::kNotLeader,
                                "this control host is not the leader"));
  }
  if (IsFull()) {
    return Complete(
        token,
        Fail(ErrorKind::kQueueFull,
             "too many proposals and reads are pending on this control host"));
  }
  auto checked = Check(command);
  if (!checked) return Complete(token, tl::unexpected(checked.error()));
  const auto position = node_.Propose(EncodeCommand(*checked));
  if (!position) return Complete(token, tl::unexpected(position.error()));
  proposals_[position->index] = {position->term, token};
}

void ControlHost::Read(Instant /*now*/, RequestToken token) {
  if (failure_) return Complete(token, tl::unexpected(*failure_));
  if (IsFull()) {
    return Complete(
        token,
        Fail(ErrorKind::kQueueFull,
             "too many proposals and reads are pending on this control host"));
  }
  const auto round = node_.StartReadRound();
  if (!round) return Complete(token, tl::unexpected(round.error()));
  reads_.push_back({*round, node_.term(), token, wall_time_});
}

void ControlHost::RemoveHost(Instant /*now*/, const HostId& host,
                             RequestToken token) {
  if (failure_) return Complete(token, tl::unexpected(*failure_));
  const auto& members = node_.membership().members();
  const auto member =
      std::find_if(members.begin(), members.end(),
                   [&](const GroupMember& item) { return item.host == host; });
  if (member == members.end()) {
    return Complete(
        token, Fail(ErrorKind::kNotFound,
                    fmt::format("\"{}\" is not a control host of the group",
                                host.value())));
  }
  const auto position =
      node_.ProposeMembership(node_.membership().Without(member->node));
  if (!position) return Complete(token, tl::unexpected(position.error()));
  proposals_[position->index] = {position->term, token};
}

void ControlHost::TransferLeadership(Instant now) {
  if (!failure_) node_.TransferLeadership(now);
}

std::vector<PeerEnvelope> ControlHost::TakeEarlyMessages(Instant now) {
  if (failure_) return {};
  return node_.TakeEarlyMessages(now);
}

ControlEffects ControlHost::Flush(Instant now) {
  bool needs_another_pass = !failure_;
  while (needs_another_pass) {
    RaftEffects raft = node_.TakeEffects(now);
    auto done = PersistEffects(raft).and_then([&]() -> Result<void> {
      if (raft.MustPersist()) node_.OnPersisted();
      return ApplyCommitted();
    });
    if (!done) {
      Halt(now, done.error());
      break;
    }
    std::move(raft.messages.begin(), raft.messages.end(),
              std::back_inserter(effects_.messages));
    needs_another_pass = raft.MustPersist();
  }
  if (!failure_) {
    CompleteConfirmedReads();
    FailLostRequests();
  }
  return std::exchange(effects_, {});
}

Result<void> ControlHost::PersistEffects(const RaftEffects& effects) {
  if (effects.hard_state) {
    auto saved = storage_.SaveHardState(*effects.hard_state);
    if (!saved) return saved;
  }
  if (effects.snapshot) {
    auto saved = storage_.SaveSnapshot(*effects.snapshot, effects.drop_log)
                     .and_then([&] { return RestoreState(*effects.snapshot); })
                     .and_then([&] {
                       return storage_.DropThrough(node_.log().base().index);
                     });
    if (!saved) return saved;
  }
  return storage_.Append(effects.entries);
}

Result<void> ControlHost::RestoreState(const Snapshot& snapshot) {
  const Revision before = state_.declarations().revision();
  effects_.fleet_changed = true;
  return ControlState::Restore(*snapshot.data).map([&](ControlState state) {
    state_ = std::move(state);
    applied_ = snapshot.last;
    retention_.RecordSnapshot();
    const Revision after = state_.declarations().revision();
    assert(after >= before);
    if (after != before) effects_.revision = after;
  });
}

Result<void> ControlHost::ApplyCommitted() {
  const Revision before = state_.declarations().revision();
  const std::uint64_t fleet_before = state_.fleet().changes();
  while (applied_.index < node_.commit()) {
    const LogEntry& entry = node_.log().At(applied_.index + 1);
    Result<CommandResult> result = Done();
    if (entry.kind == EntryKind::kCommand) {
      result = DecodeCommand(entry.payload)
                   .and_then([&](const ControlCommand& command) {
                     return state_.Apply(command);
                   });
    }
    applied_ = entry.position;
    retention_.RecordApplied(entry.payload.size());
    const auto pending = proposals_.find(applied_.index);
    if (pending == proposals_.end()) continue;
    const PendingProposal proposal = pending->second;
    proposals_.erase(pending);
    if (proposal.term != applied_.term) {
      result =
          Fail(ErrorKind::kNoQuorum,
               "another leader took over before the command was committed");
    }
    Complete(proposal.token, std::move(result));
  }
  const Revision after = state_.declarations().revision();
  if (after != before) effects_.revision = after;
  if (state_.fleet().changes() != fleet_before) effects_.fleet_changed = true;
  return MaybeTakeSnapshot();
}

Result<void> ControlHost::MaybeTakeSnapshot() {
  const auto& last = node_.snapshot().data;
  if (!retention_.IsSnapshotDue(last ? last->size() : 0)) return {};
  Snapshot snapshot{applied_, node_.MembershipAt(applied_.index),
                    std::make_shared<const std::string>(state_.Snapshot())};
  const LogIndex through =
      retention_.DiscardThrough(node_.log(), applied_.index);
  retention_.RecordSnapshot();
  LogCompaction compaction;
  compaction.entries_before = node_.log().size();
  compaction.bytes_before = node_.log().bytes();
  compaction.snapshot_bytes = snapshot.data->size();
  return storage_.SaveSnapshot(snapshot, false).and_then([&] {
    node_.Compact(std::move(snapshot), through);
    compaction.entries_after = node_.log().size();
    compaction.bytes_after = node_.log().bytes();
    effects_.compaction = compaction;
    return storage_.DropThrough(through);
  });
}

void ControlHost::CompleteConfirmedReads() {
  while (!reads_.empty() && reads_.front().term == node_.term() &&
         node_.IsRoundConfirmed(reads_.front().round)) {
    const PendingRead read = reads_.front();
    reads_.pop_front();
    if (read.token) {
      Complete(*read.token, Done());
    } else {
      effects_.stamp = {node_.term(), ++stamp_counter_,
                        state_.declarations().revision(), read.requested_at};
    }
  }
}

void ControlHost::FailLostRequests() {
  const auto is_lost = [&](Term term) {
    return !IsLeader() || term != node_.term();
  };
  const Error lost{
      ErrorKind::kNoQuorum,
      "this control host lost the leadership before the request was done"};
  while (!reads_.empty() && is_lost(reads_.front().term)) {
    const auto token = reads_.front().token;
    reads_.pop_front();
    if (token) Complete(*token, tl::unexpected(lost));
  }
  while (!proposals_.empty() && is_lost(proposals_.begin()->second.term)) {
    const RequestToken token = proposals_.begin()->second.token;
    proposals_.erase(proposals_.begin());
    Complete(token, tl::unexpected(lost));
  }
}

// Leaves the group until the data folder can be opened again. A leader that
// cannot write resigns, as its followers would otherwise wait for an election
// timeout.
void ControlHost::Halt(Instant now, const Error& error) {
  failure_ = error;
  reopen_delay_ = settings_.reopen_delay;
  reopen_at_ = now + reopen_delay_;
  effects_.messages = node_.Resign();
  effects_.failure = error;
  for (const auto& [index, proposal] : proposals_) {
    Complete(proposal.token, tl::unexpected(error));
  }
  for (const PendingRead& read : reads_) {
    if (read.token) Complete(*read.token, tl::unexpected(error));
  }
  proposals_.clear();
  reads_.clear();
}

// Returns to the group as after a start, with what is proven to be on the disk.
// The state of the applied commands is kept: they are committed.
void ControlHost::Reopen(Instant now) {
  auto folder = OpenFolder(settings_, *files_, applied_.index, now, random_);
  Result<void> opened;
  if (!folder) {
    opened = tl::unexpected(folder.error());
  } else if (folder->node.snapshot().last.index > applied_.index) {
    opened = RestoreState(folder->node.snapshot());
  } else {
    opened = CheckAppliedEntries(folder->node);
  }
  if (!opened) {
    // Repeated causes are reported once.
    if (opened.error().detail != failure_->detail) {
      effects_.failure = opened.error();
    }
    failure_ = opened.error();
    reopen_delay_ =
        std::min<Duration>(2 * reopen_delay_, settings_.max_reopen_delay);
    reopen_at_ = now + reopen_delay_;
    return;
  }
  storage_ = std::move(folder->storage);
  node_ = std::move(folder->node);
  failure_.reset();
  effects_.recovered = true;
  BootstrapFromFounders();
}

// Fails when the data folder lacks an entry that was synced and applied.
Result<void> ControlHost::CheckAppliedEntries(const RaftNode& node) const {
  if (node.log().TermAt(applied_.index) == applied_.term) return {};
  return Fail(ErrorKind::kStorageFailed,
              fmt::format("the data folder has lost the entry at index {}, "
                          "which was synced",
                          applied_.index));
}

void ControlHost::Complete(RequestToken token, Result<CommandResult> result) {
  effects_.completions.push_back(
      {token, std::move(result), state_.declarations().revision(), leader()});
}

bool ControlHost::IsFull() const {
  return proposals_.size() + reads_.size() >= settings_.max_pending;
}

std::optional<HostId> ControlHost::leader() const {
  if (failure_) return std::nullopt;
  const auto& node = node_.leader();
  if (!node) return std::nullopt;
  const GroupMember* member = node_.membership().Find(*node);
  if (member == nullptr) return std::nullopt;
  return member->host;
}

}  // namespace sapphirebank
