#include "sapphirebank/membership/membership.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <tuple>

#include "unit_tests/membership/fake_fleet.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kHosts = 12;
// Time for a small fleet to detect and spread any single change.
constexpr Duration kSettleTime = seconds(30);

MembershipSettings Defaults() {
  MembershipSettings settings;
  settings.seeds = FakeFleet::Seeds();
  return settings;
}

// Records the events of a fleet by observer, kind and subject.
class EventLog {
 public:
  explicit EventLog(FakeFleet& fleet) {
    fleet.set_on_event([this](const std::string& at, const MemberEvent& event) {
      ++counts_[event.kind];
      entries_.insert(EntryOf(at, event.kind, event.member.id.value()));
    });
  }

  int Count(MemberEventKind kind) { return counts_[kind]; }
  bool Has(const std::string& at, MemberEventKind kind,
           const std::string& subject) {
    return entries_.count(EntryOf(at, kind, subject)) > 0;
  }
  int CountAt(const std::string& at, MemberEventKind kind) {
    int count = 0;
    for (const auto& [observer, event_kind, subject] : entries_) {
      if (observer == at && event_kind == kind) ++count;
    }
    return count;
  }
  void Clear() {
    counts_.clear();
    entries_.clear();
  }

 private:
  using Entry = std::tuple<std::string, MemberEventKind, std::string>;

  static Entry EntryOf(const std::string& at, MemberEventKind kind,
                       const std::string& subject) {
    return {at, kind, subject};
  }

  std::map<MemberEventKind, int> counts_;
  std::set<Entry> entries_;
};

TEST_CASE("hosts discover each other through seeds", "[membership]") {
  FakeFleet fleet(1);
  fleet.StartMany(kHosts, Defaults());
  fleet.Run(kSettleTime);
  CHECK(fleet.AllHostsSee(kHosts));
  const auto view = fleet["h0005"].LiveMembers();
  REQUIRE(view.size() == kHosts);
  for (int i = 0; i < kHosts; ++i) {
    CHECK(view[i].id.value() == FakeFleet::Name(i));
    CHECK(view[i].details.address == FakeFleet::Name(i));
    CHECK(view[i].details.zone == ZoneId("zone"));
    CHECK(view[i].state == MemberState::kAlive);
  }
}

TEST_CASE("each fault of a host leads to the expected view at the others",
          "[membership]") {
  struct Row {
    const char* fault;
    std::function<void(FakeFleet&)> begin;
    std::size_t live_at_others;
    MemberEventKind event;
  };
  const std::string faulty_host = "h0007";
  const auto drop_from_faulty_host = [&](FakeFleet& fleet) {
    fleet.set_passes([&](const std::string& from, const std::string&) {
      return from != faulty_host;
    });
  };
  const auto drop_to_faulty_host = [&](FakeFleet& fleet) {
    fleet.set_passes([&](const std::string&, const std::string& to) {
      return to != faulty_host;
    });
  };
  const auto drop_one_direction = [&](FakeFleet& fleet) {
    fleet.set_passes([&](const std::string& from, const std::string& to) {
      return from != faulty_host || to != "h0003";
    });
  };
  const Row rows[] = {
      {"killed", [&](FakeFleet& fleet) { fleet.Kill(faulty_host); }, kHosts - 1,
       MemberEventKind::kFailed},
      {"process suspended",
       [&](FakeFleet& fleet) { fleet.Suspend(faulty_host); }, kHosts - 1,
       MemberEventKind::kFailed},
      {"sends nothing", drop_from_faulty_host, kHosts - 1,
       MemberEventKind::kFailed},
      {"receives nothing", drop_to_faulty_host, kHosts - 1,
       MemberEventKind::kFailed},
      {"left", [&](FakeFleet& fleet) { fleet.Leave(faulty_host); }, kHosts - 1,
       MemberEventKind::kLeft},
      {"one pair cut in one direction", drop_one_direction, kHosts,
       MemberEventKind::kJoined},
  };
  for (const Row& row : rows) {
    INFO(row.fault);
    FakeFleet fleet(2);
    EventLog log(fleet);
    fleet.StartMany(kHosts, Defaults());
    fleet.Run(kSettleTime);
    REQUIRE(fleet.AllHostsSee(kHosts));
    row.begin(fleet);
    fleet.Run(kSettleTime);
    for (int i = 0; i < kHosts; ++i) {
      const std::string name = FakeFleet::Name(i);
      if (name == faulty_host) continue;
      INFO(name << " sees " << fleet.View(name));
      CHECK(fleet[name].LiveMembers().size() == row.live_at_others);
      CHECK(log.Has(name, row.event, faulty_host));
    }
  }
}

TEST_CASE("a host that receives nothing marks no other host as failed",
          "[membership]") {
  FakeFleet fleet(3);
  EventLog log(fleet);
  fleet.StartMany(kHosts, Defaults());
  fleet.Run(kSettleTime);
  log.Clear();
  fleet.set_passes(
      [](const std::string&, const std::string& to) { return to != "h0007"; });
  fleet.Run(minutes(3));
  CHECK(log.Count(MemberEventKind::kIsolated) == 1);
  CHECK(fleet["h0007"].isolated());
  CHECK(log.Count(MemberEventKind::kFailed) == kHosts - 1);
  CHECK(fleet["h0007"].LiveMembers().size() == kHosts);
}

TEST_CASE("views merge after a partition heals", "[membership]") {
  const int left_sizes[] = {6, 11};
  for (const int left_size : left_sizes) {
    FakeFleet fleet(4);
    fleet.StartMany(kHosts, Defaults());
    fleet.Run(kSettleTime);
    const std::string first_right = FakeFleet::Name(left_size);
    fleet.set_passes([&](const std::string& from, const std::string& to) {
      return (from < first_right) == (to < first_right);
    });
    fleet.Run(minutes(2));
    CHECK(fleet["h0000"].LiveMembers().size() ==
          static_cast<std::size_t>(left_size));
    fleet.set_passes(nullptr);
    fleet.Run(minutes(2));
    CHECK(fleet.AllHostsSee(kHosts));
  }
}

TEST_CASE("views merge after a partition heals even if all seeds failed",
          "[membership]") {
  FakeFleet fleet(10);
  fleet.StartMany(kHosts, Defaults());
  fleet.Run(kSettleTime);
  fleet.set_passes([&](const std::string& from, const std::string& to) {
    return (from < "h0006") == (to < "h0006");
  });
  fleet.Run(minutes(1));
  for (const std::string& seed : FakeFleet::Seeds()) fleet.Kill(seed);
  fleet.Run(minutes(1));
  fleet.set_passes(nullptr);
  fleet.Run(minutes(2));
  CHECK(fleet.AllHostsSee(kHosts - FakeFleet::Seeds().size()));
}

TEST_CASE("a restarted host replaces its previous process", "[membership]") {
  const Incarnation incarnations[] = {100, 50, 40};  // Clocks may go backwards.
  FakeFleet fleet(5);
  EventLog log(fleet);
  MembershipSettings settings = Defaults();
  settings.incarnation = 50;
  fleet.StartMany(kHosts, settings);
  fleet.Run(kSettleTime);
  for (const Incarnation incarnation : incarnations) {
    INFO(incarnation);
    log.Clear();
    settings.incarnation = incarnation;
    settings.metadata = "process " + std::to_string(incarnation);
    fleet.Start("h0007", settings);
    fleet.Run(kSettleTime);
    CHECK(fleet.AllHostsSee(kHosts));
    CHECK(log.Has("h0003", MemberEventKind::kRestarted, "h0007"));
    CHECK(log.Count(MemberEventKind::kIdConflict) == 0);
    CHECK(fleet["h0003"].LiveMembers()[7].details.metadata ==
          settings.metadata);
  }
}

TEST_CASE("one of two live processes with the same id reports a conflict",
          "[membership]") {
  FakeFleet fleet(6);
  EventLog log(fleet);
  fleet.StartMany(kHosts, Defaults());
  fleet.Run(kSettleTime);
  MembershipSettings duplicate = Defaults();
  duplicate.address = "elsewhere";
  fleet.Start("h0007", duplicate);
  fleet.Run(minutes(2));
  CHECK(log.Count(MemberEventKind::kIdConflict) == 1);
  CHECK(fleet["h0007"].id_conflict() != fleet["elsewhere"].id_conflict());
}

TEST_CASE("changed metadata reaches every host", "[membership]") {
  FakeFleet fleet(7, {.loss = 0.05});
  fleet.StartMany(kHosts, Defaults());
  fleet.Run(kSettleTime);
  REQUIRE(fleet["h0007"].SetMetadata("revision 8"));
  fleet.Run(kSettleTime);
  for (int i = 0; i < kHosts; ++i) {
    const auto view = fleet[FakeFleet::Name(i)].LiveMembers();
    REQUIRE(view.size() == kHosts);
    CHECK(view[7].details.metadata == "revision 8");
  }
  CHECK_FALSE(
      fleet["h0007"].SetMetadata(std::string(kMaxMetadataBytes + 1, 'm')));
}

TEST_CASE("a resumed process suspects no member because of its pause",
          "[membership]") {
  for (std::uint64_t seed = 200; seed < 210; ++seed) {
    FakeFleet fleet(seed);
    EventLog log(fleet);
    fleet.StartMany(kHosts, Defaults());
    fleet.Run(kSettleTime);
    fleet.set_passes([](const std::string&, const std::string& to) {
      return to != "h0007";
    });
    fleet.Run(Defaults().probe_period);
    fleet.set_passes(nullptr);
    fleet.Suspend("h0007");
    fleet.Run(minutes(5));
    log.Clear();
    fleet.Resume("h0007");
    CHECK(log.CountAt("h0007", MemberEventKind::kSuspected) == 0);
    CHECK(log.CountAt("h0007", MemberEventKind::kFailed) == 0);
    fleet.Run(kSettleTime);
    CHECK(fleet.AllHostsSee(kHosts));
    CHECK(log.Count(MemberEventKind::kFailed) == 0);
  }
}

TEST_CASE("the latest stamp spreads and its age is never underestimated",
          "[membership]") {
  FakeFleet fleet(9, {.loss = 0.05, .max_delay = milliseconds(400)});
  fleet.StartMany(kHosts, Defaults());
  fleet.Run(kSettleTime);
  const Instant issued = fleet.now();
  fleet["h0002"].ObserveStamp(issued, {41, Duration::zero()});
  for (int i = 0; i < 300; ++i) {
    fleet.Run(milliseconds(100));
    for (auto& [name, host] : fleet.hosts()) {
      const auto stamp = host.membership->LatestStamp(fleet.now());
      if (stamp) CHECK(stamp->age >= fleet.now() - issued);
    }
  }
  for (auto& [name, host] : fleet.hosts()) {
    const auto stamp = host.membership->LatestStamp(fleet.now());
    REQUIRE(stamp);
    CHECK(stamp->revision == 41);
  }
}

TEST_CASE("views converge after any seeded schedule of faults",
          "[membership]") {
  for (std::uint64_t seed = 100; seed < 120; ++seed) {
    INFO("seed " << seed);
    FakeFleet fleet(seed, {.loss = 0.03});
    Random random(seed);
    // Updates of many sizes, so that some messages are filled up to the limit.
    MembershipSettings base_settings = Defaults();
    base_settings.zone = ZoneId(std::string(kMaxMemberTextBytes, 'z'));
    base_settings.incarnation = Incarnation{1} << 60U;
    for (int i = 0; i < kHosts; ++i) {
      base_settings.metadata.assign(random.Below(kMaxMetadataBytes + 1), 'm');
      fleet.Start(FakeFleet::Name(i), base_settings);
    }
    fleet.Run(kSettleTime);
    for (int step = 0; step < 20; ++step) {
      const std::string name = FakeFleet::Name(random.Below(kHosts));
      const std::string other = FakeFleet::Name(random.Below(kHosts));
      switch (random.Below(5)) {
        case 0:
          fleet.Kill(name);
          break;
        case 1: {
          MembershipSettings settings = Defaults();
          settings.incarnation = base_settings.incarnation + random.Below(1000);
          fleet.Start(name, settings);
          break;
        }
        case 2:
          fleet.set_passes([=](const std::string& a, const std::string& b) {
            return a != name || b > other;
          });
          break;
        case 3:
          fleet.set_passes([=](const std::string& a, const std::string& b) {
            return (a < name) == (b < name);
          });
          break;
        default:
          fleet.set_passes(nullptr);
      }
      fleet.Run(milliseconds(random.Below(8000)));
    }
    fleet.set_passes(nullptr);
    fleet.set_loss(0);
    std::size_t running = 0;
    for (auto& [name, host] : fleet.hosts()) running += host.membership ? 1 : 0;
    fleet.Run(minutes(3));
    CHECK(fleet.AllHostsSee(running));
    CHECK(fleet.largest_packet() <= Defaults().packet_limit);
  }
}

TEST_CASE("invalid membership settings are rejected with the cause",
          "[membership]") {
  struct Row {
    const char* cause;
    std::function<void(MembershipSettings&)> fault;
  };
  const Row rows[] = {
      {"id", [](auto& s) { s.id = HostId(); }},
      {"zone", [](auto& s) { s.zone = ZoneId(std::string(65, 'z')); }},
      {"address", [](auto& s) { s.address.clear(); }},
      {"metadata", [](auto& s) { s.metadata.assign(193, 'm'); }},
      {"probe timeout", [](auto& s) { s.probe_timeout = s.probe_period; }},
      {"period", [](auto& s) { s.sync_period = Duration::zero(); }},
      {"suspicion", [](auto& s) { s.suspicion_max_factor = 0.5; }},
      {"packets", [](auto& s) { s.packet_limit = 100; }},
  };
  for (const Row& row : rows) {
    MembershipSettings settings = Defaults();
    settings.id = HostId("a");
    settings.zone = ZoneId("z");
    settings.address = "127.0.0.1:1";
    REQUIRE(Membership::Create(settings, 1, Instant()));
    row.fault(settings);
    const auto created = Membership::Create(settings, 1, Instant());
    INFO(row.cause);
    REQUIRE_FALSE(created);
    CHECK(created.error().kind == ErrorKind::kInvalidSettings);
    CHECK(created.error().detail.find(row.cause) != std::string::npos);
  }
}

}  // namespace
}  // namespace sapphirebank
