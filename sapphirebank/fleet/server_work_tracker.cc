#include "sapphirebank/fleet/server_work_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace sapphirebank {
namespace {

// Expected times below this are taken as this long, so that ratios stay
// meaningful beside the time that messages take.
constexpr double kMinExpectedSeconds = 0.005;

double DecayFactor(Instant now, Instant since, Duration half_life) {
  return std::exp2(-ToSeconds(now - since) / ToSeconds(half_life));
}

double ExpectedSeconds(const WorkEstimate& work) {
  return std::max(work.mean_seconds, kMinExpectedSeconds);
}

// Returns how much the time of a request says about a server's speed: nothing
// before the estimate of its work rests on its route's own answers.
double SpeedWeight(const WorkEstimate& work) {
  return std::max(2 * work.confidence - 1, 0.0);
}

}  // namespace

double ServerWorkTracker::SlownessOf(Instant now, const Server& server) const {
  const double decay =
      DecayFactor(now, server.speed_decayed_at, settings_.slowness_half_life);
  double ratios = decay * server.ratios;
  for (const Pending& pending : server.pending) {
    if (!pending.began_at) continue;
    const double ratio =
        ToSeconds(now - *pending.began_at) / ExpectedSeconds(pending.work);
    const double excess = std::min(ratio, settings_.max_slowness) - 1;
    if (excess > 0) ratios += SpeedWeight(pending.work) * excess;
  }
  const double prior = settings_.prior_answers;
  return (ratios + prior) / (decay * server.weights + prior);
}

ServerWorkTracker::Status ServerWorkTracker::StatusOf(
    Instant now, const BackendId& id, std::uint32_t slots) const {
  Status status;
  const auto found = servers_.find(id);
  if (found == servers_.end()) return status;
  const Server& server = found->second;
  status.slowness = SlownessOf(now, server);
  if (server.rejections > 0) {
    const double decay = DecayFactor(now, server.rejections_decayed_at,
                                     settings_.rejection_half_life);
    status.rejected = decay * server.rejections /
                      (decay * (server.rejections + server.answers) + 1);
  }
  double shortest = std::numeric_limits<double>::max();
  double longest = 0;
  double waiting = 0;
  std::size_t running = 0;
  for (const Pending& pending : server.pending) {
    const double expected = status.slowness * ExpectedSeconds(pending.work);
    if (!pending.began_at) {
      waiting += expected;
      continue;
    }
    ++running;
    // A request beyond its expected time is likely to need as long again as
    // such requests vary.
    const double left =
        std::max(expected - ToSeconds(now - *pending.began_at),
                 status.slowness * pending.work.deviation_seconds);
    shortest = std::min(shortest, left);
    longest = std::max(longest, left);
  }
  const double slot_count = std::max<double>(slots, 1);
  if (static_cast<double>(running) >= slot_count) {
    status.wait_seconds = shortest + waiting / slot_count;
  }
  status.left_seconds = longest + waiting / slot_count;
  return status;
}

std::uint64_t ServerWorkTracker::RecordAssignment(Instant now,
                                                  const BackendId& id,
                                                  std::uint32_t slots,
                                                  const WorkEstimate& work) {
  Server& server = servers_[id];
  server.slots = std::max(slots, 1U);
  server.last_assigned_at = now;
  server.pending.push_back({next_number_, work, std::nullopt});
  BeginNext(now, server);
  return next_number_++;
}

// Gives free slots to the requests that wait longest.
void ServerWorkTracker::BeginNext(Instant now, Server& server) {
  std::uint32_t running = 0;
  for (Pending& pending : server.pending) {
    if (running >= server.slots) return;
    if (!pending.began_at) pending.began_at = now;
    ++running;
  }
}

std::optional<ServerWorkTracker::Pending> ServerWorkTracker::Remove(
    Server& server, std::uint64_t number) {
  const auto found = std::find_if(
      server.pending.begin(), server.pending.end(),
      [&](const Pending& pending) { return pending.number == number; });
  if (found == server.pending.end()) return std::nullopt;
  const Pending removed = *found;
  server.pending.erase(found);
  return removed;
}

std::optional<Duration> ServerWorkTracker::RecordEnd(
    Instant now, const BackendId& id, std::uint64_t number,
    AssignmentOutcome outcome) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return std::nullopt;
  Server& server = found->second;
  const std::optional<Pending> ended = Remove(server, number);
  if (!ended) return std::nullopt;
  BeginNext(now, server);
  const bool is_served = outcome == AssignmentOutcome::kServed;
  const bool is_rejected = outcome == AssignmentOutcome::kRejected;
  if (is_served || is_rejected) CountAnswer(now, server, is_rejected);
  if (is_rejected || !ended->began_at) return std::nullopt;
  const double seconds = ToSeconds(now - *ended->began_at);
  const double ratio = seconds / ExpectedSeconds(ended->work);
  // An attempt that ended without an answer took at least this long.
  if (!is_served && ratio <= 1) return std::nullopt;
  const double slowness = SlownessOf(now, server);
  AddRatio(now, server, ratio, SpeedWeight(ended->work));
  if (!is_served) return std::nullopt;
  return FromSeconds(
      slowness < settings_.corrected_slowness ? seconds : seconds / slowness);
}

void ServerWorkTracker::AddRatio(Instant now, Server& server, double ratio,
                                 double weight) const {
  double retained =
      DecayFactor(now, server.speed_decayed_at, settings_.slowness_half_life) *
      (1 - weight * (1 - settings_.retained_per_answer));
  // A server that was slow and answers far sooner than that has recovered.
  const double known = server.weights > 0 ? server.ratios / server.weights : 1;
  if (known >= settings_.corrected_slowness && 3 * ratio < known) {
    retained /= 2;
  }
  server.speed_decayed_at = now;
  server.ratios = retained * server.ratios +
                  weight * std::min(ratio, settings_.max_slowness);
  server.weights = retained * server.weights + weight;
}

void ServerWorkTracker::CountAnswer(Instant now, Server& server,
                                    bool is_rejection) const {
  const double decay = DecayFactor(now, server.rejections_decayed_at,
                                   settings_.rejection_half_life);
  server.rejections_decayed_at = now;
  server.answers = decay * server.answers + (is_rejection ? 0 : 1);
  server.rejections = decay * server.rejections + (is_rejection ? 1 : 0);
}

void ServerWorkTracker::Discard(const BackendId& id, std::uint64_t number) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) Remove(found->second, number);
}

void ServerWorkTracker::Tick(Instant now) {
  std::erase_if(servers_, [&](const auto& item) {
    const Server& server = item.second;
    return server.pending.empty() &&
           now - server.last_assigned_at > settings_.retention;
  });
}

}  // namespace sapphirebank
