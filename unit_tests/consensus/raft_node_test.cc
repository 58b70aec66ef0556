#include "sapphirebank/consensus/raft_node.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "sapphirebank/consensus/log_storage.h"
#include "unit_tests/consensus/memory_file_system.h"

namespace sapphirebank {
namespace {

constexpr Instant kStart{std::chrono::hours(1)};
const NodeId kSelf("self");
const NodeId kLeader("leader");
const HostId kLeaderHost("control-1");

const GroupMembership kMembers({{HostId("control-0"), kSelf, true},
                                {kLeaderHost, kLeader, true},
                                {HostId("control-2"), NodeId("third"), true}});

// Returns entries from `from` on with the given terms.
std::vector<LogEntry> EntriesOf(LogIndex from, const std::vector<Term>& terms) {
  std::vector<LogEntry> entries;
  entries.reserve(terms.size());
  for (const Term term : terms) {
    entries.push_back({{from++, term}, EntryKind::kCommand, "x"});
  }
  return entries;
}

RaftNode NodeWithTerms(const std::vector<Term>& terms) {
  RaftState state;
  state.hard_state = {terms.empty() ? 1 : terms.back(), NodeId()};
  state.snapshot.membership = kMembers;
  state.entries = EntriesOf(1, terms);
  return *RaftNode::Create({}, kSelf, std::move(state), kStart, 1);
}

std::vector<Term> TermsOf(const RaftNode& node) {
  std::vector<Term> terms;
  for (LogIndex i = 1; i <= node.log().last().index; ++i) {
    terms.push_back(*node.log().TermAt(i));
  }
  return terms;
}

// Returns the response to a message from the leader.
template <typename Response>
Response ReceiveFromLeader(RaftNode& node, Term term, PeerMessageBody body) {
  node.Receive(kStart, kLeaderHost, {kLeader, kSelf, term, std::move(body)});
  const RaftEffects effects = node.TakeEffects(kStart);
  REQUIRE(effects.messages.size() == 1);
  return std::get<Response>(effects.messages[0].message.body);
}

TEST_CASE(
    "a follower appends matching entries and reports the conflict otherwise",
    "[consensus]") {
  struct Row {
    const char* name;
    std::vector<Term> log;
    LogPosition previous;
    std::vector<Term> sent;
    bool accepted;
    LogIndex match;
    LogPosition conflict;
    std::vector<Term> after;
  };
  const Row rows[] = {
      {"continues", {1, 1}, {2, 1}, {4}, true, 3, {}, {1, 1, 4}},
      {"already present", {1, 1, 1}, {1, 1}, {1}, true, 2, {}, {1, 1, 1}},
      {"gap in the log", {1, 1}, {4, 4}, {4}, false, 0, {3, 0}, {1, 1}},
      {"conflicting term", {1, 2, 2}, {3, 4}, {4}, false, 0, {2, 2}, {1, 2, 2}},
      {"replaces", {1, 2, 2}, {1, 1}, {4, 4}, true, 3, {}, {1, 4, 4}},
      {"replaces a longer log", {1, 2, 2, 2}, {1, 1}, {4}, true, 2, {}, {1, 4}},
      {"heartbeat", {1, 2, 2}, {1, 1}, {}, true, 1, {}, {1, 2, 2}},
      {"empty log", {}, {0, 0}, {1, 4}, true, 2, {}, {1, 4}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RaftNode node = NodeWithTerms(row.log);
    const auto response = ReceiveFromLeader<AppendResponse>(
        node, 4,
        AppendRequest{row.previous, EntriesOf(row.previous.index + 1, row.sent),
                      0, 7});
    CHECK(response.accepted == row.accepted);
    CHECK(response.match == row.match);
    CHECK(response.conflict == row.conflict);
    CHECK(response.round == 7);
    CHECK(TermsOf(node) == row.after);
    CHECK(node.term() == 4);
  }
}

TEST_CASE("a vote is granted once per term, to a log that is up to date",
          "[consensus]") {
  struct Row {
    const char* name;
    LogPosition last;
    Term term;
    bool granted;
  };
  const Row rows[] = {
      {"same log", {2, 2}, 3, true},    {"longer", {3, 2}, 3, true},
      {"newer term", {1, 3}, 4, true},  {"shorter", {1, 2}, 3, false},
      {"older term", {9, 1}, 3, false}, {"stale term", {9, 9}, 1, false},
  };
  for (const bool pre_vote : {true, false}) {
    for (const Row& row : rows) {
      CAPTURE(row.name, pre_vote);
      RaftNode node = NodeWithTerms({1, 2});
      const VoteRequest request{pre_vote, false, row.last};
      CHECK(ReceiveFromLeader<VoteResponse>(node, row.term, request).granted ==
            row.granted);
      if (pre_vote) {
        CHECK(node.term() == 2);
        continue;
      }
      // No other node gets the vote of the same term.
      node.Receive(kStart, HostId("control-2"),
                   {NodeId("third"), kSelf, std::max<Term>(row.term, 2),
                    VoteRequest{false, false, {2, 2}}});
      const auto effects = node.TakeEffects(kStart);
      const auto& body = effects.messages.at(0).message.body;
      CHECK(std::get<VoteResponse>(body).granted != row.granted);
    }
  }
}

// Guards against a new leader that takes the leases of the former one for older
// than they are: the former one may be the only voter that knows of its last
// round.
TEST_CASE("a former leader counts its own rounds when it votes",
          "[consensus]") {
  using std::chrono::milliseconds;
  RaftNode node = NodeWithTerms({1});
  const Instant elected = kStart + std::chrono::seconds(10);
  node.Tick(elected);
  const Term term = node.term() + 1;
  for (const bool pre_vote : {true, false}) {
    node.Receive(elected, kLeaderHost,
                 {kLeader, kSelf, term, VoteResponse{pre_vote, true}});
  }
  REQUIRE(node.role() == ControlRole::kLeader);
  node.TakeEffects(elected);
  // The next tick of the process is late.
  const Instant round_at = elected + milliseconds(300);
  REQUIRE(node.StartReadRound());
  node.TakeEffects(round_at);
  node.Receive(
      round_at + milliseconds(5), kLeaderHost,
      {kLeader, kSelf, term + 1, VoteRequest{false, true, node.log().last()}});
  const RaftEffects effects = node.TakeEffects(round_at + milliseconds(5));
  REQUIRE(effects.messages.size() == 1);
  const auto vote = std::get<VoteResponse>(effects.messages[0].message.body);
  REQUIRE(vote.granted);
  CHECK(vote.leader_silence <= milliseconds(5));
}

TEST_CASE("a vote is stored before it is sent", "[consensus]") {
  // In a new term, and in one that the node entered without voting.
  for (const Term term : {5U, 1U}) {
    CAPTURE(term);
    RaftNode node = NodeWithTerms({1});
    node.Receive(kStart, kLeaderHost,
                 {kLeader, kSelf, term, VoteRequest{false, false, {1, 1}}});
    CHECK(node.TakeEarlyMessages(kStart).empty());
    const RaftEffects effects = node.TakeEffects(kStart);
    CHECK(effects.hard_state == HardState{term, kLeader});
    CHECK(effects.messages.size() == 1);
  }
}

TEST_CASE(
    "a leader commits entries of older terms only with one of its own term",
    "[consensus]") {
  RaftNode node = NodeWithTerms({1});
  const auto store = [&] {
    static_cast<void>(node.TakeEffects(kStart));
    node.OnPersisted();
  };
  const auto receive = [&](Term term, PeerMessageBody body) {
    node.Receive(kStart, kLeaderHost, {kLeader, kSelf, term, std::move(body)});
  };
  node.Tick(kStart + std::chrono::minutes(1));
  receive(2, VoteResponse{true, true});
  receive(2, VoteResponse{false, true});
  REQUIRE(node.role() == ControlRole::kLeader);
  store();
  // A majority holds entry 1 of term 1, but no entry of term 2 yet.
  receive(2, AppendResponse{true, 1, {}, 0});
  store();
  CHECK(node.commit() == 0);
  CHECK_FALSE(node.CanChangeMembership());
  receive(2, AppendResponse{true, 2, {}, 0});
  CHECK(node.commit() == 2);
  CHECK(node.CanChangeMembership());
  // An entry that is not durable here does not count towards a majority.
  REQUIRE(node.Propose("x"));
  REQUIRE(node.TakeEarlyMessages(kStart).size() == 2);
  receive(2, AppendResponse{true, 3, {}, 0});
  CHECK(node.commit() == 2);
  store();
  CHECK(node.commit() == 3);
  // The next membership change has to wait until this one is committed.
  REQUIRE(node.ProposeMembership(kMembers.Without(NodeId("third"))));
  CHECK(node.ProposeMembership(kMembers).error().kind ==
        ErrorKind::kRevisionConflict);
}

TEST_CASE("a message addressed to a former node of the host is ignored",
          "[consensus]") {
  RaftNode node = NodeWithTerms({1});
  node.Receive(kStart, kLeaderHost,
               {kLeader, NodeId("lost"), 9, VoteRequest{false, false, {9, 9}}});
  CHECK(node.TakeEffects(kStart).messages.empty());
  CHECK(node.term() == 1);
}

TEST_CASE(
    "entries that replace others are kept after a snapshot in the same batch",
    "[consensus]") {
  MemoryFileSystem files;
  const HostId host("control-0");
  auto storage = LogStorage::Open(files, host, kSelf, {});
  REQUIRE(storage);
  REQUIRE(storage->Append(EntriesOf(1, {1, 1, 1})));
  RaftNode node = NodeWithTerms({1, 1, 1});
  node.Receive(kStart, kLeaderHost,
               {kLeader, kSelf, 2,
                AppendRequest{{1, 1}, EntriesOf(2, {2, 2, 2}), 0, 1}});
  const Snapshot snapshot{
      {3, 2}, kMembers, std::make_shared<const std::string>("state")};
  node.Receive(kStart, kLeaderHost,
               {kLeader, kSelf, 2,
                SnapshotRequest{{3, 2}, 0, EncodeSnapshot(snapshot), true, 2}});
  const RaftEffects effects = node.TakeEffects(kStart);
  REQUIRE(effects.snapshot);
  REQUIRE(storage->SaveSnapshot(*effects.snapshot, effects.drop_log));
  REQUIRE(storage->Append(effects.entries));
  auto opened = LogStorage::Open(files, host, kSelf, {});
  REQUIRE(opened);
  const RaftState state = opened->TakeRecovered();
  REQUIRE_FALSE(state.entries.empty());
  CHECK(state.entries.back().position == LogPosition{4, 2});
}

// Makes `node` the leader of a term in which all others vote for it.
void Elect(RaftNode& node, Instant now) {
  node.Tick(now);
  for (const bool pre_vote : {true, false}) {
    RaftEffects effects = node.TakeEffects(now);
    node.OnPersisted();
    for (const PeerEnvelope& envelope : effects.messages) {
      const PeerMessage& asked = envelope.message;
      node.Receive(
          now, envelope.host,
          {asked.to, kSelf, asked.term, VoteResponse{pre_vote, true, {}}});
    }
  }
  REQUIRE(node.role() == ControlRole::kLeader);
}

// Guards against a leader that piles up large entries for a follower which does
// not read, for as long as its link lives.
TEST_CASE("a follower that does not answer is sent a limited part of the log",
          "[consensus]") {
  struct Row {
    std::size_t entry_bytes;
    std::size_t max_bytes;
  };
  for (const Row& row : {Row{100, 1000}, Row{5000, 1000}, Row{300, 100000}}) {
    CAPTURE(row.entry_bytes, row.max_bytes);
    RaftSettings settings;
    settings.max_unacknowledged_bytes = row.max_bytes;
    settings.max_append_bytes = 400;
    RaftState state;
    state.hard_state = {1, NodeId()};
    state.snapshot.membership = kMembers;
    RaftNode node = *RaftNode::Create(settings, kSelf, state, kStart, 1);
    Instant now = kStart + 2 * settings.election_timeout;
    Elect(node, now);
    constexpr int kProposals = 200;
    std::size_t sent = 0;
    std::size_t heartbeats = 0;
    LogIndex confirmed = 0;
    for (int i = 0; i < kProposals; ++i) {
      now += settings.heartbeat_interval;
      REQUIRE(node.Propose(std::string(row.entry_bytes, 'x')));
      node.Tick(now);
      const RaftEffects effects = node.TakeEffects(now);
      node.OnPersisted();
      for (const PeerEnvelope& envelope : effects.messages) {
        const auto& request = std::get<AppendRequest>(envelope.message.body);
        if (envelope.message.to == kLeader) {
          // One follower keeps the leader in office.
          confirmed = request.previous.index + request.entries.size();
          AppendResponse response;
          response.accepted = true;
          response.match = confirmed;
          response.round = request.round;
          node.Receive(now, envelope.host,
                       {kLeader, kSelf, node.term(), response});
          continue;
        }
        if (request.entries.empty()) ++heartbeats;
        for (const LogEntry& entry : request.entries) {
          sent += entry.payload.size();
        }
      }
    }
    REQUIRE(node.role() == ControlRole::kLeader);
    CHECK(sent <= row.max_bytes + settings.max_append_bytes + row.entry_bytes);
    CHECK(sent >= std::min(row.max_bytes, kProposals * row.entry_bytes / 2));
    if (sent >= row.max_bytes) CHECK(heartbeats > 0);
    CHECK(node.commit() + 2 * settings.max_append_bytes > confirmed);
  }
}

}  // namespace
}  // namespace sapphirebank
