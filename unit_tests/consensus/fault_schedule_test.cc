#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "unit_tests/consensus/control_group.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRoundsPerSchedule = 80;
constexpr int kKeys = 6;
constexpr std::uint64_t kSeeds = 120;

struct SentChange {
  ApplyChange change;
  std::set<RequestToken> tokens;
};

struct SentClaim {
  Claim claim;
  RequestToken token = 0;
};

// One seeded schedule of commands and faults. Checks that every command whose
// completion reported success has taken effect.
class FaultSchedule {
 public:
  FaultSchedule(std::size_t hosts, std::uint64_t seed)
      : group_(hosts, seed, [](ControlHostSettings& settings) {
          settings.retention.snapshot_log_bytes = 3000;
          settings.retention.trailing_entries = 3;
          settings.segment_bytes = 1000;
          settings.raft.snapshot_chunk_bytes = 700;
          settings.raft.max_append_bytes = 300;
          settings.raft.max_unacknowledged_entries = 8;
        }) {}

  void Run() {
    group_.AwaitLeader();
    for (int round = 0; round < kRoundsPerSchedule; ++round) {
      InjectFault();
      SendCommands();
      group_.Run(milliseconds(50 + group_.random().Below(400)));
      CheckCompletions();
    }
    RestoreAndSettle();
  }

  // Failed disks recover after a while, and their hosts keep running.
  void UseDisksThatRecover() {
    disks_recover_ = true;
    group_.KeepHostsWithFailedDisks();
  }

  std::size_t accepted() const { return accepted_changes_.size(); }

  void CheckOutcome() {
    for (const std::string& violation : group_.violations()) {
      FAIL_CHECK(violation);
    }
    const auto leader = group_.Leader();
    REQUIRE(leader);
    const DeclarationStore& final_state =
        group_.at(*leader).state().declarations();
    for (const auto& [revision, id] : accepted_changes_) {
      CAPTURE(revision, id);
      CHECK(final_state.document()->contains(id));
      CHECK(revision <= final_state.revision());
      // A resend returns the first result.
      const Completion again = group_.Call(changes_.at(id).change);
      CHECK(again.result == CommandResult(ChangeResult{revision}));
    }
    CHECK(final_state.document()->size() == final_state.revision());
    const std::string state = group_.at(*leader).state().Snapshot();
    for (std::size_t i = 0; i < group_.size(); ++i) {
      CHECK(group_.at(i).state().Snapshot() == state);
    }
  }

 private:
  std::size_t RandomHost() { return group_.random().Below(group_.size()); }

  void InjectFault() {
    Random& random = group_.random();
    switch (random.Below(12)) {
      case 0:
        group_.BlockLink(RandomHost(), RandomHost());
        break;
      case 1:
        group_.Isolate(RandomHost());
        break;
      case 2:
      case 3:
        group_.Heal();
        break;
      case 4:
        group_.set_network({0.1, 0.1, milliseconds(300)});
        break;
      case 5:
        group_.set_network({});
        break;
      case 6:
      case 7:
        if (const std::size_t host = RandomHost(); group_.IsUp(host)) {
          group_.Crash(host);
        }
        break;
      case 8:
        if (disks_recover_) {
          group_.files(RandomHost())
              .FailFor(random.Below(20), 1 + random.Below(8));
        } else {
          group_.files(RandomHost()).FailAfter(random.Below(20));
        }
        break;
      case 9:
        // At most one disk is lost before the group is complete again.
        if (group_.IsComplete()) group_.LoseDisk(RandomHost());
        break;
      default:
        StartAll();
        break;
    }
  }

  void StartAll() {
    for (std::size_t i = 0; i < group_.size(); ++i) {
      if (!group_.IsUp(i)) group_.Start(i);
    }
  }

  void SendCommands() {
    for (std::size_t host = 0; host < group_.size(); ++host) {
      // A host that wrongly believes to be the leader receives commands as
      // well.
      if (!group_.IsUp(host) || !group_.at(host).IsLeader()) continue;
      SendChange(host);
      SendClaim(host);
      reads_and_minimum_revisions_[group_.Read(host)] = NewestAccepted();
    }
  }

  Revision NewestAccepted() const {
    return accepted_changes_.empty() ? 0 : accepted_changes_.rbegin()->first;
  }

  void SendChange(std::size_t host) {
    if (!changes_.empty() && group_.random().Chance(0.4)) {
      auto old = changes_.begin();
      std::advance(old, group_.random().Below(changes_.size()));
      old->second.tokens.insert(group_.Propose(host, old->second.change));
      return;
    }
    const std::string id = fmt::format("c{}", changes_.size());
    const Revision base = group_.at(host).state().declarations().revision();
    SentChange& sent = changes_[id];
    sent.change = ChangeOf(base, id, id, 1);
    sent.tokens.insert(group_.Propose(host, sent.change));
  }

  void SendClaim(std::size_t host) {
    Random& random = group_.random();
    const Claim claim = ClaimOf(fmt::format("k{}", random.Below(kKeys)),
                                fmt::format("r{}", claims_.size()));
    claims_.push_back({claim, group_.Propose(host, claim)});
    for (const SentClaim& sent : claims_) {
      const RequestId& request = sent.claim.holder.request;
      if (!IsGranted(sent) || !random.Chance(0.2)) continue;
      if (!completed_requests_.insert(request).second) continue;
      const bool has_run = random.Chance(0.3);
      if (!has_run) not_run_requests_.insert(request);
      group_.Propose(host, CompletionOf(sent.claim,
                                        has_run ? ClaimOutcome::kAnswered
                                                : ClaimOutcome::kNotRun,
                                        "body"));
    }
  }

  bool IsGranted(const SentClaim& sent) const {
    const Completion* completion = group_.Find(sent.token);
    return completion != nullptr &&
           ClaimStateOf(*completion) == ClaimState::kGranted;
  }

  void CheckCompletions() {
    CheckChangeCompletions();
    CheckClaimCompletions();
    for (const auto& [token, newest] : reads_and_minimum_revisions_) {
      const Completion* read = group_.Find(token);
      if (read == nullptr || !read->result) continue;
      CHECK(read->revision >= newest);
    }
    reads_and_minimum_revisions_.clear();
  }

  void CheckChangeCompletions() {
    for (const auto& [id, sent] : changes_) {
      for (const RequestToken token : sent.tokens) {
        const Completion* completion = group_.Find(token);
        if (completion == nullptr || !completion->result) continue;
        const Revision revision =
            std::get<ChangeResult>(*completion->result).revision;
        const auto known = accepted_changes_.emplace(revision, id).first;
        CHECK(known->second == id);
      }
    }
  }

  // Checks that a claim has one holder at a time, except for those that
  // reported kNotRun.
  void CheckClaimCompletions() {
    std::map<ClaimKey, int> holders;
    for (const SentClaim& sent : claims_) {
      if (!IsGranted(sent)) continue;
      if (not_run_requests_.contains(sent.claim.holder.request)) continue;
      CHECK(++holders[sent.claim.key] == 1);
    }
  }

  void RestoreAndSettle() {
    group_.Heal();
    group_.set_network({});
    for (std::size_t i = 0; i < group_.size(); ++i) {
      group_.files(i).FailAfter(MemoryFileSystem::kNever);
    }
    StartAll();
    CHECK(group_.RunUntil([&] { return group_.IsComplete(); }));
    group_.AwaitLeader();
    group_.Run(seconds(2));
    CheckCompletions();
  }

  ControlGroup group_;
  bool disks_recover_ = false;
  std::map<std::string, SentChange> changes_;
  std::map<Revision, std::string> accepted_changes_;
  std::vector<SentClaim> claims_;
  std::set<RequestId> completed_requests_;
  std::set<RequestId> not_run_requests_;
  std::map<RequestToken, Revision> reads_and_minimum_revisions_;
};

// Runs and checks all schedules. `disks_recover` lets hosts outlive failures of
// their disks.
void CheckSchedules(bool disks_recover) {
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::size_t hosts = seed % 4 == 0 ? 5 : 3;
    CAPTURE(seed, hosts);
    FaultSchedule schedule(hosts, seed);
    if (disks_recover) schedule.UseDisksThatRecover();
    schedule.Run();
    schedule.CheckOutcome();
    accepted += schedule.accepted();
  }
  // The faults must leave room for changes to be accepted.
  CHECK(accepted > 10 * kSeeds);
}

TEST_CASE("accepted changes are kept and equal on all hosts under any faults",
          "[consensus]") {
  CheckSchedules(false);
}

// Guards against a promise that is forgotten when a host goes on after a failed
// write or sync.
TEST_CASE(
    "accepted changes are kept when hosts outlive failures of their disks",
    "[consensus]") {
  CheckSchedules(true);
}

}  // namespace
}  // namespace sapphirebank
