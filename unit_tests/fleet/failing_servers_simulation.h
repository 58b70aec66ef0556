#pragma once

#include <cmath>
#include <functional>
#include <memory>
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

// Plays requests of one zone against servers that fail in episodes, of which
// their health checks show nothing. Simulated time, no network.
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
  };

  struct Result {
    int lost = 0;     // Requests that must run once and were not answered.
    int retries = 0;  // Of repeatable requests.
  };

  // Chooses the server of a request; the dispatcher or a baseline.
  using Chooser = std::function<std::string(Instant, const AssignmentId&,
                                            const DispatchQuery&)>;

  explicit FailingServersSimulation(const Settings& settings)
      : settings_(settings),
        random_(settings.seed),
        dispatcher_(ServerDispatcherSettings(), ZoneId("kochi"),
                    Random(settings.seed + 1)),
        plan_(MakePlan(MakePlanParts())) {
    for (int i = 0; i < settings.servers; ++i) {
      ServerAnnouncement server = MakeServer("s" + std::to_string(i));
      server.endpoint.port = static_cast<std::uint16_t>(1000 + i);
      server.slots = static_cast<std::uint32_t>(settings.slots);
      registry_.ApplyHeartbeat(kStart, server, record_);
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
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      event.run();
    }
    return result_;
  }

  void Arrive(Instant now) {
    if (now - kStart > settings_.length) return;
    const bool repeatable = random_.Unit() < settings_.repeatable_fraction;
    Send(now, now + settings_.deadline, repeatable, {});
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
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_ = 1;
  Chooser choose_;
  Result result_;
};

}  // namespace sapphirebank
