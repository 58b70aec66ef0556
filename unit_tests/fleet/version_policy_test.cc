#include "sapphirebank/fleet/version_policy.h"

#include <catch2/catch.hpp>
#include <vector>

#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

struct PolicyFixture {
  VersionPolicy policy;
  std::vector<ServerAnnouncement> servers = {
      MakeVersionedServer("a", "v1", 100), MakeVersionedServer("b", "v2", 200),
      MakeVersionedServer("c", "v3", 300), MakeVersionedServer("d", "", 50)};

  // Returns the uses of v1, v2, v3 and a server without a version.
  std::vector<VersionUse> Uses() {
    std::vector<const ServerAnnouncement*> in_use;
    in_use.reserve(servers.size());
    for (const ServerAnnouncement& server : servers) in_use.push_back(&server);
    policy.SetServers(in_use);
    std::vector<VersionUse> uses;
    uses.reserve(servers.size());
    for (const ServerAnnouncement& server : servers) {
      uses.push_back(policy.UseOf(server));
    }
    return uses;
  }
  std::vector<VersionUse> UsesWith(RolloutPhase phase) {
    policy.SetRecord(MakeVersions(MakeRollout(phase)));
    return Uses();
  }
};

constexpr VersionUse kOpen = VersionUse::kOpen;
constexpr VersionUse kByShare = VersionUse::kByShare;
constexpr VersionUse kNone = VersionUse::kNone;

// Guards against requests at a version that runs before its order, or of which
// there is no order.
TEST_CASE("a version that no order names gets nothing beside another one",
          "[fleet]") {
  PolicyFixture fixture;
  CHECK(fixture.Uses() == std::vector{kOpen, kOpen, kOpen, kOpen});
  fixture.policy.SetRecord(VersionRecord());
  CHECK(fixture.Uses() == std::vector{kOpen, kNone, kNone, kOpen});
  CHECK(fixture.UsesWith(RolloutPhase::kTrial) ==
        std::vector{kOpen, kByShare, kNone, kOpen});
  CHECK(fixture.UsesWith(RolloutPhase::kSwitch) ==
        std::vector{kNone, kOpen, kNone, kNone});
  CHECK(fixture.UsesWith(RolloutPhase::kCompleted) ==
        std::vector{kNone, kOpen, kNone, kNone});
  CHECK(fixture.UsesWith(RolloutPhase::kRolledBack) ==
        std::vector{kOpen, kNone, kNone, kOpen});
}

// Guards against a replaced version that gets requests again in the next trial,
// as its servers are still listed.
TEST_CASE("the version of the last completed rollout is in use in the next one",
          "[fleet]") {
  PolicyFixture fixture;
  VersionRecord versions =
      MakeVersions(MakeRollout(RolloutPhase::kTrial, 9, "v3"));
  versions.current_versions[ServiceId("desk")] = "v2";
  fixture.policy.SetRecord(versions);
  CHECK(fixture.Uses() == std::vector{kNone, kOpen, kByShare, kOpen});
  // Without one, the rolled back version of the rollout before stays out.
  versions.current_versions.clear();
  versions.rollouts.begin()->second.barred_versions = {"v2"};
  fixture.policy.SetRecord(versions);
  CHECK(fixture.Uses() == std::vector{kOpen, kNone, kByShare, kOpen});
}

TEST_CASE("the only version of a service is in use", "[fleet]") {
  PolicyFixture fixture;
  fixture.policy.SetRecord(VersionRecord());
  fixture.servers = {MakeVersionedServer("c", "v3", 300)};
  CHECK(fixture.Uses() == std::vector{kOpen});
}

}  // namespace
}  // namespace sapphirebank
