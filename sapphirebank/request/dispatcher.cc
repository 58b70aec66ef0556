#include "sapphirebank/request/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace sapphirebank {

Result<Dispatcher> Dispatcher::Create(const Settings& settings) {
  BackendPoolSettings pool_settings;
  pool_settings.host = settings.host;
  pool_settings.seed = settings.seed;
  auto pool = BackendPool::Create(pool_settings);
  if (!pool) return tl::unexpected(pool.error());
  return Dispatcher(settings, std::move(*pool));
}

Dispatcher::Dispatcher(const Settings& settings, BackendPool pool)
    : host_(settings.host),
      random_(settings.seed),
      pool_(std::move(pool)),
      owners_(OwnerLoadTableSettings{.zone = settings.zone}) {}

void Dispatcher::SetPolicy(const Declarations& declarations) {
  pool_.SetPolicy(declarations);
  for (const ServiceDeclaration& service : declarations.services) {
    ServiceState& state = services_[service.id];
    state.id = service.id;
    state.policy = service.policy;
    state.retries.set_ratio(service.policy.retry_budget);
    if (state.queue) continue;
    FairQueueSettings queue;
    queue.limit = service.policy.queue_limit;
    queue.workspace_limit = service.policy.queue_limit;
    queue.max_wait = service.policy.queue_timeout;
    auto created = FairQueue::Create(queue);
    if (created) state.queue = std::move(*created);
  }
}

std::vector<DispatchDecision> Dispatcher::Dispatch(
    Instant now, const DispatchRequest& request) {
  ServiceState& service = services_[request.place.service];
  if (!request.retry) service.retries.CountFirstAttempt();
  std::optional<Error> error;
  // A new request must not overtake those in the queue.
  const bool others_wait = service.queue && service.queue->size() > 0;
  if (!others_wait) {
    auto local = TryLocal(now, request, error);
    if (local) return {std::move(*local)};
  }
  if (error && error->kind == ErrorKind::kRequestQuarantined) {
    return {DispatchDecision{request.id, request.place.request,
                             std::move(*error), Duration::zero()}};
  }
  if (auto forward = TryForward(now, request, !error)) {
    return {std::move(*forward)};
  }
  if (error) {
    return {DispatchDecision{request.id, request.place.request,
                             std::move(*error), Duration::zero()}};
  }
  return Enqueue(now, service, request);
}

std::vector<DispatchDecision> Dispatcher::Finish(Instant now, AttemptId attempt,
                                                 const Outcome& outcome,
                                                 FinishResult& result) {
  result = pool_.Finish(now, attempt, outcome);
  std::vector<DispatchDecision> decisions;
  const auto held = held_slots_.extract(attempt);
  if (held.empty()) return decisions;
  ServiceState& service = services_[held.mapped().service];
  if (!service.queue) return decisions;
  service.queue->Finish(held.mapped().workspace, now - held.mapped().since);
  ServeQueue(now, service, decisions);
  return decisions;
}

void Dispatcher::Cancel(DispatchId id) {
  const auto waiting = waiting_.extract(id);
  if (waiting.empty()) return;
  services_[waiting.mapped().request.place.service].queue->Cancel(id);
}

std::vector<DispatchDecision> Dispatcher::Tick(Instant now) {
  pool_.Expire(now);
  std::vector<DispatchDecision> decisions;
  for (auto& [id, service] : services_) {
    if (!service.queue) continue;
    ExpireQueue(now, service, decisions);
    ServeQueue(now, service, decisions);
  }
  return decisions;
}

std::vector<DispatchDecision> Dispatcher::Enqueue(
    Instant now, ServiceState& service, const DispatchRequest& request) {
  if (!service.queue) {
    return {DispatchDecision{
        request.id, request.place.request,
        Error(ErrorKind::kQueueFull, "the service has no request queue"),
        Duration::zero()}};
  }
  const auto pushed =
      service.queue->Push(now, request.place.workspace, request.weight,
                          request.deadline, request.id);
  if (!pushed) {
    return {DispatchDecision{request.id, request.place.request, pushed.error(),
                             Duration::zero()}};
  }
  waiting_.emplace(request.id, WaitingRequest{request, now});
  if (!*pushed) return {};
  return {Refuse(now, **pushed, ErrorKind::kQueueFull)};
}

// Assigns free slots to queued requests in fair-queue order.
void Dispatcher::ServeQueue(Instant now, ServiceState& service,
                            std::vector<DispatchDecision>& decisions) {
  while (service.queue->size() > 0 && HasFreeSlot(service.id)) {
    const auto next = service.queue->Pop(now);
    if (!next) return;
    const auto waiting = waiting_.extract(*next);
    if (waiting.empty()) continue;
    const WaitingRequest& first = waiting.mapped();
    std::optional<Error> error;
    auto local = TryLocal(now, first.request, error);
    if (local) {
      local->waited = now - first.since;
      decisions.push_back(std::move(*local));
      continue;
    }
    if (!error) error = Error(ErrorKind::kQueueTimeout, "no usable slot");
    decisions.push_back({*next, first.request.place.request, std::move(*error),
                         now - first.since});
  }
}

void Dispatcher::ExpireQueue(Instant now, ServiceState& service,
                             std::vector<DispatchDecision>& decisions) {
  for (const QueueRefusal& refusal : service.queue->ExpireDue(now)) {
    decisions.push_back(Refuse(now, refusal.token, refusal.kind));
  }
}

DispatchDecision Dispatcher::Refuse(Instant now, DispatchId id,
                                    ErrorKind kind) {
  const auto waiting = waiting_.extract(id);
  Duration waited = Duration::zero();
  RequestId request;
  if (!waiting.empty()) {
    waited = now - waiting.mapped().since;
    request = waiting.mapped().request.place.request;
  }
  return {id, request,
          Error(kind, fmt::format("waited {} us for a slot", waited.count())),
          waited};
}

std::uint32_t Dispatcher::QueueLength(const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.queue) return 0;
  return static_cast<std::uint32_t>(found->second.queue->size());
}

bool Dispatcher::HasFreeSlot(const ServiceId& service) const {
  const auto servers = pool_.Servers();
  return std::any_of(servers.begin(), servers.end(),
                     [&](const ServerStatus& server) {
                       return server.key.service == service &&
                              server.taken < server.slot_limit;
                     });
}

bool Dispatcher::TakeRetry(const ServiceId& service) {
  return services_[service].retries.TryTake();
}

std::vector<OwnerLoad> Dispatcher::Loads(const Endpoint& forwards) const {
  std::map<BackendKey, OwnerLoad> loads;
  for (const ServerStatus& server : pool_.Servers()) {
    OwnerLoad& load = loads[server.key];
    load.host = host_;
    load.forwards = forwards;
    load.service = server.key.service;
    load.zone = server.key.zone;
    load.waiting = QueueLength(server.key.service);
    load.usable_slots += server.slot_limit;
    if (server.slot_limit > server.taken) {
      load.free_slots += server.slot_limit - server.taken;
    }
  }
  std::vector<OwnerLoad> result;
  result.reserve(loads.size());
  for (auto& [key, load] : loads) result.push_back(std::move(load));
  return result;
}

std::optional<DispatchDecision> Dispatcher::TryLocal(
    Instant now, const DispatchRequest& request, std::optional<Error>& error) {
  Result<Placement> placement = pool_.Place(now, request.place);
  if (!placement) {
    error = placement.error();
    return std::nullopt;
  }
  if (placement->status != PlacementStatus::kPlaced) return std::nullopt;
  held_slots_[placement->attempt] = {request.place.service,
                                     request.place.workspace, now};
  return DispatchDecision{request.id, request.place.request,
                          LocalSlot{std::move(*placement)}, Duration::zero()};
}

std::optional<DispatchDecision> Dispatcher::TryForward(
    Instant now, const DispatchRequest& request, bool may_wait_here) {
  if (request.forwarded) return std::nullopt;
  // Without free slots elsewhere, forwarding would only move the wait.
  if (may_wait_here && owners_.FreeSlots(now, request.place.service) == 0) {
    return std::nullopt;
  }
  const auto owner = owners_.Choose(now, request.place.service,
                                    request.excluded_hosts, random_);
  if (!owner) return std::nullopt;
  return DispatchDecision{request.id, request.place.request,
                          ForwardTo{owner->host, owner->forwards},
                          Duration::zero()};
}

}  // namespace sapphirebank
