#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/fleet_hub.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr RequestFingerprint kRequest = 42;

TEST_CASE("a quarantine that is told again does not begin anew", "[fleet]") {
  CrashingRequestDetector told{CrashingRequestSettings()};
  CHECK(told.RecordQuarantine(kStart, {kRequest, seconds(20)}));
  CHECK_FALSE(told.RecordQuarantine(kStart, {kRequest, seconds(10)}));
  CHECK(told.IsQuarantined(kStart + seconds(19), kRequest));
  // Crashes of before, told again by hosts that report to a hub first.
  for (const char* server : {"a", "b", "c"}) {
    CHECK_FALSE(told.RecordCrash(kStart + seconds(5), kRequest,
                                 BackendId(server), seconds(5)));
  }
  CHECK_FALSE(told.IsQuarantined(kStart + seconds(20), kRequest));
  // It is no longer than this host would have made it.
  CHECK(told.RecordQuarantine(kStart + seconds(30),
                              {kRequest, std::chrono::hours(1)}));
  CHECK_FALSE(told.IsQuarantined(kStart + seconds(91), kRequest));
}

TEST_CASE("a crash counts from when it happened", "[fleet]") {
  CrashingRequestDetector detector{CrashingRequestSettings()};
  detector.RecordCrash(kStart, kRequest, BackendId("a"), seconds(16));
  CHECK(detector.Crashes(kStart).empty());
  detector.RecordCrash(kStart, kRequest, BackendId("a"), seconds(10));
  REQUIRE(detector.Crashes(kStart + seconds(1)).size() == 1);
  CHECK(detector.Crashes(kStart + seconds(1))[0].age == seconds(11));
  // The same crash, told by another host.
  detector.RecordCrash(kStart, kRequest, BackendId("a"), seconds(10));
  detector.RecordCrash(kStart, kRequest, BackendId("b"));
  CHECK(detector.Quarantines(kStart).empty());
  CHECK(detector.RecordCrash(kStart, kRequest, BackendId("c"), seconds(9)));
}

// Three control hosts and two entry hosts that exchange reports, without a
// network. Control hosts are killed and start again without what they knew.
class ControlHostLosses {
 public:
  explicit ControlHostLosses(std::uint64_t seed) : random_(seed) {
    record_.Apply(StorePlan{1, R"({"version":1})"});
    for (std::size_t i = 0; i < hubs_.size(); ++i) StartHub(i);
    ElectLeader();
    for (EntryHost& entry : entries_) entry.hub = random_.Below(hubs_.size());
  }

  void RecordCrash(const std::string& server) {
    EntryHost& entry = entries_[random_.Below(entries_.size())];
    entry.view.RecordCrash(now_, kRequest, BackendId(server));
    entry.crashes.push_back({kRequest, BackendId(server)});
    Report(entry);
  }

  void KillLeader() {
    KillHub(leader_);
    ElectLeader();
  }
  void KillAll() {
    for (std::size_t i = 0; i < hubs_.size(); ++i) KillHub(i);
    ElectLeader();
  }

  // Lets time pass in which everybody reports.
  void Pass(Duration time) {
    for (const Instant end = now_ + time; now_ < end;
         now_ += milliseconds(250)) {
      for (EntryHost& entry : entries_) Report(entry);
      for (std::size_t i = 0; i < hubs_.size(); ++i) SyncWithLeader(i);
      for (EntryHost& entry : entries_) Report(entry);
      for (Hub& hub : hubs_) hub.hub->Tick(now_);
    }
  }

  bool AllRefuse() const {
    return std::all_of(entries_.begin(), entries_.end(),
                       [&](const EntryHost& entry) {
                         return entry.view.IsQuarantined(now_, kRequest);
                       });
  }

 private:
  struct Hub {
    std::unique_ptr<FleetHub> hub;
    bool reports_first = true;
  };
  struct EntryHost {
    explicit EntryHost(const char* name) : id(name) {}

    HostId id;
    EntryView view{[](std::string_view) { return Result<PlanPtr>(MakePlan()); },
                   ViewLeaseSettings()};
    std::vector<RequestCrash> crashes;
    std::size_t hub = 0;
    bool reports_first = true;
  };
  using PlanPtr = std::shared_ptr<const TrafficPlan>;

  static PlanPtr MakePlan() { return sapphirebank::MakePlan(MakePlanParts(1)); }

  static HostId HubId(std::size_t index) {
    return HostId("core-" + std::to_string(index));
  }

  void StartHub(std::size_t index) {
    ++starts_;
    hubs_[index].hub = std::make_unique<FleetHub>(
        FleetHubSettings(), starts_,
        HubHost{HubId(index).value(), ZoneId("kochi")}, Random(starts_));
    hubs_[index].reports_first = true;
    hubs_[index].hub->ApplyRecord(now_, record_, MakePlan());
  }

  void KillHub(std::size_t index) {
    StartHub(index);
    for (EntryHost& entry : entries_) {
      if (entry.hub != index) continue;
      entry.hub = random_.Below(hubs_.size());
      entry.reports_first = true;
    }
  }

  void ElectLeader() {
    leader_ = (leader_ + 1 + random_.Below(hubs_.size() - 1)) % hubs_.size();
    for (std::size_t i = 0; i < hubs_.size(); ++i) {
      hubs_[i].reports_first = true;
      if (i != leader_) hubs_[i].hub->BecomeRelay();
    }
    hubs_[leader_].hub->BecomeLeader(now_);
  }

  void Report(EntryHost& entry) {
    EntryReport report;
    report.registry_id = entry.view.registry_id();
    report.known_registry_changes = entry.view.registry_changes();
    report.known_plan_version = 1;
    report.crashes = std::exchange(entry.crashes, {});
    if (std::exchange(entry.reports_first, false)) {
      entry.view.FillCrashes(now_, report);
    }
    const FleetUpdate update = hubs_[entry.hub].hub->HandleReport(
        now_, entry.id, false, report, record_);
    CHECK(entry.view.Apply(now_, now_, update));
  }

  void SyncWithLeader(std::size_t index) {
    if (index == leader_) return;
    Hub& relay = hubs_[index];
    const EntryReport report = relay.hub->BuildLeaderReport(
        now_, std::exchange(relay.reports_first, false));
    relay.hub->ApplyLeaderUpdate(now_,
                                 hubs_[leader_].hub->HandleReport(
                                     now_, HubId(index), true, report, record_),
                                 record_);
  }

  Random random_;
  FleetRecord record_;
  Instant now_ = kStart;
  std::uint64_t starts_ = 0;
  std::size_t leader_ = 0;
  std::array<Hub, 3> hubs_;
  std::array<EntryHost, 2> entries_{EntryHost("front-0"), EntryHost("front-1")};
};

// Guards against a request that crashes more servers after each change of the
// leader, as the new one forgot the crashes before.
TEST_CASE("crashes and quarantines outlive the leader and all control hosts",
          "[fleet]") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    ControlHostLosses fleet(seed);
    const auto disturb = [&] {
      fleet.Pass(milliseconds(250 * random.Below(6)));
      const std::uint64_t kind = random.Below(4);
      if (kind == 0) fleet.KillAll();
      if (kind == 1) fleet.KillLeader();
      fleet.Pass(milliseconds(250 * random.Below(6)));
    };
    for (const char* server : {"a", "b", "c"}) {
      CHECK_FALSE(fleet.AllRefuse());
      fleet.RecordCrash(server);
      disturb();
    }
    // The rule's time for hosts in touch.
    fleet.Pass(seconds(3));
    CHECK(fleet.AllRefuse());
    for (int round = 0; round < 6; ++round) {
      disturb();
      CHECK(fleet.AllRefuse());
    }
    // A quarantine ends by the time of the crashes, whatever was lost since.
    fleet.Pass(seconds(60));
    CHECK_FALSE(fleet.AllRefuse());
  }
}

}  // namespace
}  // namespace sapphirebank
