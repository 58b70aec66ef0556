// An order to end an evacuation that a suspended control host never answered is
// carried out when the host wakes up, after the operator has evacuated the zone
// again.

#include "review/harness/harness.h"

namespace review {
namespace {

constexpr Seconds kEvacuation = 5;
constexpr Seconds kContact = 3;
constexpr Seconds kFreeze = 3.5;
constexpr int kRounds = 7;

const std::vector<std::string> kZones = {"thrissur", "kottayam", "palakkad"};

// Sends an order for each zone, all at the same time, as the operator does.
// Returns whether all are acknowledged.
bool OrderAll(Fleet& fleet, const std::string& call, std::size_t first) {
  std::vector<std::thread> orders;
  std::atomic<int> acknowledged{0};
  for (const std::string& zone : kZones) {
    orders.emplace_back([&, zone] {
      if (fleet.Order(call + "&of=" + zone, "", first) >= 0) ++acknowledged;
    });
  }
  for (std::thread& order : orders) order.join();
  return acknowledged == static_cast<int>(kZones.size());
}

int RunCase(const std::string& folder) {
  Record record(folder + "/record.txt");
  const bool has_trouble = HasTrouble();
  record.Line("trouble: %s", has_trouble ? "yes" : "no");
  Fleet fleet({{"kochi", "kochi", "thrissur", "kottayam", "palakkad"},
               {"kochi", "thrissur", "kottayam"}},
              record);
  Runs runs;
  std::vector<std::unique_ptr<Server>> servers;
  const std::vector<std::string> zones = {"kochi",    "kochi",    "kochi",
                                          "thrissur", "kottayam", "palakkad"};
  for (std::size_t i = 0; i < zones.size(); ++i) {
    ServerSettings settings;
    settings.id = "i-" + std::to_string(i);
    settings.ip = fleet.ServerIp(i);
    settings.zone = zones[i];
    servers.push_back(std::make_unique<Server>(settings, fleet, runs, record));
  }
  if (fleet.Order("config.put", MakePlan(1).dump(), 0, 15) < 0 ||
      !fleet.AwaitReady(15)) {
    record.Line("the fleet did not start");
    return kCouldNotRun;
  }
  Traffic traffic(fleet, 60, "GET", "/lookup/a", "key-north-1");
  Sleep(4);
  // Returns the runs in evacuated zones.
  const auto runs_out = [&](Seconds from, Seconds to) {
    std::vector<Run> out;
    for (const Run& run : runs.All()) {
      if (run.zone != "kochi" && run.at >= from && run.at < to) {
        out.push_back(run);
      }
    }
    return out;
  };
  const std::size_t before = runs_out(Now() - 3, Now()).size();
  record.Line("%zu runs in the zones to be evacuated in the last 3 s", before);
  if (before == 0 || !OrderAll(fleet, "evacuations.start", 0)) {
    return kCouldNotRun;
  }
  Sleep(7);
  int late = 0;
  int served = 0;
  for (int round = 0; round < kRounds && late == 0; ++round) {
    if (!runs_out(Now() - 1, Now()).empty()) return kCouldNotRun;
    const std::size_t frozen =
        static_cast<std::size_t>(round) % fleet.control_count();
    const std::size_t other = (frozen + 1) % fleet.control_count();
    const Seconds frozen_at = Now();
    if (has_trouble) {
      fleet.control(frozen).Signal(SIGSTOP);
      record.Line("core-%zu is suspended", frozen);
    }
    // The operator withdraws the evacuations. The first host that it turns to
    // does not answer within a second, the second one acknowledges. Then the
    // operator evacuates the zones again.
    const bool ended = OrderAll(fleet, "evacuations.end", frozen);
    const bool started = ended && OrderAll(fleet, "evacuations.start", other);
    const Seconds acknowledged_at = Now();
    SleepUntil(frozen_at + kFreeze);
    if (has_trouble) {
      fleet.control(frozen).Signal(SIGCONT);
      record.Line("core-%zu goes on", frozen);
    }
    if (!started) {
      record.Line("an order was not acknowledged");
      Sleep(4);
      if (!OrderAll(fleet, "evacuations.start", other)) return kCouldNotRun;
      Sleep(7);
      continue;
    }
    const Seconds from =
        std::max(acknowledged_at + kEvacuation, Now() + kContact) + 0.5;
    SleepUntil(from + 4);
    const std::vector<Run> wrong = runs_out(from, Now());
    late += static_cast<int>(wrong.size());
    for (std::size_t i = 0; i < std::min<std::size_t>(wrong.size(), 20); ++i) {
      record.Line(
          "request %s runs at server %s in %s at %.3f, %.3f s after the "
          "evacuation was acknowledged",
          wrong[i].request.c_str(), wrong[i].server.c_str(),
          wrong[i].zone.c_str(), wrong[i].at, wrong[i].at - acknowledged_at);
    }
    for (const Sent& sent : traffic.All()) {
      if (sent.at >= from && sent.answer.status == 200) ++served;
    }
    record.Line("round %d: runs in evacuated zones: %zu", round + 1,
                wrong.size());
  }
  traffic.Stop();
  record.Line("answered 200 while the zones were out: %d", served);
  if (served == 0) return kCouldNotRun;
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int /*count*/, char** arguments) {
  return review::Report(review::RunCase(arguments[1]));
}
