#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "unit_tests/consensus/control_group.h"

// How control hosts find a group whose hosts they know only in part. Messages
// travel over links, which a host opens to the hosts that it knows.
namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The shortest time after its start in which a host must be a full member.
constexpr Duration kAdmissionLimit = seconds(4);

constexpr std::size_t kSeeds = 3;

// A group of which `founders` are the seeds of the first start. The last
// `newcomers` hosts are not started at first.
class OpenGroup {
 public:
  OpenGroup(std::size_t hosts, std::size_t newcomers, std::uint64_t seed)
      : group(hosts, seed, [this](ControlHostSettings& settings) {
          settings.dynamic_membership = true;
          settings.hello_interval = milliseconds(300);
          settings.control_hosts = seeds;
          if (has_founders) settings.founders = seeds;
        }) {
    group.UseLinks();
    group.set_network({0, 0, milliseconds(10)});
    for (std::size_t i = 0; i < newcomers; ++i) group.Crash(hosts - 1 - i);
    members = hosts - newcomers;
  }

  // Forms the group, without the newcomers.
  bool Form() {
    const bool formed = AwaitVoters(seconds(20), members);
    has_founders = false;
    return formed;
  }

  // Suspends leaders until a host leads that is not in `excluded`.
  bool AwaitLeaderOutside(const std::set<std::size_t>& excluded) {
    for (int attempt = 0; attempt < 100; ++attempt) {
      const std::size_t leader = group.AwaitLeader();
      if (!excluded.contains(leader)) return true;
      group.Isolate(leader);
      group.Run(seconds(2));
      group.Heal();
      group.Run(seconds(1));
    }
    return false;
  }

  void StartNewcomer(std::size_t host) {
    group.LoseDisk(host);
    group.Start(host);
  }

  bool IsVoter(std::size_t host) {
    const auto leader = group.Leader();
    return leader && group.IsUp(host) &&
           group.at(*leader).raft().membership().IsVoter(
               group.at(host).raft().self()) &&
           group.at(host).IsMember();
  }

  bool AwaitVoters(Duration limit, std::size_t voters) {
    return RunFor(limit, [&] {
      const auto leader = group.Leader();
      return leader &&
             group.at(*leader).raft().membership().VoterCount() >= voters;
    });
  }

  // Runs until `done`, for `limit` at most.
  template <typename Done>
  bool RunFor(Duration limit, const Done& done) {
    const Instant end = group.now() + limit;
    while (!done()) {
      if (group.now() >= end) return false;
      group.Run(milliseconds(10));
    }
    return true;
  }

  std::vector<HostId> seeds = {ControlGroup::HostIdOf(0),
                               ControlGroup::HostIdOf(1),
                               ControlGroup::HostIdOf(2)};
  bool has_founders = true;
  std::size_t members = 0;
  ControlGroup group;
};

const std::set<std::size_t> kSeedIndices = {0, 1, 2};

// Guards against newcomers that stay outside for as long as no seed leads.
TEST_CASE("a newcomer is admitted while the leader is not one of its seeds",
          "[admission]") {
  const auto seed = GENERATE(range(1, 11));
  OpenGroup open(6, 1, static_cast<std::uint64_t>(seed));
  REQUIRE(open.Form());
  REQUIRE(open.AwaitLeaderOutside(kSeedIndices));
  open.StartNewcomer(5);
  CHECK(open.RunFor(kAdmissionLimit, [&] { return open.IsVoter(5); }));
  CHECK(open.group.violations().empty());
}

// Guards against a start after which half of 19 hosts never join: the leader
// that admits the first of them is lost, and the next one is not a seed.
TEST_CASE("19 hosts form one group although leaders are lost meanwhile",
          "[admission]") {
  const auto seed = GENERATE(range(1, 11));
  OpenGroup open(19, 0, static_cast<std::uint64_t>(seed));
  std::set<std::size_t> lost;
  for (int i = 0; i < 2; ++i) {
    open.AwaitVoters(seconds(5), kSeeds + 2 * static_cast<std::size_t>(i + 1));
    const std::size_t leader = open.group.AwaitLeader();
    open.group.Isolate(leader);
    lost.insert(leader);
    open.group.Run(milliseconds(1500));
    open.group.Heal();
  }
  CHECK(open.AwaitVoters(seconds(10), 19));
  CHECK(open.group.violations().empty());
}

TEST_CASE("several newcomers are admitted together", "[admission]") {
  const auto seed = GENERATE(range(1, 6));
  OpenGroup open(10, 4, static_cast<std::uint64_t>(seed));
  REQUIRE(open.Form());
  REQUIRE(open.AwaitLeaderOutside(kSeedIndices));
  for (std::size_t i = 6; i < 10; ++i) open.StartNewcomer(i);
  CHECK(open.RunFor(kAdmissionLimit, [&] {
    return open.IsVoter(6) && open.IsVoter(7) && open.IsVoter(8) &&
           open.IsVoter(9);
  }));
  CHECK(open.group.violations().empty());
}

// Guards against a host that takes its seeds for members of the group.
TEST_CASE("a newcomer is admitted whose only seed is outside the group",
          "[admission]") {
  const auto seed = GENERATE(range(1, 6));
  OpenGroup open(7, 2, static_cast<std::uint64_t>(seed));
  REQUIRE(open.Form());
  REQUIRE(open.AwaitLeaderOutside(kSeedIndices));
  // Host 5 knows one member and host 6 knows host 5 only.
  open.seeds = {ControlGroup::HostIdOf(1)};
  open.StartNewcomer(5);
  open.seeds = {ControlGroup::HostIdOf(5)};
  open.StartNewcomer(6);
  CHECK(open.RunFor(kAdmissionLimit,
                    [&] { return open.IsVoter(5) && open.IsVoter(6); }));
  CHECK(open.group.violations().empty());
}

TEST_CASE("hosts are admitted after all seeds of the first start are gone",
          "[admission]") {
  const auto seed = GENERATE(range(1, 6));
  OpenGroup open(11, 2, static_cast<std::uint64_t>(seed));
  REQUIRE(open.Form());
  for (std::size_t lost : {0U, 1U, 2U}) {
    open.group.Crash(lost);
    open.group.Run(seconds(6));
  }
  open.seeds = {ControlGroup::HostIdOf(0), ControlGroup::HostIdOf(4)};
  open.StartNewcomer(9);
  open.StartNewcomer(10);
  CHECK(open.RunFor(kAdmissionLimit,
                    [&] { return open.IsVoter(9) && open.IsVoter(10); }));
  CHECK(open.group.violations().empty());
}

// A newcomer of an earlier build connects to its seeds only.
TEST_CASE("the leader contacts a newcomer that does not reach it",
          "[admission]") {
  const auto seed = GENERATE(range(1, 6));
  OpenGroup open(6, 1, static_cast<std::uint64_t>(seed));
  REQUIRE(open.Form());
  REQUIRE(open.AwaitLeaderOutside(kSeedIndices));
  open.StartNewcomer(5);
  const std::size_t leader = open.group.AwaitLeader();
  CHECK(open.RunFor(seconds(2), [&] {
    const auto hosts = open.group.at(leader).HostsToContact(open.group.now());
    return std::find(hosts.begin(), hosts.end(), ControlGroup::HostIdOf(5)) !=
           hosts.end();
  }));
}

TEST_CASE("a host that nobody names any more is forgotten", "[admission]") {
  PeerContacts contacts(HostId("self"));
  const std::vector<HostId> named = {HostId("a"), HostId("self")};
  contacts.Learn(Instant(seconds(1)), named);
  CHECK(contacts.Known(Instant(seconds(2))) ==
        std::vector<HostId>{HostId("a")});
  CHECK(contacts.Known(Instant(seconds(1)) + PeerContacts::kRetention).empty());
}

}  // namespace
}  // namespace sapphirebank
