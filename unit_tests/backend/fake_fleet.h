#pragma once

#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "sapphirebank/backend/backend_pool.h"
#include "sapphirebank/backend/service_health.h"

namespace sapphirebank::fake {

// A simulated backend server with injectable faults.
struct Server {
  BackendId id;
  std::size_t zone = 0;
  std::uint32_t incarnation = 1;
  // Injected faults.
  double slow = 1;     // Factor on the latency.
  double errors = 0;   // Share of answers with an error status.
  bool hangs = false;  // Accepts requests and never answers.
  bool hangs_on_old_connections = false;  // Never answers on old connections.
  bool refuses = false;                   // Refuses connections.
  bool down = false;           // No process runs, so no announcements.
  std::optional<bool> health;  // Fixed result of its health endpoint.
  int cold_answers = 0;  // Answers until it is warm; slow before that, and
                         // slower the more requests it runs.
  bool silent = false;   // Sends no announcements.
  bool draining = false;
  // Observations.
  bool faulty = false;  // Whether ejecting it is justified.
  std::vector<AttemptId> running;
  std::size_t peak_running = 0;
};

// Multiple of the median latency above which an answer counts as slow.
inline constexpr int kSlowMultiple = 5;

struct FleetSettings {
  std::uint64_t seed = 1;
  std::size_t zones = 4;
  std::size_t servers = 25;
  std::uint32_t slots = 3;
  double requests_per_second = 300;
  double median_seconds = 0.05;
  double latency_sigma = 0.4;  // Standard deviation of the logarithm.
  double base_errors = 0.002;
  Duration deadline = std::chrono::seconds(10);
  Duration tick = std::chrono::milliseconds(100);
  bool with_coordinator = true;
};

// An ejection or the end of one, as observed at an owner.
struct Change {
  Duration at;
  BackendId server;
  bool ejected = false;
  bool faulty = false;
};

// Simulates a few owners with their pools, one coordinator and backend servers,
// driven by one event queue under a simulated clock. Messages are passed as
// calls.
class Fleet {
 public:
  explicit Fleet(const FleetSettings& settings);

  // Runs until `end`, measured from the start.
  void RunUntil(Duration end);

  // Stops the coordinator, or replaces it by a new one with a higher term.
  void StopCoordinator() { coordinator.reset(); }
  void StartCoordinator();

  void SetZoneInService(std::size_t zone, bool in_service);

  // Moves the ownership of a zone's servers to the next owner. Without a
  // handover, the state of the former owner is lost.
  void HandOver(std::size_t zone, bool with_handover = true);

  // Makes an owner send its reports at once.
  void Report(std::size_t owner);

  // Returns the index of a server.
  static std::size_t IndexOf(const BackendId& id) {
    return std::stoul(id.value().substr(1));
  }

  BackendPool& OwnerOf(const Server& server) {
    return owners[owner_of[server.zone]];
  }

  // Crashes a server's process with its requests, and starts a new process
  // after `down`.
  void Crash(std::size_t server, Duration down);

  std::size_t CountEjected() const;
  ServerStatus StatusOf(std::size_t server) const;
  BackendState StateOf(std::size_t server) const {
    return StatusOf(server).state;
  }
  Duration elapsed() const { return now - start; }
  BackendKey KeyOf(std::size_t zone) const { return {service, ZoneIdOf(zone)}; }

  FleetSettings settings;
  ServiceId service{"permit"};
  Declarations declarations;
  Random random;
  Instant start{std::chrono::hours(1)};
  Instant now = start;
  std::vector<Server> servers;
  std::vector<BackendPool> owners;
  std::vector<std::size_t> owner_of;  // By zone.
  std::unique_ptr<ServiceHealth> coordinator;

  // Called at each tick.
  std::function<void(Fleet&)> on_tick;
  // Called for each placed request before the server receives it.
  std::function<void(Fleet&, std::size_t server)> on_place;
  // Called for each finished request.
  std::function<void(Fleet&, std::size_t server, bool good)> on_finish;
  // Replaces the coordinator's decisions.
  std::function<VerdictSet(Fleet&, const WindowReport&)> local_verdicts;
  // Changes the outcome that an owner observes.
  std::function<void(Fleet&, std::size_t owner, Outcome&)> distort_outcome;
  // Returns the fingerprint of the next request, or 0.
  std::function<Fingerprint(Fleet&)> next_fingerprint;
  Fingerprint crashing_request = 0;  // Crashes each server that runs it.

  std::size_t finished = 0;
  std::size_t failed = 0;
  std::size_t slow = 0;  // Successful but slow answers.
  std::size_t refused_busy = 0;
  std::size_t refused_quarantine = 0;
  std::size_t crashing_request_runs = 0;
  std::size_t floor_violations = 0;
  std::size_t handovers = 0;
  std::vector<Change> changes;
  // Time at which a faulty server first got no more requests, because it was
  // ejected or silent.
  std::optional<Duration> detected;
  // Time at which a faulty server first had fewer slots than it announces.
  std::optional<Duration> limited;
  std::vector<HealthDecision> decisions;

 private:
  enum class Kind {
    kPlaceRequest,
    kComplete,
    kTick,
    kReport,
    kDecide,
    kAnnounce,
    kProbe
  };

  struct Event {
    Instant at{};
    std::uint64_t order = 0;
    Kind kind = Kind::kTick;
    std::size_t index = 0;  // Of a server or a zone.
    AttemptId attempt = 0;
    Instant started_at{};
    bool fresh = false;
    OutcomeKind outcome = OutcomeKind::kSuccess;
    std::uint32_t incarnation = 0;
    std::size_t owner = 0;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  ZoneId ZoneIdOf(std::size_t zone) const {
    return ZoneId("zone" + std::to_string(zone));
  }
  void Push(Event event, Duration delay);
  void HandleEvent(const Event& event);
  void PlaceNextRequest();
  bool TryOwner(std::size_t owner, Fingerprint fingerprint);
  void StartRequest(std::size_t server, const Placement& placement,
                    Fingerprint fingerprint);
  void Complete(const Event& event);
  void Announce(std::size_t server);
  void SendProbes(std::size_t owner);
  void CheckFloor();
  double Latency(const Server& server);

  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::size_t last_announced_count_ = 0;
  std::size_t last_unavailable_without_ejected_ = 0;
  Instant capacity_changed_;
  Instant coordinator_changed_;
  Term coordinator_term_ = 1;
  std::vector<BackendState> last_states_;
};

inline Fleet::Fleet(const FleetSettings& given)
    : settings(given), random(given.seed) {
  for (std::size_t zone = 0; zone < settings.zones; ++zone) {
    declarations.zones.push_back({ZoneIdOf(zone), "kerala", true, {}});
  }
  declarations.services.emplace_back().id = service;
  for (std::size_t zone = 0; zone < settings.zones; ++zone) {
    BackendPoolSettings pool;
    pool.host = HostId("owner" + std::to_string(zone));
    pool.seed = settings.seed * 100 + zone;
    owners.push_back(*BackendPool::Create(pool));
    owners.back().SetPolicy(declarations);
    owners.back().Adopt(now, KeyOf(zone), 1, Handover{});
    owner_of.push_back(zone);
    Push({{}, 0, Kind::kReport, zone}, std::chrono::milliseconds(230 * zone));
  }
  for (std::size_t i = 0; i < settings.servers; ++i) {
    Server server;
    server.id = BackendId(std::string(i < 10 ? "s0" : "s") + std::to_string(i));
    server.zone = i % settings.zones;
    servers.push_back(server);
    Push({{}, 0, Kind::kAnnounce, i}, std::chrono::milliseconds(7 * i));
  }
  last_states_.resize(settings.servers, BackendState::kCold);
  capacity_changed_ = now;
  if (settings.with_coordinator) StartCoordinator();
  Push({{}, 0, Kind::kTick}, settings.tick);
  Push({{}, 0, Kind::kDecide}, std::chrono::milliseconds(990));
  Push({{}, 0, Kind::kPlaceRequest}, std::chrono::milliseconds(300));
}

inline void Fleet::StartCoordinator() {
  ServiceHealthSettings health;
  health.host = HostId("coordinator" + std::to_string(coordinator_term_));
  health.service = service;
  health.term = coordinator_term_++;
  coordinator = std::make_unique<ServiceHealth>(health, now);
  coordinator->SetPolicy(declarations);
  coordinator_changed_ = now;
}

inline void Fleet::SetZoneInService(std::size_t zone, bool in_service) {
  declarations.zones[zone].in_service = in_service;
  for (auto& owner : owners) owner.SetPolicy(declarations);
  if (coordinator) coordinator->SetPolicy(declarations);
}

inline void Fleet::HandOver(std::size_t zone, bool with_handover) {
  std::optional<Handover> handover =
      owners[owner_of[zone]].Release(KeyOf(zone));
  owner_of[zone] = (owner_of[zone] + 1) % owners.size();
  ++handovers;
  if (!with_handover) handover.reset();
  owners[owner_of[zone]].Adopt(now, KeyOf(zone), 1 + handovers, handover);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].zone == zone) Announce(i);
  }
}

inline void Fleet::Push(Event event, Duration delay) {
  event.at = now + delay;
  event.order = ++order_;
  events_.push(event);
}

inline void Fleet::RunUntil(Duration end) {
  while (!events_.empty() && events_.top().at <= start + end) {
    const Event event = events_.top();
    events_.pop();
    now = event.at;
    HandleEvent(event);
  }
  now = start + end;
}

inline void Fleet::HandleEvent(const Event& event) {
  switch (event.kind) {
    case Kind::kPlaceRequest:
      PlaceNextRequest();
      Push(event, FromSeconds(-std::log(1 - random.Unit()) /
                              settings.requests_per_second));
      break;
    case Kind::kComplete:
      Complete(event);
      break;
    case Kind::kTick:
      if (on_tick) on_tick(*this);
      for (std::size_t owner = 0; owner < owners.size(); ++owner) {
        owners[owner].Expire(now);
        SendProbes(owner);
        if (owners[owner].report_is_urgent()) Report(owner);
      }
      CheckFloor();
      Push(event, settings.tick);
      break;
    case Kind::kReport:
      Report(event.index);
      Push(event, std::chrono::seconds(1));
      break;
    case Kind::kDecide:
      if (coordinator) {
        for (auto& decision : coordinator->Decide(now)) {
          decisions.push_back(decision);
        }
      }
      Push(event, std::chrono::seconds(1));
      break;
    case Kind::kAnnounce:
      if (event.outcome == OutcomeKind::kConnectionRefused) {
        servers[event.index].refuses = false;
        servers[event.index].down = false;
        Announce(event.index);
        break;
      }
      Announce(event.index);
      Push(event, std::chrono::seconds(2));
      break;
    case Kind::kProbe:
      OwnerOf(servers[event.index])
          .FinishProbe(now, servers[event.index].id,
                       static_cast<ProbeOutcome>(event.attempt));
      break;
  }
}

inline void Fleet::PlaceNextRequest() {
  const Fingerprint fingerprint =
      next_fingerprint ? next_fingerprint(*this) : 0;
  // Callers are distributed over the owners in proportion to their servers; a
  // host without a free slot forwards the request.
  const std::size_t first = servers[random.Below(servers.size())].zone;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    if (TryOwner((first + i) % owners.size(), fingerprint)) return;
  }
  ++refused_busy;
}

inline bool Fleet::TryOwner(std::size_t owner, Fingerprint fingerprint) {
  PlaceRequest request;
  request.service = service;
  request.fingerprint = fingerprint;
  request.idempotent = true;
  const auto placed = owners[owner].Place(now, request);
  if (!placed && placed.error().kind == ErrorKind::kRequestQuarantined) {
    ++refused_quarantine;
    return true;
  }
  if (!placed || placed->status != PlacementStatus::kPlaced) return false;
  const std::size_t server = IndexOf(placed->backend);
  if (on_place) on_place(*this, server);
  StartRequest(server, *placed, fingerprint);
  return true;
}

inline double Fleet::Latency(const Server& server) {
  const double uniform = 1 - random.Unit();
  const double normal = std::sqrt(-2 * std::log(uniform)) *
                        std::cos(2 * 3.14159265358979 * random.Unit());
  double latency = settings.median_seconds * server.slow *
                   std::exp(settings.latency_sigma * normal);
  if (server.cold_answers > 0) {
    latency *= 4 * static_cast<double>(server.running.size());
  }
  return latency;
}

inline void Fleet::StartRequest(std::size_t index, const Placement& placement,
                                Fingerprint fingerprint) {
  Server& server = servers[index];
  Event done{{}, 0, Kind::kComplete, index, placement.attempt, now};
  done.fresh = placement.needs_fresh_connection || random.Chance(0.05);
  done.incarnation = server.incarnation;
  done.owner = owner_of[server.zone];
  OwnerOf(server).SetFreshConnection(placement.attempt, done.fresh);
  if (server.refuses) {
    done.outcome = OutcomeKind::kConnectionRefused;
    Push(done, std::chrono::milliseconds(1));
    return;
  }
  server.running.push_back(placement.attempt);
  server.peak_running = std::max(server.peak_running, server.running.size());
  const Duration latency = FromSeconds(Latency(server));
  const bool hangs =
      server.hangs || (server.hangs_on_old_connections && !done.fresh);
  if (crashing_request != 0 && fingerprint == crashing_request) {
    ++crashing_request_runs;
    Crash(index, std::chrono::seconds(2));
    return;
  }
  if (hangs || latency > settings.deadline) {
    done.outcome = OutcomeKind::kTimedOut;
    Push(done, settings.deadline);
    return;
  }
  if (random.Chance(settings.base_errors + server.errors)) {
    done.outcome = OutcomeKind::kHttpError;
  }
  Push(done, latency);
}

inline void Fleet::Crash(std::size_t index, Duration down) {
  Server& server = servers[index];
  server.refuses = true;
  server.down = true;
  for (const AttemptId attempt : std::exchange(server.running, {})) {
    Event lost{{}, 0, Kind::kComplete, index, attempt, now};
    lost.outcome = OutcomeKind::kConnectionLost;
    lost.incarnation = server.incarnation;
    lost.owner = owner_of[server.zone];
    Push(lost, std::chrono::milliseconds(1));
  }
  ++server.incarnation;
  Event restart{{}, 0, Kind::kAnnounce, index};
  restart.outcome = OutcomeKind::kConnectionRefused;  // Marks a restart.
  Push(restart, down);
}

inline void Fleet::Complete(const Event& event) {
  Server& server = servers[event.index];
  Event done = event;
  if (done.outcome == OutcomeKind::kSuccess && server.hangs &&
      done.incarnation == server.incarnation) {
    done.outcome = OutcomeKind::kTimedOut;
    events_.push([&] {
      Event late = done;
      late.at = done.started_at + settings.deadline;
      late.order = ++order_;
      return late;
    }());
    return;
  }
  std::erase(server.running, event.attempt);
  Outcome outcome{event.outcome, now - event.started_at, 1000, event.fresh};
  if (outcome.kind == OutcomeKind::kSuccess && server.cold_answers > 0) {
    --server.cold_answers;
  }
  if (distort_outcome) distort_outcome(*this, event.owner, outcome);
  const auto result = owners[event.owner].Finish(now, event.attempt, outcome);
  if (!result.known) return;
  ++finished;
  const bool good = outcome.kind == OutcomeKind::kSuccess;
  if (!good) ++failed;
  const Duration usual = FromSeconds(settings.median_seconds);
  if (good && outcome.latency > usual * kSlowMultiple) ++slow;
  if (on_finish) on_finish(*this, event.index, good);
}

inline void Fleet::Announce(std::size_t index) {
  Server& server = servers[index];
  if (server.silent || server.down) return;
  Announcement announcement;
  announcement.backend = server.id;
  announcement.incarnation = server.incarnation;
  announcement.process_id = std::to_string(server.incarnation);
  announcement.key = KeyOf(server.zone);
  announcement.address = {"127.0.0.1",
                          static_cast<std::uint16_t>(8000 + index)};
  announcement.slots = settings.slots;
  announcement.max_connections = 400;
  announcement.running = static_cast<std::uint32_t>(server.running.size());
  announcement.draining = server.draining;
  (void)OwnerOf(server).Announce(now, announcement);
}

inline void Fleet::Report(std::size_t owner) {
  for (const auto& report : owners[owner].CollectReports(now)) {
    if (local_verdicts) {
      (void)owners[owner].ApplyVerdicts(now, local_verdicts(*this, report));
    }
    if (!coordinator) continue;
    if (!coordinator->AddReport(now, report)) continue;
    const auto verdicts = coordinator->VerdictsFor(now, report.key);
    if (!verdicts) continue;
    (void)owners[owner].ApplyVerdicts(now, *verdicts);
    if (!verdicts->owner_suspected) continue;
    for (std::size_t zone = 0; zone < owner_of.size(); ++zone) {
      if (KeyOf(zone) == report.key) HandOver(zone);
    }
  }
}

inline void Fleet::SendProbes(std::size_t owner) {
  for (const auto& order : owners[owner].DueProbes(now)) {
    const std::size_t index = IndexOf(order.backend);
    const Server& server = servers[index];
    auto outcome = ProbeOutcome::kGood;
    Duration delay = std::chrono::milliseconds(25);
    if (server.health) {
      outcome = *server.health ? ProbeOutcome::kGood : ProbeOutcome::kBad;
    } else if (server.refuses) {
      outcome = ProbeOutcome::kRefused;
    } else if (server.hangs) {
      outcome = ProbeOutcome::kTimedOut;
      delay = std::chrono::seconds(1);
    }
    Push({{}, 0, Kind::kProbe, index, static_cast<AttemptId>(outcome)}, delay);
  }
}

inline ServerStatus Fleet::StatusOf(std::size_t index) const {
  for (const auto& status : owners[owner_of[servers[index].zone]].Servers()) {
    if (status.backend == servers[index].id) return status;
  }
  ServerStatus gone;
  gone.state = BackendState::kSilent;
  return gone;
}

inline std::size_t Fleet::CountEjected() const {
  std::size_t count = 0;
  for (const auto& owner : owners) {
    for (const auto& status : owner.Servers()) {
      if (status.state == BackendState::kEjected) ++count;
    }
  }
  return count;
}

inline void Fleet::CheckFloor() {
  std::size_t announced = 0;
  std::size_t out = 0;
  std::size_t ejected = 0;
  bool newly_ejected = false;
  for (const auto& owner : owners) {
    for (const auto& status : owner.Servers()) {
      if (status.state == BackendState::kSilent) continue;
      ++announced;
      if (!AcceptsRequests(status.state)) ++out;
      const bool is_ejected = status.state == BackendState::kEjected;
      if (is_ejected) ++ejected;
      const std::size_t i = IndexOf(status.backend);
      const bool was_ejected = last_states_[i] == BackendState::kEjected;
      newly_ejected = newly_ejected || (is_ejected && !was_ejected);
      if (was_ejected != is_ejected) {
        changes.push_back(
            {elapsed(), status.backend, is_ejected, servers[i].faulty});
      }
      last_states_[i] = status.state;
    }
  }
  for (std::size_t i = 0; i < servers.size() && !detected; ++i) {
    if (!servers[i].faulty) continue;
    const ServerStatus status = StatusOf(i);
    if (!limited && status.slot_limit < settings.slots) limited = elapsed();
    if (status.state == BackendState::kEjected ||
        status.state == BackendState::kSilent) {
      detected = elapsed();
    }
  }
  const double floor = declarations.services[0].policy.healthy_floor;
  // Capacity that is lost for reasons other than ejection is made up for within
  // the time to live of a verdict plus one report. This grace period restarts
  // when the coordinator changes, but never allows a new ejection below the
  // floor.
  if (announced != last_announced_count_ ||
      out - ejected != last_unavailable_without_ejected_) {
    capacity_changed_ = now;
  }
  last_announced_count_ = announced;
  last_unavailable_without_ejected_ = out - ejected;
  const Instant since = newly_ejected
                            ? capacity_changed_
                            : std::max(capacity_changed_, coordinator_changed_);
  const bool settling = now - since < std::chrono::seconds(5);
  if (ejected > 0 && !settling &&
      static_cast<double>(announced - out) <
          floor * static_cast<double>(announced) - 1e-9) {
    ++floor_violations;
  }
}

}  // namespace sapphirebank::fake
