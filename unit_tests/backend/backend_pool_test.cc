#include "sapphirebank/backend/backend_pool.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Fingerprint kCrashingRequest = 77;
constexpr Fingerprint kSuspect = 78;
constexpr int kProbedSeconds = 600;

const BackendKey kKey = {ServiceId("permit"), ZoneId("kochi")};

Declarations OneService(bool in_service = true) {
  Declarations declarations;
  declarations.zones = {{kKey.zone, "kerala", in_service, {}},
                        {ZoneId("kottayam"), "kerala", true, {}}};
  declarations.services.emplace_back().id = kKey.service;
  return declarations;
}

Announcement Server(const std::string& name) {
  Announcement announcement;
  announcement.backend = BackendId(name);
  announcement.incarnation = 5;
  announcement.process_id = name + "-5";
  announcement.key = kKey;
  announcement.address = {"127.0.0.1", 8000};
  announcement.slots = 3;
  announcement.max_connections = 400;
  return announcement;
}

PlaceRequest Request() {
  PlaceRequest request;
  request.service = kKey.service;
  return request;
}

// A pool that owns kKey, and a manual clock.
struct Fixture {
  explicit Fixture(const std::optional<Handover>& handover = Handover{})
      : pool(*BackendPool::Create({})) {
    pool.SetPolicy(OneService());
    pool.Adopt(now, kKey, 1, handover);
  }

  void Add(const std::string& name) {
    REQUIRE(pool.Announce(now, Server(name)) == AnnounceDecision::kAdded);
  }

  std::optional<AttemptId> TryPlace(Fingerprint fingerprint = 0) {
    PlaceRequest request = Request();
    request.fingerprint = fingerprint;
    const auto placed = pool.Place(now, request);
    if (!placed || placed->status != PlacementStatus::kPlaced) return {};
    return placed->attempt;
  }

  ErrorKind RefusalKind(Fingerprint fingerprint = 0) {
    PlaceRequest request = Request();
    request.fingerprint = fingerprint;
    const auto placed = pool.Place(now, request);
    REQUIRE(!placed);
    return placed.error().kind;
  }

  FinishResult Finish(AttemptId attempt, OutcomeKind kind, bool fresh = false) {
    now += milliseconds(20);
    return pool.Finish(now, attempt, {kind, milliseconds(20), 100, fresh});
  }

  void ServeRequests(int count, OutcomeKind kind = OutcomeKind::kSuccess) {
    for (int i = 0; i < count; ++i) Finish(TryPlace().value(), kind);
  }

  int PlaceUntilBusy() {
    int placed = 0;
    while (TryPlace()) ++placed;
    return placed;
  }

  ServerStatus Status() const { return pool.Servers().at(0); }

  Instant now{seconds(100)};
  BackendPool pool;
};

TEST_CASE("an announcement with an invalid value is rejected", "[backend]") {
  using Change = std::function<void(Announcement&)>;
  const std::pair<std::string, Change> rows[] = {
      {"backend", [](Announcement& a) { a.backend = BackendId(); }},
      {"backend",
       [](Announcement& a) { a.backend = BackendId(std::string(129, 'x')); }},
      {"process_id", [](Announcement& a) { a.process_id.clear(); }},
      {"service", [](Announcement& a) { a.key.service = ServiceId(); }},
      {"zone", [](Announcement& a) { a.key.zone = ZoneId(); }},
      {"ip", [](Announcement& a) { a.address.ip = "localhost"; }},
      {"ip", [](Announcement& a) { a.address.ip = "0.0.0.0"; }},
      {"ip", [](Announcement& a) { a.address.ip = "224.0.0.1"; }},
      {"port", [](Announcement& a) { a.address.port = 0; }},
      {"slots", [](Announcement& a) { a.slots = 0; }},
      {"slots", [](Announcement& a) { a.slots = 4'000'000'000; }},
      {"max_connections", [](Announcement& a) { a.max_connections = 0; }},
  };
  for (const auto& [field, change] : rows) {
    Fixture fixture;
    Announcement announcement = Server("a");
    change(announcement);
    const auto decided = fixture.pool.Announce(fixture.now, announcement);
    REQUIRE(!decided);
    CHECK(decided.error().kind == ErrorKind::kMalformedRequest);
    CHECK(decided.error().detail.find('"' + field + '"') != std::string::npos);
  }
}

TEST_CASE("the decision on an announcement depends on the known server",
          "[backend]") {
  struct Row {
    std::string name;
    std::function<void(Announcement&)> change;
    AnnounceDecision decision;
    BackendState state;
  };
  const Row rows[] = {
      {"no change", [](Announcement&) {}, AnnounceDecision::kRenewed,
       BackendState::kWarm},
      {"fewer slots", [](Announcement& a) { a.slots = 2; },
       AnnounceDecision::kChanged, BackendState::kWarm},
      {"a newer incarnation",
       [](Announcement& a) {
         a.incarnation = 6;
         a.process_id = "a-6";
       },
       AnnounceDecision::kNewProcess, BackendState::kCold},
      {"another process at the address",
       [](Announcement& a) { a.process_id = "a-x"; },
       AnnounceDecision::kNewProcess, BackendState::kCold},
      {"another process elsewhere",
       [](Announcement& a) {
         a.process_id = "b";
         a.address.port = 9000;
       },
       AnnounceDecision::kConflict, BackendState::kWarm},
      {"an older incarnation", [](Announcement& a) { a.incarnation = 4; },
       AnnounceDecision::kStale, BackendState::kWarm},
      {"the id in another zone",
       [](Announcement& a) { a.key.zone = ZoneId("kottayam"); },
       AnnounceDecision::kNotOwned, BackendState::kWarm},
      {"draining", [](Announcement& a) { a.draining = true; },
       AnnounceDecision::kDraining, BackendState::kDraining},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture fixture;
    fixture.Add("a");
    fixture.ServeRequests(10);
    REQUIRE(fixture.Status().state == BackendState::kWarm);
    Announcement announcement = Server("a");
    row.change(announcement);
    CHECK(fixture.pool.Announce(fixture.now, announcement) == row.decision);
    CHECK(fixture.Status().state == row.state);
  }
}

TEST_CASE("announcements of undeclared services or zones are rejected",
          "[backend]") {
  Fixture fixture;
  Announcement announcement = Server("a");
  announcement.key.service = ServiceId("other");
  CHECK(fixture.pool.Announce(fixture.now, announcement).error().kind ==
        ErrorKind::kNotFound);
  announcement = Server("a");
  announcement.key.zone = ZoneId("other");
  CHECK(fixture.pool.Announce(fixture.now, announcement).error().kind ==
        ErrorKind::kNotFound);
  BackendPool unconfigured = *BackendPool::Create({});
  CHECK(unconfigured.Announce(fixture.now, Server("a")).error().kind ==
        ErrorKind::kNoConfiguration);
}

TEST_CASE("a cold server opens one slot per five successful answers",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  CHECK(fixture.Status().slot_limit == 1);
  fixture.ServeRequests(5);
  CHECK(fixture.Status().slot_limit == 2);
  fixture.ServeRequests(4);
  fixture.ServeRequests(1, OutcomeKind::kHttpError);
  CHECK(fixture.Status().slot_limit == 1);
  fixture.ServeRequests(10);
  CHECK(fixture.Status().slot_limit == 3);
  CHECK(fixture.Status().state == BackendState::kWarm);
  CHECK(fixture.PlaceUntilBusy() == 3);
}

TEST_CASE("a refused connection resets a server to cold", "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.ServeRequests(10);
  fixture.ServeRequests(1, OutcomeKind::kConnectionRefused);
  CHECK(fixture.Status().state == BackendState::kCold);
  CHECK(fixture.Status().slot_limit == 1);
}

TEST_CASE("a server without a recent announcement gets no requests",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.now += seconds(6);
  const auto events = fixture.pool.Expire(fixture.now);
  REQUIRE(events.size() == 1);
  CHECK(events[0].after == BackendState::kSilent);
  CHECK(fixture.RefusalKind() == ErrorKind::kNoBackendServer);
}

TEST_CASE(
    "the slot of a running request stays occupied while its server is silent",
    "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  REQUIRE(fixture.TryPlace());
  fixture.now += seconds(7);
  fixture.pool.Expire(fixture.now);
  REQUIRE(fixture.pool.Announce(fixture.now, Server("a")) ==
          AnnounceDecision::kResumed);
  CHECK(!fixture.TryPlace());
}

TEST_CASE("placement reports all servers busy when all slots are occupied",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  REQUIRE(fixture.PlaceUntilBusy() == 1);
  const auto placed = fixture.pool.Place(fixture.now, Request());
  REQUIRE(placed);
  CHECK(placed->status == PlacementStatus::kAllBusy);
  REQUIRE(placed->candidates.size() == 1);
  CHECK(placed->candidates[0].reason == PlacementReason::kColdLimit);
}

TEST_CASE("an excluded server is not chosen", "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  PlaceRequest request = Request();
  request.excluded = {BackendId("a")};
  const auto placed = fixture.pool.Place(fixture.now, request);
  REQUIRE(placed);
  CHECK(placed->backend == BackendId("b"));
  request.excluded.emplace_back("b");
  CHECK(fixture.pool.Place(fixture.now, request).error().kind ==
        ErrorKind::kNoBackendServer);
}

TEST_CASE("the slot of an abandoned request stays occupied for a grace period",
          "[backend]") {
  const std::tuple<OutcomeKind, Duration, bool> rows[] = {
      {OutcomeKind::kSuccess, Duration::zero(), false},
      {OutcomeKind::kTimedOut, seconds(5), true},
      {OutcomeKind::kCancelled, milliseconds(500), true},
      {OutcomeKind::kConnectionLost, Duration::zero(), false},
  };
  for (const auto& [kind, grace, held] : rows) {
    Fixture fixture;
    fixture.Add("a");
    fixture.Finish(fixture.TryPlace().value(), kind);
    CHECK(fixture.TryPlace().has_value() == !held);
    if (!held) continue;
    fixture.now += grace - milliseconds(1);
    fixture.pool.Expire(fixture.now);
    CHECK(!fixture.TryPlace());
    fixture.now += milliseconds(1);
    fixture.pool.Expire(fixture.now);
    CHECK(fixture.TryPlace());
  }
}

TEST_CASE("an attempt can be finished only once", "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  const AttemptId attempt = fixture.TryPlace().value();
  CHECK(fixture.Finish(attempt, OutcomeKind::kSuccess).known);
  REQUIRE(fixture.TryPlace());
  CHECK(!fixture.Finish(attempt, OutcomeKind::kSuccess).known);
  CHECK(!fixture.TryPlace());
}

TEST_CASE("after a time-out on an old connection a new one is required",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  CHECK(
      fixture.Finish(fixture.TryPlace().value(), OutcomeKind::kTimedOut, false)
          .connection == ConnectionAdvice::kCloseIdle);
  fixture.now += seconds(5);
  fixture.pool.Expire(fixture.now);
  auto placed = fixture.pool.Place(fixture.now, Request());
  REQUIRE(placed);
  CHECK(placed->needs_fresh_connection);
  fixture.Finish(placed->attempt, OutcomeKind::kSuccess, true);
  placed = fixture.pool.Place(fixture.now, Request());
  REQUIRE(placed);
  CHECK(!placed->needs_fresh_connection);
}

TEST_CASE("connections stay within the announced maximum", "[backend]") {
  Fixture fixture;
  Announcement announcement = Server("a");
  announcement.max_connections = 2;
  REQUIRE(fixture.pool.Announce(fixture.now, announcement));
  CHECK(fixture.pool.OpenConnection(BackendId("a")));
  CHECK(fixture.pool.OpenConnection(BackendId("a")));
  CHECK(!fixture.pool.OpenConnection(BackendId("a")));
  fixture.pool.CloseConnection(BackendId("a"));
  CHECK(fixture.pool.OpenConnection(BackendId("a")));
  CHECK(!fixture.pool.OpenConnection(BackendId("unknown")));
}

TEST_CASE(
    "a zone out of service gets no requests and returns with cold servers",
    "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.ServeRequests(10);
  const AttemptId running = fixture.TryPlace().value();
  fixture.pool.SetPolicy(OneService(false));
  CHECK(fixture.RefusalKind() == ErrorKind::kNoBackendServer);
  CHECK(fixture.Finish(running, OutcomeKind::kSuccess).known);
  fixture.pool.SetPolicy(OneService(true));
  CHECK(fixture.Status().slot_limit == 1);
}

TEST_CASE("without a handover, two load reports must agree to free slots",
          "[backend]") {
  Fixture fixture{std::nullopt};
  Announcement announcement = Server("a");
  announcement.running = 3;
  REQUIRE(fixture.pool.Announce(fixture.now, announcement));
  CHECK(!fixture.TryPlace());
  announcement.running = 0;
  REQUIRE(fixture.pool.Announce(fixture.now, announcement));
  CHECK(!fixture.TryPlace());
  REQUIRE(fixture.pool.Announce(fixture.now, announcement));
  CHECK(fixture.TryPlace());
}

TEST_CASE("without a handover, slots become free after the takeover hold",
          "[backend]") {
  Fixture fixture{std::nullopt};
  Announcement announcement = Server("a");
  announcement.running = 3;
  for (int i = 0; i < 12; ++i) {
    REQUIRE(fixture.pool.Announce(fixture.now, announcement));
    fixture.pool.Expire(fixture.now);
    CHECK(!fixture.TryPlace());
    fixture.now += seconds(1);
  }
  fixture.pool.Expire(fixture.now);
  CHECK(fixture.TryPlace());
}

TEST_CASE("a handover carries occupied slots and warm servers over",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.ServeRequests(10);
  REQUIRE(fixture.TryPlace());
  Handover handover = fixture.pool.Release(kKey);
  CHECK(fixture.RefusalKind() == ErrorKind::kNoBackendServer);
  CHECK(fixture.pool.Announce(fixture.now, Server("a")) ==
        AnnounceDecision::kNotOwned);
  Fixture next{handover};
  next.Add("a");
  CHECK(next.Status().state == BackendState::kWarm);
  CHECK(next.PlaceUntilBusy() == 2);
}

TEST_CASE("probes use at most the configured share of a server's slots",
          "[backend]") {
  for (const std::uint32_t slots : {1U, 2U, 3U}) {
    Fixture fixture;
    Announcement announcement = Server("a");
    announcement.slots = slots;
    int probes = 0;
    for (int i = 0; i < kProbedSeconds * 10; ++i) {
      REQUIRE(fixture.pool.Announce(fixture.now, announcement));
      for (const auto& order : fixture.pool.DueProbes(fixture.now)) {
        ++probes;
        fixture.pool.FinishProbe(fixture.now, order.backend,
                                 ProbeOutcome::kTimedOut);
      }
      fixture.now += milliseconds(100);
    }
    CHECK(probes > 0);
    const Duration cost = BackendPoolSettings().probe_cost * probes;
    CHECK(cost <= seconds(kProbedSeconds) * slots / 100);
  }
}

TEST_CASE("a server that answers requests is not probed", "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  for (int i = 0; i < 100; ++i) {
    fixture.ServeRequests(1);
    fixture.now += milliseconds(50);
    CHECK(fixture.pool.DueProbes(fixture.now).empty());
  }
  fixture.now += seconds(5);
  CHECK(fixture.pool.DueProbes(fixture.now).size() == 1);
  // The probe occupies one of three slots and one connection.
  CHECK(fixture.Status().connections == 1);
  CHECK(fixture.PlaceUntilBusy() == 2);
  fixture.pool.FinishProbe(fixture.now, BackendId("a"), ProbeOutcome::kGood);
  CHECK(fixture.Status().connections == 0);
  CHECK(fixture.PlaceUntilBusy() == 1);
}

VerdictSet EjectionOf(const std::string& name, const WindowReport& report) {
  VerdictSet set;
  set.term = 3;
  set.key = kKey;
  set.owner_term = report.term;
  set.in_reply_to = report.sequence;
  set.ttl = seconds(4);
  set.verdicts.push_back({BackendId(name), VerdictKind::kEject,
                          VerdictCause::kFailures, 0, seconds(10), 1});
  return set;
}

TEST_CASE("a verdict that is not renewed expires", "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  const auto report = fixture.pool.CollectReports(fixture.now).front();
  fixture.now += seconds(1);
  REQUIRE(fixture.pool.ApplyVerdicts(fixture.now, EjectionOf("a", report)));
  CHECK(fixture.Status().state == BackendState::kEjected);
  CHECK(fixture.RefusalKind() == ErrorKind::kNoBackendServer);
  // The time to live of 4 s counts from the report, not from the arrival of the
  // verdict.
  fixture.now += seconds(3);
  fixture.pool.Expire(fixture.now);
  CHECK(fixture.Status().state == BackendState::kCold);
}

TEST_CASE("verdicts that are late or from an earlier term are rejected",
          "[backend]") {
  using Change = std::function<void(VerdictSet&)>;
  const std::pair<std::string, Change> rows[] = {
      {"another key", [](VerdictSet& s) { s.key.zone = ZoneId("x"); }},
      {"another owner's lease", [](VerdictSet& s) { s.owner_term = 2; }},
      {"a report that was not made", [](VerdictSet& s) { s.in_reply_to = 9; }},
      {"an older report", [](VerdictSet& s) { s.in_reply_to = 1; }},
      {"an earlier coordinator", [](VerdictSet& s) { s.term = 2; }},
      {"a ttl that is over", [](VerdictSet& s) { s.ttl = seconds(1); }},
  };
  for (const auto& [name, change] : rows) {
    INFO(name);
    Fixture fixture;
    fixture.Add("a");
    (void)fixture.pool.CollectReports(fixture.now);
    const auto report = fixture.pool.CollectReports(fixture.now).front();
    VerdictSet none = EjectionOf("a", report);
    none.verdicts.clear();
    fixture.now += seconds(1);
    REQUIRE(fixture.pool.ApplyVerdicts(fixture.now, none));
    VerdictSet set = EjectionOf("a", report);
    change(set);
    CHECK(!fixture.pool.ApplyVerdicts(fixture.now, set));
    CHECK(fixture.Status().state == BackendState::kCold);
  }
}

TEST_CASE("an ejection outlasts a zone going out of service and back",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  const auto report = fixture.pool.CollectReports(fixture.now).front();
  REQUIRE(fixture.pool.ApplyVerdicts(fixture.now, EjectionOf("a", report)));
  fixture.pool.SetPolicy(OneService(false));
  CHECK(fixture.Status().state == BackendState::kZoneOut);
  fixture.pool.SetPolicy(OneService(true));
  CHECK(fixture.Status().state == BackendState::kEjected);
}

TEST_CASE("a request that crashed two servers is quarantined", "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  for (int incarnation = 6; incarnation <= 7; ++incarnation) {
    fixture.Finish(fixture.TryPlace(kCrashingRequest).value(),
                   OutcomeKind::kConnectionLost);
    Announcement announcement = Server("a");
    announcement.incarnation = incarnation;
    announcement.process_id = std::to_string(incarnation);
    REQUIRE(fixture.pool.Announce(fixture.now, announcement) ==
            AnnounceDecision::kNewProcess);
  }
  CHECK(fixture.RefusalKind(kCrashingRequest) ==
        ErrorKind::kRequestQuarantined);
  CHECK(fixture.TryPlace(kCrashingRequest + 1));
  const auto report = fixture.pool.CollectReports(fixture.now).front();
  REQUIRE(report.crashes.size() == 2);
  CHECK(report.crashes[0].running ==
        std::vector<Fingerprint>{kCrashingRequest});
  REQUIRE(report.servers.size() == 1);
  CHECK(report.servers[0].crashes == 2);
  CHECK(report.servers[0].lost_connections == 0);
}

TEST_CASE("a suspect request runs one at a time until it is answered",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.Finish(fixture.TryPlace(kSuspect).value(),
                 OutcomeKind::kConnectionLost);
  Announcement announcement = Server("a");
  announcement.incarnation = 6;
  REQUIRE(fixture.pool.Announce(fixture.now, announcement));
  fixture.ServeRequests(10);
  const AttemptId running = fixture.TryPlace(kSuspect).value();
  CHECK(!fixture.TryPlace(kSuspect));
  CHECK(fixture.TryPlace(kSuspect + 1));
  fixture.Finish(running, OutcomeKind::kSuccess);
  CHECK(fixture.TryPlace(kSuspect));
  const auto report = fixture.pool.CollectReports(fixture.now).front();
  CHECK(report.survived == std::vector<Fingerprint>{kSuspect});
}

TEST_CASE("lost connections without a restart are failures, not crashes",
          "[backend]") {
  Fixture fixture;
  fixture.Add("a");
  fixture.ServeRequests(2, OutcomeKind::kConnectionLost);
  fixture.now += seconds(4);
  fixture.pool.Expire(fixture.now);
  const auto report = fixture.pool.CollectReports(fixture.now).front();
  CHECK(report.crashes.empty());
  CHECK(report.servers[0].lost_connections == 2);
}

}  // namespace
}  // namespace sapphirebank
