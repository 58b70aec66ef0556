#include <string>

#include "review/harness-2/crashing_request.h"
#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"

// A request crashes each server that begins to run it, and comes again. The
// leading control host is killed, twice.
namespace review {
namespace {

constexpr std::int64_t kCatchUpMs = 4000;
constexpr int kMaxRetries = 3;  // Of the rule.

bool RetriesAreLimited(Record& record) {
  constexpr std::size_t kServers = 5;
  CrashingRequest request(record, kServers, false);
  // It comes until it has crashed three servers.
  for (int i = 0; i < 20 && request.CrashCount() < 3; ++i) request.Send(1000);
  if (request.CrashCount() < 3) {
    throw CannotRun("the request did not crash three servers");
  }
  request.Pass(CrashingRequest::kContactMs + 1000);
  for (int round = 0; round < 2; ++round) {
    if (HasTrouble()) {
      Fleet& fleet = request.fleet();
      const std::size_t leader = fleet.Leader();
      record.Write(fmt::format("kill core-{}", leader));
      fleet.control(leader).Kill();
      request.Pass(1000);
      fleet.StartControl(leader, false);
      request.SetCalm();
    }
    request.Pass(CrashingRequest::kContactMs + kCatchUpMs);
    for (int i = 0; i < 4; ++i) request.Send(3000);
  }
  record.Write(fmt::format(
      "{} retries reached servers, sent by machines in touch later than {} ms "
      "after the third crash; {} are allowed",
      request.retries(), CrashingRequest::kContactMs, kMaxRetries));
  return request.retries() <= kMaxRetries;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::RunCase(count, arguments, review::RetriesAreLimited);
}
