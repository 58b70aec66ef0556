#include "sapphirebank/backend/backend_pool.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Fingerprint kKiller = 77;
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

// A pool that owns kKey, and its time.
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

  void Serve(int count, OutcomeKind kind = OutcomeKind::kSuccess) {
    for (int i = 0; i < count; ++i) Finish(TryPlace().value(), kind);
  }

  int FillUp() {
    int placed = 0;
    while (TryPlace()) ++placed;
    return placed;
  }

  ServerStatus View() const { return pool.Servers().at(0); }

  Instant now{seconds(100)};
  BackendPool pool;
};

TEST_CASE("an announcement with a bad value is refused", "[backend]") {
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
    Fixture f;
    Announcement announcement = Server("a");
    change(announcement);
    const auto decided = f.pool.Announce(f.now, announcement);
    REQUIRE(!decided);
    CHECK(decided.error().kind == ErrorKind::kMalformedRequest);
    CHECK(decided.error().detail.find('"' + field + '"') != std::string::npos);
  }
}

TEST_CASE("an announcement is judged by what is known of the server",
          "[backend]") {
  struct Row {
    std::string name;
    std::function<void(Announcement&)> change;
    AnnounceDecision decision;
    BackendState state;
  };
  const Row rows[] = {
      {"the same again", [](Announcement&) {}, AnnounceDecision::kRenewed,
       BackendState::kWarm},
      {"fewer slots", [](Announcement& a) { a.slots = 2; },
       AnnounceDecision::kChanged, BackendState::kWarm},
      {"a newer life",
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
      {"an older life", [](Announcement& a) { a.incarnation = 4; },
       AnnounceDecision::kStale, BackendState::kWarm},
      {"the id in another zone",
       [](Announcement& a) { a.key.zone = ZoneId("kottayam"); },
       AnnounceDecision::kNotOwned, BackendState::kWarm},
      {"leaving", [](Announcement& a) { a.draining = true; },
       AnnounceDecision::kDraining, BackendState::kDraining},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture f;
    f.Add("a");
    f.Serve(10);
    REQUIRE(f.View().state == BackendState::kWarm);
    Announcement announcement = Server("a");
    row.change(announcement);
    CHECK(f.pool.Announce(f.now, announcement) == row.decision);
    CHECK(f.View().state == row.state);
  }
}

TEST_CASE("announcements need a declared service and zone", "[backend]") {
  Fixture f;
  Announcement announcement = Server("a");
  announcement.key.service = ServiceId("other");
  CHECK(f.pool.Announce(f.now, announcement).error().kind ==
        ErrorKind::kNotFound);
  announcement = Server("a");
  announcement.key.zone = ZoneId("other");
  CHECK(f.pool.Announce(f.now, announcement).error().kind ==
        ErrorKind::kNotFound);
  BackendPool unconfigured = *BackendPool::Create({});
  CHECK(unconfigured.Announce(f.now, Server("a")).error().kind ==
        ErrorKind::kNoConfiguration);
}

TEST_CASE("a cold server opens a slot for each few answers", "[backend]") {
  Fixture f;
  f.Add("a");
  CHECK(f.View().slot_limit == 1);
  f.Serve(5);
  CHECK(f.View().slot_limit == 2);
  f.Serve(4);
  f.Serve(1, OutcomeKind::kHttpError);
  CHECK(f.View().slot_limit == 1);
  f.Serve(10);
  CHECK(f.View().slot_limit == 3);
  CHECK(f.View().state == BackendState::kWarm);
  CHECK(f.FillUp() == 3);
}

TEST_CASE("a refused connection makes a server cold", "[backend]") {
  Fixture f;
  f.Add("a");
  f.Serve(10);
  f.Serve(1, OutcomeKind::kConnectionRefused);
  CHECK(f.View().state == BackendState::kCold);
  CHECK(f.View().slot_limit == 1);
}

TEST_CASE("silence ends an announcement", "[backend]") {
  Fixture f;
  f.Add("a");
  f.now += seconds(6);
  const auto events = f.pool.Expire(f.now);
  REQUIRE(events.size() == 1);
  CHECK(events[0].after == BackendState::kSilent);
  CHECK(f.RefusalKind() == ErrorKind::kNoBackendServer);
}

TEST_CASE("a server that goes silent with a running request keeps its slot",
          "[backend]") {
  Fixture f;
  f.Add("a");
  REQUIRE(f.TryPlace());
  f.now += seconds(7);
  f.pool.Expire(f.now);
  REQUIRE(f.pool.Announce(f.now, Server("a")) == AnnounceDecision::kResumed);
  CHECK(!f.TryPlace());
}

TEST_CASE("when all slots are taken the caller is told to wait", "[backend]") {
  Fixture f;
  f.Add("a");
  REQUIRE(f.FillUp() == 1);
  const auto placed = f.pool.Place(f.now, Request());
  REQUIRE(placed);
  CHECK(placed->status == PlacementStatus::kAllBusy);
  REQUIRE(placed->candidates.size() == 1);
  CHECK(placed->candidates[0].reason == PlacementReason::kColdLimit);
}

TEST_CASE("a server that was tried is not chosen again", "[backend]") {
  Fixture f;
  f.Add("a");
  f.Add("b");
  PlaceRequest request = Request();
  request.excluded = {BackendId("a")};
  const auto placed = f.pool.Place(f.now, request);
  REQUIRE(placed);
  CHECK(placed->backend == BackendId("b"));
  request.excluded.emplace_back("b");
  CHECK(f.pool.Place(f.now, request).error().kind ==
        ErrorKind::kNoBackendServer);
}

TEST_CASE("the slot of a lost request stays taken for a grace", "[backend]") {
  const std::tuple<OutcomeKind, Duration, bool> rows[] = {
      {OutcomeKind::kSuccess, Duration::zero(), false},
      {OutcomeKind::kTimedOut, seconds(5), true},
      {OutcomeKind::kCancelled, milliseconds(500), true},
      {OutcomeKind::kConnectionLost, Duration::zero(), false},
  };
  for (const auto& [kind, grace, held] : rows) {
    Fixture f;
    f.Add("a");
    f.Finish(f.TryPlace().value(), kind);
    CHECK(f.TryPlace().has_value() == !held);
    if (!held) continue;
    f.now += grace - milliseconds(1);
    f.pool.Expire(f.now);
    CHECK(!f.TryPlace());
    f.now += milliseconds(1);
    f.pool.Expire(f.now);
    CHECK(f.TryPlace());
  }
}

TEST_CASE("an attempt ends once", "[backend]") {
  Fixture f;
  f.Add("a");
  const AttemptId attempt = f.TryPlace().value();
  CHECK(f.Finish(attempt, OutcomeKind::kSuccess).known);
  REQUIRE(f.TryPlace());
  CHECK(!f.Finish(attempt, OutcomeKind::kSuccess).known);
  CHECK(!f.TryPlace());
}

TEST_CASE("a time-out on an old connection asks for a new one", "[backend]") {
  Fixture f;
  f.Add("a");
  CHECK(f.Finish(f.TryPlace().value(), OutcomeKind::kTimedOut, false)
            .connection == ConnectionAdvice::kCloseIdle);
  f.now += seconds(5);
  f.pool.Expire(f.now);
  auto placed = f.pool.Place(f.now, Request());
  REQUIRE(placed);
  CHECK(placed->needs_fresh_connection);
  f.Finish(placed->attempt, OutcomeKind::kSuccess, true);
  placed = f.pool.Place(f.now, Request());
  REQUIRE(placed);
  CHECK(!placed->needs_fresh_connection);
}

TEST_CASE("connections stay within the announced maximum", "[backend]") {
  Fixture f;
  Announcement announcement = Server("a");
  announcement.max_connections = 2;
  REQUIRE(f.pool.Announce(f.now, announcement));
  CHECK(f.pool.OpenConnection(BackendId("a")));
  CHECK(f.pool.OpenConnection(BackendId("a")));
  CHECK(!f.pool.OpenConnection(BackendId("a")));
  f.pool.CloseConnection(BackendId("a"));
  CHECK(f.pool.OpenConnection(BackendId("a")));
  CHECK(!f.pool.OpenConnection(BackendId("unknown")));
}

TEST_CASE("a zone that is out gets no new requests and returns cold",
          "[backend]") {
  Fixture f;
  f.Add("a");
  f.Serve(10);
  const AttemptId running = f.TryPlace().value();
  f.pool.SetPolicy(OneService(false));
  CHECK(f.RefusalKind() == ErrorKind::kNoBackendServer);
  CHECK(f.Finish(running, OutcomeKind::kSuccess).known);
  f.pool.SetPolicy(OneService(true));
  CHECK(f.View().slot_limit == 1);
}

TEST_CASE("without a handover slots are taken until load reports agree",
          "[backend]") {
  Fixture f{std::nullopt};
  Announcement announcement = Server("a");
  announcement.running = 3;
  REQUIRE(f.pool.Announce(f.now, announcement));
  CHECK(!f.TryPlace());
  announcement.running = 0;
  REQUIRE(f.pool.Announce(f.now, announcement));
  CHECK(!f.TryPlace());
  REQUIRE(f.pool.Announce(f.now, announcement));
  CHECK(f.TryPlace());
}

TEST_CASE("without a handover slots are free at last", "[backend]") {
  Fixture f{std::nullopt};
  Announcement announcement = Server("a");
  announcement.running = 3;
  for (int i = 0; i < 12; ++i) {
    REQUIRE(f.pool.Announce(f.now, announcement));
    f.pool.Expire(f.now);
    CHECK(!f.TryPlace());
    f.now += seconds(1);
  }
  f.pool.Expire(f.now);
  CHECK(f.TryPlace());
}

TEST_CASE("a handover tells what runs and what is warm", "[backend]") {
  Fixture f;
  f.Add("a");
  f.Serve(10);
  REQUIRE(f.TryPlace());
  Handover handover = f.pool.Release(kKey);
  CHECK(f.RefusalKind() == ErrorKind::kNoBackendServer);
  CHECK(f.pool.Announce(f.now, Server("a")) == AnnounceDecision::kNotOwned);
  Fixture next{handover};
  next.Add("a");
  CHECK(next.View().state == BackendState::kWarm);
  CHECK(next.FillUp() == 2);
}

TEST_CASE("probes cost a server at most their share", "[backend]") {
  for (const std::uint32_t slots : {1U, 2U, 3U}) {
    Fixture f;
    Announcement announcement = Server("a");
    announcement.slots = slots;
    int probes = 0;
    for (int i = 0; i < kProbedSeconds * 10; ++i) {
      REQUIRE(f.pool.Announce(f.now, announcement));
      for (const auto& order : f.pool.DueProbes(f.now)) {
        ++probes;
        f.pool.FinishProbe(f.now, order.backend, ProbeOutcome::kTimedOut);
      }
      f.now += milliseconds(100);
    }
    CHECK(probes > 0);
    const Duration cost = BackendPoolSettings().probe_cost * probes;
    CHECK(cost <= seconds(kProbedSeconds) * slots / 100);
  }
}

TEST_CASE("a server with requests is not probed", "[backend]") {
  Fixture f;
  f.Add("a");
  for (int i = 0; i < 100; ++i) {
    f.Serve(1);
    f.now += milliseconds(50);
    CHECK(f.pool.DueProbes(f.now).empty());
  }
  f.now += seconds(5);
  CHECK(f.pool.DueProbes(f.now).size() == 1);
  // The probe has one slot of three and one connection.
  CHECK(f.View().connections == 1);
  CHECK(f.FillUp() == 2);
  f.pool.FinishProbe(f.now, BackendId("a"), ProbeOutcome::kGood);
  CHECK(f.View().connections == 0);
  CHECK(f.FillUp() == 1);
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

TEST_CASE("a verdict that is not renewed ends", "[backend]") {
  Fixture f;
  f.Add("a");
  const auto report = f.pool.CollectReports(f.now).front();
  f.now += seconds(1);
  REQUIRE(f.pool.ApplyVerdicts(f.now, EjectionOf("a", report)));
  CHECK(f.View().state == BackendState::kEjected);
  CHECK(f.RefusalKind() == ErrorKind::kNoBackendServer);
  // Four seconds after the report, not after the verdict.
  f.now += seconds(3);
  f.pool.Expire(f.now);
  CHECK(f.View().state == BackendState::kCold);
}

TEST_CASE("verdicts are refused when they are late or from an earlier term",
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
    Fixture f;
    f.Add("a");
    (void)f.pool.CollectReports(f.now);
    const auto report = f.pool.CollectReports(f.now).front();
    VerdictSet none = EjectionOf("a", report);
    none.verdicts.clear();
    f.now += seconds(1);
    REQUIRE(f.pool.ApplyVerdicts(f.now, none));
    VerdictSet set = EjectionOf("a", report);
    change(set);
    CHECK(!f.pool.ApplyVerdicts(f.now, set));
    CHECK(f.View().state == BackendState::kCold);
  }
}

TEST_CASE("an ejection survives a drain and a zone move", "[backend]") {
  Fixture f;
  f.Add("a");
  const auto report = f.pool.CollectReports(f.now).front();
  REQUIRE(f.pool.ApplyVerdicts(f.now, EjectionOf("a", report)));
  f.pool.SetPolicy(OneService(false));
  CHECK(f.View().state == BackendState::kZoneOut);
  f.pool.SetPolicy(OneService(true));
  CHECK(f.View().state == BackendState::kEjected);
}

TEST_CASE("a request that crashed two servers is refused", "[backend]") {
  Fixture f;
  f.Add("a");
  for (int life = 6; life <= 7; ++life) {
    f.Finish(f.TryPlace(kKiller).value(), OutcomeKind::kConnectionLost);
    Announcement announcement = Server("a");
    announcement.incarnation = life;
    announcement.process_id = std::to_string(life);
    REQUIRE(f.pool.Announce(f.now, announcement) ==
            AnnounceDecision::kNewProcess);
  }
  CHECK(f.RefusalKind(kKiller) == ErrorKind::kRequestQuarantined);
  CHECK(f.TryPlace(kKiller + 1));
  const auto report = f.pool.CollectReports(f.now).front();
  REQUIRE(report.crashes.size() == 2);
  CHECK(report.crashes[0].running == std::vector<Fingerprint>{kKiller});
  REQUIRE(report.servers.size() == 1);
  CHECK(report.servers[0].crashes == 2);
  CHECK(report.servers[0].died == 0);
}

TEST_CASE("a request under suspicion runs one at a time until it is answered",
          "[backend]") {
  Fixture f;
  f.Add("a");
  f.Finish(f.TryPlace(kSuspect).value(), OutcomeKind::kConnectionLost);
  Announcement announcement = Server("a");
  announcement.incarnation = 6;
  REQUIRE(f.pool.Announce(f.now, announcement));
  f.Serve(10);
  const AttemptId running = f.TryPlace(kSuspect).value();
  CHECK(!f.TryPlace(kSuspect));
  CHECK(f.TryPlace(kSuspect + 1));
  f.Finish(running, OutcomeKind::kSuccess);
  CHECK(f.TryPlace(kSuspect));
  const auto report = f.pool.CollectReports(f.now).front();
  CHECK(report.survived == std::vector<Fingerprint>{kSuspect});
}

TEST_CASE("connections that are merely cut are failures, not crashes",
          "[backend]") {
  Fixture f;
  f.Add("a");
  f.Serve(2, OutcomeKind::kConnectionLost);
  f.now += seconds(4);
  f.pool.Expire(f.now);
  const auto report = f.pool.CollectReports(f.now).front();
  CHECK(report.crashes.empty());
  CHECK(report.servers[0].died == 2);
}

}  // namespace
}  // namespace sapphirebank
