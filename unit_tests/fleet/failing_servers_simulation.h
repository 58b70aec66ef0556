#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {

// How servers fail during an episode.
enum class FailureMode {
  kReset,  // Breaks requests off on arrival.
  kHang,   // Never answers.
  kMixed,  // Each server has one of the two.
};

// Requests of one route. Their work grows with the size of the body.
struct SimulatedRoute {
  std::string name;
  double fraction = 1;  // Of the requests, while the route is in use.
  Duration mean_work{};
  Duration latency_objective{};
  std::uint64_t max_body_bytes = 0;
  Duration work_per_megabyte{};
  // Since when there are requests, after the start.
  Duration from{};
};

// Plays requests of one zone against servers that fail in episodes, of which
// their health checks show nothing, or that differ in speed. Simulated time, no
// network.
class FailingServersSimulation {
 public:
  struct Settings {
    FailureMode mode = FailureMode::kHang;
    int servers = 8;
    int slots = 4;
    double requests_per_second = 40;
    double repeatable_fraction = 0.35;
    Duration mean_service_time = std::chrono::milliseconds(260);
    Duration latency_objective = std::chrono::milliseconds(1200);
    Duration deadline = std::chrono::milliseconds(2500);
    // Fraction of the servers that fail from time to time; for how long, how
    // often, and which fraction of their requests then.
    double failing_fraction = 0.3;
    Duration episode = std::chrono::seconds(1);
    Duration episode_period = std::chrono::seconds(9);
    double failed_fraction = 0.75;
    Duration length = std::chrono::seconds(120);
    std::uint64_t seed = 1;
    // Routes in place of the one that mean_service_time and latency_objective
    // describe. Requests wait then for a slot of their server.
    std::vector<SimulatedRoute> routes;
    // Fraction of the servers that take slow_factor of the usual time, and
    // when.
    double slow_fraction = 0;
    double slow_factor = 12;
    Duration slow_from{};
    Duration slow_until = std::chrono::hours(1);
    // Servers that are added to those of the start, and when.
    int added_servers = 0;
    Duration added_at{};
    // The hub loses what it knows.
    std::optional<Duration> hub_restart_at;
    ServerDispatcherSettings dispatcher;
  };

  struct Result {
    int lost = 0;     // Requests that must run once and were not answered.
    int retries = 0;  // Of repeatable requests.
    int sent = 0;
    // Answers after the latency objective, or none before the deadline.
    int late = 0;
    double wait_seconds = 0;  // For a slot, over all requests.
    std::map<std::string, int> sent_by_server;
  };

  // Chooses the server of a request; the dispatcher or a baseline.
  using Chooser = std::function<std::string(Instant, const AssignmentId&,
                                            const DispatchQuery&)>;

  explicit FailingServersSimulation(const Settings& settings)
      : settings_(settings),
        random_(settings.seed),
        dispatcher_(settings.dispatcher, ZoneId("kochi"),
                    Random(settings.seed + 1)),
        plan_(MakePlan(MakePlanParts())) {
    for (int i = 0; i < settings.servers; ++i) AddServer(kStart);
    for (int i = 0; i < settings.servers; ++i) {
      phase_.push_back(random_.Unit());
    }
  }

  // Plays the requests with the dispatcher's choices.
  Result RunDispatcher() {
    return Run([this](Instant now, const AssignmentId& id,
                      const DispatchQuery& query) {
      const auto choice =
          dispatcher_.Assign(now, id, query, registry_, {}, *plan_);
      return choice ? choice->server.value() : std::string();
    });
  }

  // Plays the requests with servers chosen at random.
  Result RunRandom() {
    return Run([this](Instant, const AssignmentId&, const DispatchQuery&) {
      return "s" + std::to_string(random_.Below(
                       static_cast<std::uint64_t>(settings_.servers)));
    });
  }

 private:
  static constexpr Instant kStart{std::chrono::seconds(1000)};

  struct Event {
    Instant at;
    std::function<void()> run;

    friend bool operator>(const Event& a, const Event& b) {
      return a.at > b.at;
    }
  };

  void At(Instant at, std::function<void()> run) {
    events_.push({at, std::move(run)});
  }

  Result Run(const Chooser& choose) {
    choose_ = choose;
    At(kStart, [this] { Arrive(kStart); });
    const Instant added_at = kStart + settings_.added_at;
    for (int i = 0; i < settings_.added_servers; ++i) {
      At(added_at, [this, added_at] { AddServer(added_at); });
    }
    if (settings_.hub_restart_at) {
      At(kStart + *settings_.hub_restart_at, [this] {
        dispatcher_ = ServerDispatcher(settings_.dispatcher, ZoneId("kochi"),
                                       Random(settings_.seed + 2));
      });
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      event.run();
    }
    return result_;
  }

  void AddServer(Instant now) {
    const std::size_t number = free_at_.size();
    ServerAnnouncement server = MakeServer("s" + std::to_string(number));
    server.endpoint.port = static_cast<std::uint16_t>(1000 + number);
    server.slots = static_cast<std::uint32_t>(settings_.slots);
    registry_.ApplyHeartbeat(now, server, record_);
    free_at_.emplace_back(server.slots, now);
  }

  void Arrive(Instant now) {
    if (now - kStart > settings_.length) return;
    if (!settings_.routes.empty()) {
      SendByRoute(now);
      ArriveNext(now);
      return;
    }
    const bool repeatable = random_.Unit() < settings_.repeatable_fraction;
    Send(now, now + settings_.deadline, repeatable, {});
    ArriveNext(now);
  }

  void ArriveNext(Instant now) {
    const double gap =
        -std::log(1 - random_.Unit()) / settings_.requests_per_second;
    const Instant next = now + FromSeconds(gap);
    At(next, [this, next] { Arrive(next); });
  }

  void Send(Instant now, Instant deadline, bool repeatable,
            std::set<BackendId> tried) {
    dispatcher_.Tick(now);
    const AssignmentId id = {HostId("entry"), next_++};
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.zone = ZoneId("kochi");
    query.repeatable = repeatable;
    query.is_retry = !tried.empty();
    query.excluded = tried;
    query.latency_objective = settings_.latency_objective;
    query.time_left = deadline - now;
    const std::string name = choose_(now, id, query);
    const BackendId server(name);
    const int number = std::stoi(name.substr(1));
    tried.insert(server);
    if (!Fails(now, number)) {
      const Instant done = now + ServiceTime();
      At(done, [this, done, id] {
        dispatcher_.EndAssignment(done, id, AssignmentOutcome::kServed);
      });
      return;
    }
    const bool hangs = settings_.mode == FailureMode::kHang ||
                       (settings_.mode == FailureMode::kMixed && number % 2);
    // A repeatable request is abandoned after 0.6 of its objective.
    const Instant seen = !hangs ? now + std::chrono::milliseconds(3)
                         : repeatable
                             ? now + settings_.latency_objective * 6 / 10
                             : deadline;
    At(seen, [this, seen, id, server, deadline, repeatable, tried, hangs] {
      dispatcher_.EndAssignment(seen, id, AssignmentOutcome::kFailed);
      if (!hangs || repeatable) dispatcher_.RecordHardFailure(seen, server);
      if (!repeatable) {
        ++result_.lost;
      } else if (tried.size() < 2) {
        ++result_.retries;
        Send(seen, deadline, repeatable, tried);
      }
    });
  }

  const SimulatedRoute& DrawRoute(Instant now) {
    double sum = 0;
    for (const SimulatedRoute& route : settings_.routes) {
      if (now - kStart >= route.from) sum += route.fraction;
    }
    double drawn = random_.Unit() * sum;
    for (const SimulatedRoute& route : settings_.routes) {
      if (now - kStart < route.from) continue;
      drawn -= route.fraction;
      if (drawn <= 0) return route;
    }
    return settings_.routes.front();
  }

  // Sends a request of a drawn route, which waits for a slot and is answered,
  // or given up at its deadline.
  void SendByRoute(Instant now) {
    dispatcher_.Tick(now);
    const SimulatedRoute& route = DrawRoute(now);
    const AssignmentId id = {HostId("entry"), next_++};
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.zone = ZoneId("kochi");
    query.repeatable = random_.Unit() < settings_.repeatable_fraction;
    query.latency_objective = route.latency_objective;
    query.time_left = settings_.deadline;
    query.route = route.name;
    query.body_bytes = static_cast<std::uint64_t>(
        random_.Unit() * static_cast<double>(route.max_body_bytes));
    const std::string name = choose_(now, id, query);
    const int server = std::stoi(name.substr(1));
    const double megabytes = static_cast<double>(query.body_bytes) / 1e6;
    const Duration work = FromSeconds(
        (ToSeconds(route.mean_work) +
         megabytes * ToSeconds(route.work_per_megabyte)) *
        (0.4 + 0.4 * (random_.Unit() + random_.Unit() + random_.Unit())));
    auto& slots = free_at_[static_cast<std::size_t>(server)];
    Instant& slot = *std::min_element(slots.begin(), slots.end());
    const Instant begin = std::max(now, slot);
    const bool is_slow = server < settings_.slow_fraction * settings_.servers &&
                         begin - kStart >= settings_.slow_from &&
                         begin - kStart < settings_.slow_until;
    slot =
        begin +
        (is_slow ? FromSeconds(ToSeconds(work) * settings_.slow_factor) : work);
    ++result_.sent;
    ++result_.sent_by_server[name];
    if (slot - now > route.latency_objective) ++result_.late;
    result_.wait_seconds += ToSeconds(begin - now);
    const Instant end = std::min(slot, now + settings_.deadline);
    const AssignmentOutcome outcome = end == slot
                                          ? AssignmentOutcome::kServed
                                          : AssignmentOutcome::kInconclusive;
    At(end, [this, end, id, outcome] {
      dispatcher_.EndAssignment(end, id, outcome);
    });
  }

  // Returns whether the server fails a request that arrives now.
  bool Fails(Instant now, int server) {
    if (server >= settings_.failing_fraction * settings_.servers) return false;
    const double period = ToSeconds(settings_.episode_period);
    const double position =
        std::fmod(ToSeconds(now - kStart) +
                      phase_[static_cast<std::size_t>(server)] * period,
                  period);
    return position < ToSeconds(settings_.episode) &&
           random_.Unit() < settings_.failed_fraction;
  }

  Duration ServiceTime() {
    const double sum = random_.Unit() + random_.Unit() + random_.Unit();
    return FromSeconds(ToSeconds(settings_.mean_service_time) *
                       (0.4 + 0.4 * sum));
  }

  Settings settings_;
  Random random_;
  ServerRegistry registry_{ServerRegistrySettings()};
  FleetRecord record_;
  ServerDispatcher dispatcher_;
  std::shared_ptr<const TrafficPlan> plan_;
  std::vector<double> phase_;  // Of each server's episodes, 0 to 1.
  std::vector<std::vector<Instant>> free_at_;  // Each server's slots.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_ = 1;
  Chooser choose_;
  Result result_;
};

}  // namespace sapphirebank
