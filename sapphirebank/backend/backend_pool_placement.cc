#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sapphirebank/backend/backend_pool.h"

namespace sapphirebank {
namespace {

// With at most this many servers, each request considers all of them. With
// more, it samples two eligible ones at random (Mitzenmacher, The Power of Two
// Choices in Randomized Load Balancing, 2001).
constexpr std::size_t kScanLimit = 8;
constexpr std::size_t kSampledServers = 2;
constexpr std::size_t kMaxDraws = 8;
constexpr std::size_t kMaxCandidates = 16;
// Share of idempotent requests that prefer suspect or cold servers, so that
// these can show whether they serve well.
constexpr double kExplorationShare = 1.0 / 8;
// Time after a refused connection during which the server is not explored
// again.
constexpr Duration kRefusedBackoff = std::chrono::milliseconds(500);
// Latency, as a multiple of the service's median, above which an answer does
// not count towards opening slots of a cold server.
constexpr double kSlowRatio = 2.5;
// Ratio of a server's recent latency to its own history from which the server
// is reset to cold, and the ratio below which most of its peers must stay
// meanwhile. A rise that the peers share is not a cold start.
constexpr double kLatencyStepRatio = 2.5;
constexpr double kPeerStepRatio = 1.5;
constexpr std::size_t kMinStepPeers = 2;

PlacementReason StateReason(BackendState state) {
  switch (state) {
    case BackendState::kEjected:
      return PlacementReason::kEjected;
    case BackendState::kZoneOut:
      return PlacementReason::kZoneOut;
    case BackendState::kDraining:
      return PlacementReason::kDraining;
    case BackendState::kSilent:
    case BackendState::kCold:
    case BackendState::kWarm:
      break;
  }
  return PlacementReason::kSilent;
}

}  // namespace

Result<Placement> BackendPool::Place(Instant now, const PlaceRequest& request) {
  const auto found = groups_.find(request.service);
  if (found == groups_.end() || found->second.servers.empty()) {
    return Fail(ErrorKind::kNoBackendServer,
                fmt::format("no backend server of service \"{}\" is owned here",
                            request.service.value()));
  }
  ServiceGroup& group = found->second;
  const auto quarantine = group.quarantine.Check(now, request.fingerprint);
  if (quarantine == OwnerQuarantine::Decision::kQuarantined) {
    return Fail(ErrorKind::kRequestQuarantined,
                "two backend servers crashed while they ran this request");
  }
  Placement placement;
  if (quarantine == OwnerQuarantine::Decision::kWait) return placement;
  const Search search = ChooseServer(now, group, request, placement.candidates);
  if (!search.best && !search.accepts_requests) {
    return Fail(ErrorKind::kNoBackendServer,
                fmt::format("none of the {} backend servers of service \"{}\" "
                            "that are owned here accepts this request",
                            group.servers.size(), request.service.value()));
  }
  if (!search.best) return placement;
  const ServerPtr& server = group.servers[search.best->index];
  placement.status = PlacementStatus::kPlaced;
  placement.backend = server->announcement().backend;
  placement.address = server->announcement().address;
  placement.needs_fresh_connection = server->needs_fresh_connection();
  placement.attempt =
      attempts_.Add({server, server->process_count(), request.fingerprint});
  server->slot_tracker().Start(
      {placement.attempt, now, request.fingerprint, false, false});
  group.quarantine.OnStarted(request.fingerprint);
  return placement;
}

BackendPool::Search BackendPool::ChooseServer(
    Instant now, const ServiceGroup& group, const PlaceRequest& request,
    std::vector<PlacementCandidate>& candidates) {
  Search search;
  search.candidates = &candidates;
  search.explore = request.idempotent && random_.Chance(kExplorationShare);
  const std::size_t count = group.servers.size();
  candidates.reserve(std::min(count, kMaxCandidates));
  if (count > kScanLimit) {
    for (std::size_t draw = 0; draw < kMaxDraws; ++draw) {
      EvaluateCandidate(now, group, request, random_.Below(count), search);
      if (search.eligible == kSampledServers) break;
    }
  }
  if (search.eligible == 0) {
    const std::size_t first = random_.Below(count);
    for (std::size_t i = 0; i < count; ++i) {
      EvaluateCandidate(now, group, request, (first + i) % count, search);
      if (count > kScanLimit && search.eligible == kSampledServers) break;
    }
  }
  if (!search.best) return search;
  const auto& chosen =
      group.servers[search.best->index]->announcement().backend;
  for (auto& candidate : candidates) {
    if (candidate.backend == chosen)
      candidate.reason = PlacementReason::kChosen;
  }
  return search;
}

void BackendPool::EvaluateCandidate(Instant now, const ServiceGroup& group,
                                    const PlaceRequest& request,
                                    std::size_t index, Search& search) {
  const BackendServer& server = *group.servers[index];
  PlacementReason reason = CheckEligibility(group, server, request);
  if (AcceptsRequests(server.state()) && reason != PlacementReason::kExcluded) {
    search.accepts_requests = true;
  }
  if (reason == PlacementReason::kLessFree) {
    const double free = server.FreeSlots(group.policy);
    const Choice choice = {index,
                           free / server.announcement().slots,
                           server.IsSuspect(now, group.overdue_limit),
                           server.state() == BackendState::kCold,
                           now - server.last_refused() < kRefusedBackoff,
                           server.consecutive_bad_probes() > 0};
    if (choice.suspect) reason = PlacementReason::kSuspect;
    if (!choice.suspect) ++search.eligible;
    if (!search.best || IsBetter(choice, *search.best, search.explore)) {
      search.best = choice;
    }
  }
  if (search.candidates->size() < kMaxCandidates) {
    search.candidates->push_back({server.announcement().backend, reason});
  }
}

PlacementReason BackendPool::CheckEligibility(
    const ServiceGroup& group, const BackendServer& server,
    const PlaceRequest& request) const {
  if (!AcceptsRequests(server.state())) return StateReason(server.state());
  const auto& excluded = request.excluded;
  if (std::find(excluded.begin(), excluded.end(),
                server.announcement().backend) != excluded.end()) {
    return PlacementReason::kExcluded;
  }
  if (server.FreeSlots(group.policy) == 0) {
    return server.state() == BackendState::kCold ? PlacementReason::kColdLimit
                                                 : PlacementReason::kBusy;
  }
  const std::uint32_t connections = server.connections();
  if (connections >= server.announcement().max_connections &&
      server.slot_tracker().running().size() >= connections) {
    return PlacementReason::kNoConnection;
  }
  return PlacementReason::kLessFree;
}

bool BackendPool::IsBetter(const Choice& left, const Choice& right,
                           bool explore) {
  if (left.suspect != right.suspect) {
    const bool refused = left.suspect ? left.refused : right.refused;
    return left.suspect == (explore && !refused);
  }
  if (explore && left.cold != right.cold) return left.cold;
  if (left.free_share != right.free_share) {
    return left.free_share > right.free_share;
  }
  if (left.probe_failed != right.probe_failed) return right.probe_failed;
  return random_.Chance(0.5);
}

void BackendPool::SetFreshConnection(AttemptId attempt, bool fresh) {
  const Attempt* running = attempts_.Find(attempt);
  if (running)
    running->server->slot_tracker().SetFreshConnection(attempt, fresh);
}

FinishResult BackendPool::Finish(Instant now, AttemptId attempt_id,
                                 const Outcome& outcome) {
  FinishResult result;
  const auto attempt = attempts_.Take(attempt_id);
  if (!attempt) {
    result.connection = ConnectionAdvice::kClose;
    return result;
  }
  BackendServer& server = *attempt->server;
  result.known = true;
  result.backend = server.announcement().backend;
  Instant held_until = now;
  if (outcome.kind == OutcomeKind::kTimedOut) {
    held_until += settings_.timeout_grace;
    result.connection = outcome.fresh_connection ? ConnectionAdvice::kClose
                                                 : ConnectionAdvice::kCloseIdle;
  } else if (outcome.kind == OutcomeKind::kCancelled) {
    held_until += settings_.cancel_grace;
    result.connection = ConnectionAdvice::kClose;
  } else if (outcome.kind == OutcomeKind::kConnectionLost) {
    result.connection = ConnectionAdvice::kCloseIdle;
  } else if (outcome.kind == OutcomeKind::kConnectionRefused) {
    result.connection = ConnectionAdvice::kClose;
  }
  server.slot_tracker().Finish(now, attempt_id, held_until);
  ServiceGroup* group = FindGroup(server);
  if (!group) return result;
  const bool answered = outcome.kind == OutcomeKind::kSuccess ||
                        outcome.kind == OutcomeKind::kHttpError;
  group->quarantine.OnFinished(attempt->fingerprint, answered);
  if (attempt->process_count != server.process_count()) return result;
  const bool slow = group->median_latency > Duration::zero() &&
                    outcome.latency > group->median_latency * kSlowRatio;
  server.RecordOutcome(now, group->policy, outcome, attempt->fingerprint, slow);
  if (server.state() == BackendState::kWarm &&
      HasIsolatedLatencyStep(*group, server)) {
    server.ResetToCold();
  }
  CollectCrashReport(now, server);
  return result;
}

bool BackendPool::HasIsolatedLatencyStep(const ServiceGroup& group,
                                         const BackendServer& server) const {
  if (server.latency_step().Ratio() < kLatencyStepRatio) return false;
  std::size_t peers = 0;
  std::size_t steady = 0;
  for (const auto& peer : group.servers) {
    if (peer.get() == &server || !peer->latency_step().has_history()) continue;
    ++peers;
    if (peer->latency_step().Ratio() < kPeerStepRatio) ++steady;
  }
  return peers >= kMinStepPeers && steady * 2 > peers;
}

bool BackendPool::OpenConnection(const BackendId& backend) {
  const ServerPtr server = FindServer(backend);
  return server && server->OpenConnection();
}

void BackendPool::CloseConnection(const BackendId& backend) {
  const ServerPtr server = FindServer(backend);
  if (server && server->connections() > 0) server->CloseConnection();
}

}  // namespace sapphirebank
