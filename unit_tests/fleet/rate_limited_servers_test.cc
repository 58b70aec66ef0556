#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/fleet_hub.h"
#include "sapphirebank/fleet/server_token_buckets.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kStep = milliseconds(10);
constexpr Duration kServiceTime = milliseconds(200);
constexpr int kEntryHosts = 119;
constexpr int kServers = 40;

// A leader, three hubs in two zones, their entry hosts, and servers of which
// some name a rate limit in their answers for a while.
class LimitSimulation {
 public:
  LimitSimulation(std::uint64_t seed, double request_rate)
      : random_(seed), request_rate_(request_rate) {
    const std::vector<HubHost> all = {{"10.0.0.1:7", ZoneId("kochi")},
                                      {"10.0.0.2:7", ZoneId("kochi")},
                                      {"10.0.0.3:7", ZoneId("kochi")},
                                      {"10.0.0.4:7", ZoneId("fann")}};
    record_.Apply(StorePlan{1, R"({"version":1})"});
    const auto plan = MakePlan(MakePlanParts());
    for (std::size_t i = 0; i < all.size(); ++i) {
      hubs_.push_back(std::make_unique<FleetHub>(FleetHubSettings(), i + 1,
                                                 all[i], Random(seed + i)));
      FleetHub& hub = *hubs_.back();
      i == 0 ? hub.BecomeLeader(now) : hub.BecomeRelay();
      hub.ApplyRecord(now, record_, plan);
      std::vector<HubHost> others = all;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      hub.SetHubs(std::move(others), all.front().address);
      for (int server = 0; server < kServers; ++server) {
        hub.ApplyHeartbeat(now, MakeNthServer(server), record_);
      }
    }
    for (int i = 0; i < kEntryHosts; ++i) {
      Host host;
      host.id = HostId("entry-" + std::to_string(i));
      host.zone = ZoneId(i % 2 == 0 ? "kochi" : "fann");
      host.hub = i % 2 == 0 ? 1 + static_cast<std::size_t>(i / 2) % 2 : 3;
      host.view = std::make_unique<EntryView>(
          [](std::string_view) { return MakePlan(MakePlanParts()); },
          ViewLeaseSettings());
      host.next_report_at = now + milliseconds(random_.Below(500));
      hosts_.push_back(std::move(host));
    }
  }

  void RunUntil(Instant end) {
    for (; now < end; now += kStep) Step();
  }

  static BackendId NthServer(int i) {
    return BackendId("s" + std::to_string(i));
  }

  // Limits that servers name at present.
  std::map<BackendId, double> limits;
  std::map<BackendId, std::vector<Instant>> arrivals;
  int refused = 0;
  int sent = 0;
  Instant now = kStart;

 private:
  struct Host {
    HostId id;
    ZoneId zone;
    std::size_t hub = 0;
    std::unique_ptr<EntryView> view;
    std::map<BackendId, std::optional<double>> heard;
    Instant next_report_at;
  };
  struct Running {
    Instant ends_at;
    Instant sent_at;
    std::size_t host = 0;
    AssignmentId assignment;
    BackendId server;
  };

  static ServerAnnouncement MakeNthServer(int i) {
    ServerAnnouncement server =
        MakeServer(NthServer(i).value(), i % 2 == 0 ? "kochi" : "fann");
    server.endpoint.port = static_cast<std::uint16_t>(1000 + i);
    server.slots = 3;
    return server;
  }

  void Step() {
    for (std::size_t i = 0; i < hubs_.size(); ++i) {
      FleetHub& hub = *hubs_[i];
      hub.Tick(now);
      if (i == 0 || !hub.LeaderReportIsDue(now)) continue;
      EntryReport report = hub.BuildLeaderReport(now, !synced_[i]);
      report.number = 1;
      synced_[i] = true;
      hub.ApplyLeaderUpdate(
          now,
          hubs_[0]->HandleReport(now, HostId("hub-" + std::to_string(i)), true,
                                 report, record_),
          record_);
    }
    while (!running_.empty() && running_.front().ends_at <= now) {
      Finish(running_.front());
      running_.pop_front();
    }
    for (Host& host : hosts_) {
      if (now >= host.next_report_at) Report(host);
    }
    if (now < kStart + seconds(1)) return;
    if (random_.Unit() < request_rate_ * ToSeconds(kStep)) Send();
    if (random_.Unit() < request_rate_ * ToSeconds(kStep)) Send();
  }

  void Report(Host& host) {
    host.next_report_at = now + milliseconds(500);
    EntryReport report;
    report.number = 1;
    report.registry_id = host.view->registry_id();
    report.known_registry_changes = host.view->registry_changes();
    report.rate_limits = std::exchange(host.heard, {});
    REQUIRE(host.view->Apply(
        now, now,
        hubs_[host.hub]->HandleReport(now, host.id, false, report, record_)));
  }

  void Send() {
    const std::size_t index = random_.Below(hosts_.size());
    Host& host = hosts_[index];
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.zone = host.zone;
    const AssignmentId id = {host.id, next_number_++};
    const auto choice = hubs_[host.hub]->Assign(now, id, query);
    if (!choice || choice->server.empty()) {
      ++refused;
      return;
    }
    ++sent;
    arrivals[choice->server].push_back(now);
    running_.push_back({now + kServiceTime, now, index, id, choice->server});
  }

  void Finish(const Running& request) {
    Host& host = hosts_[request.host];
    hubs_[host.hub]->EndAssignment(now, request.assignment,
                                   AssignmentOutcome::kServed);
    const KnownServerPtr server = host.view->Find(request.server);
    REQUIRE(server);
    const auto named = limits.find(request.server);
    const auto limit =
        named == limits.end() ? std::nullopt : std::optional(named->second);
    if (!server->TakeRateLimit(now, request.sent_at, limit)) return;
    host.heard[request.server] = limit;
    Report(host);
  }

  Random random_;
  double request_rate_;
  FleetRecord record_;
  std::vector<std::unique_ptr<FleetHub>> hubs_;
  std::vector<Host> hosts_;
  std::map<std::size_t, bool> synced_;
  std::deque<Running> running_;
  std::uint64_t next_number_ = 1;
};

// Returns the largest number of arrivals from `from` on within `window`.
std::size_t MostWithin(const std::vector<Instant>& arrivals, Instant from,
                       Duration window) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    if (arrivals[last] < from) {
      first = last + 1;
      continue;
    }
    while (arrivals[last] - arrivals[first] >= window) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Guards against a server that gets more requests than the rate that it names
// in its answers, from many entry hosts of which each sends only a few.
TEST_CASE("servers that name a rate limit get no more than that from all hosts",
          "[fleet]") {
  // The platform's bound: in 4 s one and a half times the limit and 5 requests,
  // from 3 s after a server named it first.
  constexpr double kOvershoot = 1.5;
  constexpr double kSlack = 5;
  constexpr Duration kWindow = seconds(4);
  constexpr Duration kTimeToApply = seconds(3);
  const double limited_share = GENERATE(0.3, 0.7, 1.0);
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(limited_share, seed);
    LimitSimulation fleet(seed, 180);
    fleet.RunUntil(kStart + seconds(5));
    Random random(seed);
    for (int i = 0; i < kServers; ++i) {
      if (random.Unit() >= limited_share) continue;
      constexpr double kLowest = 0.5;
      fleet.limits[LimitSimulation::NthServer(i)] = kLowest + 5 * random.Unit();
    }
    const auto named = fleet.limits;
    const Instant named_at = fleet.now;
    fleet.RunUntil(named_at + seconds(20));
    for (const auto& [server, limit] : named) {
      CAPTURE(server.value(), limit);
      CHECK(static_cast<double>(MostWithin(fleet.arrivals[server],
                                           named_at + kTimeToApply, kWindow)) <=
            kOvershoot * limit * ToSeconds(kWindow) + kSlack);
    }
    // The limit is used, too: half of it at least where all servers are
    // limited.
    const bool are_all_limited = limited_share >= 1;
    for (const auto& [server, limit] : named) {
      if (!are_all_limited) break;
      const auto& arrivals = fleet.arrivals[server];
      const auto late = std::count_if(
          arrivals.begin(), arrivals.end(),
          [&](Instant at) { return at >= named_at + seconds(10); });
      CHECK(static_cast<double>(late) >= 0.5 * limit * 10);
    }
    // The limits end, and the servers are used as before.
    fleet.limits.clear();
    fleet.RunUntil(fleet.now + seconds(6));
    const int refused = fleet.refused;
    fleet.RunUntil(fleet.now + seconds(3));
    CHECK(fleet.refused == refused);
  }
}

TEST_CASE("a limit ends with an answer to a request that was sent under it",
          "[fleet]") {
  KnownServer server;
  CHECK(server.TakeRateLimit(kStart, kStart, 2.5));
  CHECK_FALSE(server.TakeRateLimit(kStart, kStart, 2.5));
  // A request from before that took longer.
  CHECK_FALSE(server.TakeRateLimit(kStart + seconds(1),
                                   kStart - milliseconds(1), std::nullopt));
  CHECK(server.state.rate_limit == 2.5);
  CHECK(server.TakeRateLimit(kStart + seconds(2), kStart + seconds(1),
                             std::nullopt));
  CHECK_FALSE(server.state.rate_limit);
}

TEST_CASE("a token bucket of a server fills at its rate up to its capacity",
          "[fleet]") {
  ServerTokenBuckets buckets;
  const BackendId server("a");
  const ServerRateLimit limit = {2, 1.5, 0};
  CHECK_FALSE(buckets.TryTake(kStart, server, limit));
  CHECK_FALSE(buckets.HasToken(kStart + milliseconds(499), server, limit));
  CHECK(buckets.HasToken(kStart + milliseconds(501), server, limit));
  CHECK(buckets.TryTake(kStart + seconds(20), server, limit));
  CHECK_FALSE(buckets.TryTake(kStart + seconds(20), server, limit));
  CHECK(buckets.TryTake(kStart + milliseconds(20'251), server, limit));
}

}  // namespace
}  // namespace sapphirebank
