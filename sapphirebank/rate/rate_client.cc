#include "sapphirebank/rate/rate_client.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "sapphirebank/lease/lease_settings.h"

namespace sapphirebank {
namespace {

// Time constant of the demand average.
constexpr Duration kDemandWindow = std::chrono::milliseconds(200);

// Time without demand after which a workspace without tokens is removed from
// memory.
constexpr Duration kIdleAfter = std::chrono::seconds(5);

// Initial time for which a host sends no further token request for an exhausted
// workspace. It doubles with each consecutive exhausted response, up to the
// owner's `retry_after`.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(2);
constexpr int kMaxBackoffDoublings = 6;

// Maintenance rounds during the lifetime of a grant.
constexpr int kMaintenanceRoundsPerGrant = 8;

}  // namespace

RateClient::RateClient(RateSettings settings, Incarnation incarnation,
                       OwnerLookup owner_of)
    : settings_(settings),
      incarnation_(incarnation),
      owner_of_(std::move(owner_of)),
      margin_(DriftMargin(settings.grant_ttl, settings.max_drift)) {}

RateClient::WorkspaceState& RateClient::FindOrCreate(
    Instant now, const WorkspaceId& workspace) {
  const auto found = index_.find(workspace);
  if (found != index_.end()) return *found->second;
  auto state = std::make_unique<WorkspaceState>();
  state->workspace = workspace;
  state->bucket = RateBucket(workspace, settings_);
  state->demand_at = now;
  state->reserve_refilled_at = now;
  state->responded_at = Instant::min();
  state->no_request_until = now;
  state->valid_until = now;
  state->previous_owner_valid_until = now;
  state->exhausted_until = now;
  WorkspaceState& result = *state;
  index_.emplace(workspace, state.get());
  states_.push_back(std::move(state));
  return result;
}

AcquireResult RateClient::TryAcquire(Instant now, const WorkspaceId& workspace,
                                     const RateLimit& limit,
                                     std::optional<Instant> waiting_since) {
  WorkspaceState& state = FindOrCreate(now, workspace);
  Expire(now, state);
  if (!waiting_since) CountDemand(now, state);
  // Requests that are already waiting come first.
  const bool in_turn = waiting_since || state.waiting == 0;
  if (in_turn && TakeToken(now, state, limit)) {
    if (waiting_since && state.waiting > 0) --state.waiting;
    EnqueueIfLow(now, state);
    return {AcquireOutcome::kAdmitted, now};
  }
  if (now < state.exhausted_until) {
    if (waiting_since && state.waiting > 0) --state.waiting;
    return {AcquireOutcome::kRateExceeded, state.exhausted_until};
  }
  if (!waiting_since) {
    ++state.waiting;
    Enqueue(state);
    return {AcquireOutcome::kWait, now + settings_.token_wait_timeout};
  }
  const Instant end = *waiting_since + settings_.token_wait_timeout;
  if (now < end) {
    Enqueue(state);
    return {AcquireOutcome::kWait, end};
  }
  if (state.waiting > 0) --state.waiting;
  const bool responded = state.responded_at >= *waiting_since;
  return {
      responded ? AcquireOutcome::kRateExceeded : AcquireOutcome::kUnavailable,
      now + settings_.token_wait_timeout};
}

void RateClient::CancelWait(const WorkspaceId& workspace) {
  const auto found = index_.find(workspace);
  if (found == index_.end()) return;
  if (found->second->waiting > 0) --found->second->waiting;
}

void RateClient::CountDemand(Instant now, WorkspaceState& state) const {
  state.demand = Demand(now, state) + 1 / ToSeconds(kDemandWindow);
  state.demand_at = now;
}

void RateClient::Expire(Instant now, WorkspaceState& state) const {
  if (now >= state.valid_until) {
    state.returned = state.granted - state.spent;
  }
  if (now >= state.previous_owner_valid_until) state.previous_owner_tokens = 0;
}

std::uint64_t RateClient::Balance(const WorkspaceState& state) const {
  return state.granted - state.spent - state.returned;
}

bool RateClient::TakeToken(Instant now, WorkspaceState& state,
                           const RateLimit& limit) const {
  if (state.previous_owner_tokens > 0) {
    --state.previous_owner_tokens;
    return true;
  }
  if (Balance(state) > 0) {
    ++state.spent;
    return true;
  }
  return TakeReserveToken(now, state, limit);
}

bool RateClient::TakeReserveToken(Instant now, WorkspaceState& state,
                                  const RateLimit& limit) const {
  const RateLimit part = ReservePerHost(limit, settings_);
  if (part.burst <= 0) return false;
  const double elapsed =
      ToSeconds(now - state.reserve_refilled_at) * (1 - settings_.max_drift);
  state.reserve_refilled_at = now;
  state.reserve_tokens =
      std::min(part.burst, state.reserve_tokens + elapsed * part.rate);
  if (state.reserve_tokens < 1) return false;
  state.reserve_tokens -= 1;
  return true;
}

double RateClient::Demand(Instant now, const WorkspaceState& state) const {
  const double age = ToSeconds(now - state.demand_at);
  return state.demand * std::exp(-age / ToSeconds(kDemandWindow));
}

std::uint64_t RateClient::TargetBalance(Instant now,
                                        const WorkspaceState& state) const {
  const double demand = Demand(now, state);
  const double tokens =
      state.scarce ? std::floor(demand * ToSeconds(settings_.scarce_horizon))
                   : std::ceil(demand * ToSeconds(settings_.horizon));
  return static_cast<std::uint64_t>(tokens);
}

bool RateClient::HasRequestInFlight(Instant now,
                                    const WorkspaceState& state) const {
  return state.in_flight_sequence != 0 &&
         now < state.requested_at + settings_.request_retry_interval;
}

bool RateClient::ShouldRequestTokens(Instant now,
                                     const WorkspaceState& state) const {
  if (state.recalled) return true;
  if (now < state.no_request_until) return false;
  if (!HasRequestInFlight(now, state))
    return state.request_due || state.waiting > 0;
  // A burst may still be arriving. Each further token request has to cover at
  // least as many waiting requests as those in flight, which bounds the number
  // of messages.
  return state.waiting > 2 * state.in_flight_needed;
}

void RateClient::Enqueue(WorkspaceState& state) {
  if (state.queued) return;
  state.queued = true;
  queue_.push_back(&state);
}

void RateClient::EnqueueIfLow(Instant now, WorkspaceState& state) {
  if (now < state.exhausted_until || HasRequestInFlight(now, state)) return;
  if (2 * Balance(state) >= TargetBalance(now, state)) return;
  state.request_due = true;
  Enqueue(state);
}

std::optional<Instant> RateClient::SentAt(std::uint64_t sequence) const {
  if (sent_.empty() || sequence < sent_.front().sequence) return std::nullopt;
  const std::uint64_t index = sequence - sent_.front().sequence;
  if (index >= sent_.size()) return std::nullopt;
  return sent_[index].sent_at;
}

std::vector<WorkspaceId> RateClient::OnTokenResponse(
    Instant now, const TokenResponse& response) {
  std::vector<WorkspaceId> retryable;
  if (response.incarnation != incarnation_) return retryable;
  const auto sent_at = SentAt(response.sequence);
  if (!sent_at) return retryable;
  for (const WorkspaceTokenGrant& grant : response.grants) {
    if (ApplyGrant(now, *sent_at, response.sequence, grant)) {
      retryable.push_back(grant.workspace);
    }
  }
  return retryable;
}

bool RateClient::ApplyGrant(Instant now, Instant sent_at,
                            std::uint64_t sequence,
                            const WorkspaceTokenGrant& grant) {
  const auto found = index_.find(grant.workspace);
  if (found == index_.end()) return false;
  WorkspaceState& state = *found->second;
  // The token request is sent again after RateSettings::request_retry_interval;
  // the owner may be known by then.
  if (grant.status == GrantStatus::kNotOwner) return false;
  if (state.in_flight_sequence == sequence) {
    state.in_flight_sequence = 0;
    state.in_flight_needed = 0;
  }
  Expire(now, state);
  const Instant valid_until = sent_at + settings_.grant_ttl - margin_;
  const bool stale = std::pair(grant.term, grant.account) <
                     std::pair(state.term, state.account);
  if (stale || now >= valid_until) return false;
  state.responded_at = now;
  if (grant.status == GrantStatus::kUnknownWorkspace) {
    state.exhausted_until = now + settings_.token_wait_timeout;
    return state.waiting > 0;
  }
  if (grant.term != state.term || grant.account != state.account) {
    OpenAccount(now, state, grant);
  }
  state.granted = std::max(state.granted, grant.granted);
  state.valid_until = std::max(state.valid_until, valid_until);
  state.scarce = grant.scarce;
  if (grant.status == GrantStatus::kRecalling) {
    state.no_request_until = now + grant.retry_after;
  }
  if (grant.status == GrantStatus::kExhausted) {
    const Duration backoff =
        kInitialBackoff * (1 << state.consecutive_exhaustions);
    state.exhausted_until = now + std::min(grant.retry_after, backoff);
    state.consecutive_exhaustions =
        std::min(state.consecutive_exhaustions + 1, kMaxBackoffDoublings);
  } else if (grant.status == GrantStatus::kGranted) {
    state.consecutive_exhaustions = 0;
  }
  return state.waiting > 0;
}

void RateClient::OpenAccount(Instant now, WorkspaceState& state,
                             const WorkspaceTokenGrant& grant) const {
  // A new owner counts the grants of the previous owner as outstanding, so they
  // may be spent until they expire.
  if (grant.term != state.term && now < state.valid_until) {
    state.previous_owner_tokens = Balance(state);
    state.previous_owner_valid_until = state.valid_until;
  }
  state.term = grant.term;
  state.account = grant.account;
  state.granted = 0;
  state.spent = 0;
  state.reported = 0;
  state.returned = 0;
  state.valid_until = now;
}

WorkspaceTokenRequest RateClient::MakeTokenRequest(
    Instant now, WorkspaceState& state) const {
  const std::uint64_t target = TargetBalance(now, state);
  const std::uint64_t balance = Balance(state);
  WorkspaceTokenRequest token_request;
  token_request.workspace = state.workspace;
  token_request.term = state.term;
  token_request.account = state.account;
  token_request.needed =
      state.waiting - std::min(state.waiting, state.in_flight_needed);
  state.in_flight_needed += token_request.needed;
  if (!state.return_all && target > balance) {
    token_request.prefetch = static_cast<std::uint32_t>(target - balance);
  }
  if (state.return_all || (state.scarce && balance > target)) {
    state.returned += balance - (state.return_all ? 0 : target);
  }
  state.return_all = false;
  state.request_due = false;
  state.recalled = false;
  token_request.spent = state.spent;
  state.reported = state.spent;
  token_request.returned = state.returned;
  return token_request;
}

void RateClient::OnRecall(Instant now, const TokenRecall& recall) {
  for (const WorkspaceId& workspace : recall.workspaces) {
    const auto found = index_.find(workspace);
    if (found == index_.end()) continue;
    WorkspaceState& state = *found->second;
    Expire(now, state);
    state.scarce = true;
    state.recalled = true;
    state.request_due = true;
    Enqueue(state);
  }
}

std::vector<RateEffect> RateClient::Flush(Instant now) {
  if (now >= next_maintenance_) Maintain(now);
  TokenRequests requests;
  std::size_t kept = 0;
  for (WorkspaceState* state : queue_) {
    Expire(now, *state);
    if (ShouldRequestTokens(now, *state))
      AddTokenRequest(now, *state, requests);
    // Keep it queued so that the request is repeated if no response arrives.
    state->queued = state->waiting > 0;
    if (state->queued) queue_[kept++] = state;
  }
  queue_.resize(kept);
  while (!sent_.empty() && now >= sent_.front().sent_at + settings_.grant_ttl) {
    sent_.pop_front();
  }
  std::vector<RateEffect> effects;
  effects.reserve(requests.size());
  for (auto& [host, token_request] : requests)
    effects.push_back({host, std::move(token_request)});
  return effects;
}

void RateClient::AddTokenRequest(Instant now, WorkspaceState& state,
                                 TokenRequests& requests) {
  const auto owner = owner_of_(now, RateKey(state.bucket));
  if (!owner) return;
  TokenRequest& token_request = requests[owner->host];
  if (token_request.requests.empty()) {
    token_request.incarnation = incarnation_;
    token_request.sequence = ++last_sequence_;
    sent_.push_back({token_request.sequence, now});
  }
  if (!HasRequestInFlight(now, state)) state.in_flight_needed = 0;
  token_request.requests.push_back(MakeTokenRequest(now, state));
  state.in_flight_sequence = token_request.sequence;
  state.requested_at = now;
}

void RateClient::Maintain(Instant now) {
  next_maintenance_ = now + settings_.grant_ttl / kMaintenanceRoundsPerGrant;
  for (std::size_t i = 0; i < states_.size();) {
    if (MaintainWorkspace(now, *states_[i])) {
      ++i;
      continue;
    }
    index_.erase(states_[i]->workspace);
    std::swap(states_[i], states_.back());
    states_.pop_back();
  }
}

bool RateClient::MaintainWorkspace(Instant now, WorkspaceState& state) {
  Expire(now, state);
  if (Balance(state) > 0 &&
      now >= state.valid_until - settings_.grant_ttl / 2) {
    // Renew tokens that will be used within the lifetime of a grant, and return
    // them if they will not.
    const double expected_uses =
        Demand(now, state) * ToSeconds(settings_.grant_ttl);
    state.return_all = expected_uses < 1;
    state.request_due = true;
    Enqueue(state);
    return true;
  }
  // The owner counts spent tokens as outstanding until they are reported.
  if (state.spent > state.reported) {
    state.request_due = true;
    Enqueue(state);
  }
  const bool in_use = state.queued || state.waiting > 0 || Balance(state) > 0 ||
                      state.previous_owner_tokens > 0;
  return in_use || now < state.demand_at + kIdleAfter;
}

std::vector<RateEffect> RateClient::ReturnAll(Instant now) {
  for (const auto& state : states_) {
    Expire(now, *state);
    state->previous_owner_tokens = 0;
    if (Balance(*state) == 0) continue;
    state->return_all = true;
    state->request_due = true;
    state->in_flight_sequence = 0;
    Enqueue(*state);
  }
  return Flush(now);
}

}  // namespace sapphirebank
