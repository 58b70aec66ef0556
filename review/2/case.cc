// A faulty server sends part of a second copy of an answer, late, on a
// connection that is in use again. The bytes run into the next answer, and a
// caller is told that a request succeeded that the server failed.

#include "review/harness/harness.h"

namespace review {
namespace {

int RunCase(const std::string& folder) {
  Record record(folder + "/record.txt");
  const bool has_trouble = HasTrouble();
  record.Line("trouble: %s", has_trouble ? "yes" : "no");
  Fleet fleet({{"kochi", "thrissur", "kottayam"}, {"kochi", "thrissur"}},
              record);
  Runs runs;
  std::mutex mutex;
  std::mt19937 random(1);
  std::map<std::string, int> answered;  // By servers, by request.
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = 0; i < 4; ++i) {
    ServerSettings settings;
    settings.id = "i-" + std::to_string(i);
    settings.ip = fleet.ServerIp(i);
    settings.zone = i % 2 == 0 ? "kochi" : "thrissur";
    // One request in 20 fails at its server.
    settings.status_of = [&](const std::string& request) {
      const std::lock_guard<std::mutex> lock(mutex);
      const int status = random() % 20 == 0 ? 500 : 200;
      answered[request] = status;
      return status;
    };
    if (has_trouble && i < 2) {
      // Part of a second copy follows one answer in 34.
      settings.late_bytes = [&](const std::string& answer) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (random() % 34 != 0) return std::string();
        return answer.substr(0, random() % answer.size());
      };
    }
    servers.push_back(std::make_unique<Server>(settings, fleet, runs, record));
  }
  if (fleet.Order("config.put", MakePlan(1).dump(), 0, 15) < 0 ||
      !fleet.AwaitReady(15)) {
    record.Line("the fleet did not start");
    return kCouldNotRun;
  }
  Sleep(2);
  Traffic traffic(fleet, 300, "POST", "/order/a", "key-north-1", 40);
  Sleep(95);
  traffic.Stop();
  int wrong = 0;
  std::map<std::pair<int, int>, int> counts;
  for (const Sent& sent : traffic.All()) {
    const auto found = answered.find(sent.request);
    const int given = found == answered.end() ? 0 : found->second;
    ++counts[{given, sent.answer.status}];
    const std::string stamp =
        sent.answer.head.Field("sapphirebank-server-stamp");
    const bool has_stamp = !stamp.empty();
    const bool is_wrong =
        (sent.answer.status == 200 &&
         (given != 200 || stamp != "stamp-" + sent.request)) ||
        (sent.answer.status != 200 && has_stamp && sent.answer.status != given);
    if (!is_wrong) continue;
    if (++wrong <= 20) {
      record.Line(
          "request %s: the server answered %d, the caller got %d with "
          "stamp \"%s\" and body \"%s\"",
          sent.request.c_str(), given, sent.answer.status, stamp.c_str(),
          sent.answer.body.c_str());
    }
  }
  for (const auto& [statuses, count] : counts) {
    record.Line("answered %d by a server (0: none), %d to the caller: %d",
                statuses.first, statuses.second, count);
  }
  record.Line("answers that are not the server's: %d", wrong);
  if (counts[{200, 200}] == 0) return kCouldNotRun;
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int /*count*/, char** arguments) {
  return review::Report(review::RunCase(arguments[1]));
}
