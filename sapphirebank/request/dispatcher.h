#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sapphirebank/backend/backend_pool.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/request/fair_queue.h"
#include "sapphirebank/request/owner_load_table.h"
#include "sapphirebank/request/retry_budget.h"

namespace sapphirebank {

// Identifies a dispatch request within one host.
using DispatchId = std::uint64_t;

// Request to choose a destination for one attempt.
struct DispatchRequest {
  DispatchId id = 0;
  PlaceRequest place;
  double weight = 1;  // Of the workspace in the fair queue.
  Instant deadline;
  // Hosts that earlier attempts went to.
  std::vector<HostId> excluded_hosts;
  // The request was forwarded by another entry host and must not be forwarded
  // again.
  bool forwarded = false;
  // A retry; the first attempt has been counted already.
  bool retry = false;
};

// A slot on a backend server that this host owns.
struct LocalSlot {
  Placement placement;
};

// Another host that owns backend servers of the service.
struct ForwardTo {
  HostId host;
  Endpoint forwards;
};

// Destination of an attempt, or the reason why there is none.
struct DispatchDecision {
  DispatchId id = 0;
  RequestId request;
  std::variant<LocalSlot, ForwardTo, Error> place;
  // Time that the request spent in the queue of this host.
  Duration waited{};
};

// Chooses the destination of each attempt: a backend server that this host
// owns, another host that owns some, or the fair queue until a slot is free.
class Dispatcher {
 public:
  struct Settings {
    HostId host;
    ZoneId zone;
    std::uint64_t seed = 1;
  };

  // Fails with kInvalidSettings.
  static Result<Dispatcher> Create(const Settings& settings);

  // Applies the policies of `declarations`. Queue limits of a service keep
  // their first values.
  void SetPolicy(const Declarations& declarations);

  // Dispatches an attempt. An empty result means that it was queued; a later
  // call returns its decision.
  std::vector<DispatchDecision> Dispatch(Instant now,
                                         const DispatchRequest& request);

  // Ends an attempt on a local backend server and gives its slot to the next
  // queued request. `result` receives the pool's FinishResult.
  std::vector<DispatchDecision> Finish(Instant now, AttemptId attempt,
                                       const Outcome& outcome,
                                       FinishResult& result);

  // Removes a queued attempt. Does nothing when it is not queued.
  void Cancel(DispatchId id);

  // Takes one token from the service's retry budget. Returns whether there was
  // one.
  bool TakeRetry(const ServiceId& service);

  // Expires attempts and queued requests, and serves the queues. Call it ten
  // times a second.
  std::vector<DispatchDecision> Tick(Instant now);

  // Returns the load of the backend servers that this host owns, one entry for
  // each service and zone. `forwards` is where this host takes forwarded
  // requests.
  std::vector<OwnerLoad> Loads(const Endpoint& forwards) const;

  BackendPool& pool() { return pool_; }
  const BackendPool& pool() const { return pool_; }
  OwnerLoadTable& owners() { return owners_; }
  const OwnerLoadTable& owners() const { return owners_; }

 private:
  struct WaitingRequest {
    DispatchRequest request;
    Instant since;
  };
  // An attempt that holds a slot on a backend server of this host.
  struct HeldSlot {
    ServiceId service;
    WorkspaceId workspace;
    Instant since;
  };
  struct ServiceState {
    ServiceId id;
    BackendPolicy policy;
    RetryBudget retries{RetryBudgetSettings()};
    std::optional<FairQueue> queue;
  };

  Dispatcher(const Settings& settings, BackendPool pool);

  std::optional<DispatchDecision> TryLocal(Instant now,
                                           const DispatchRequest& request,
                                           std::optional<Error>& error);
  std::optional<DispatchDecision> TryForward(Instant now,
                                             const DispatchRequest& request,
                                             bool may_wait_here);
  std::vector<DispatchDecision> Enqueue(Instant now, ServiceState& service,
                                        const DispatchRequest& request);
  void ServeQueue(Instant now, ServiceState& service,
                  std::vector<DispatchDecision>& decisions);
  void ExpireQueue(Instant now, ServiceState& service,
                   std::vector<DispatchDecision>& decisions);
  DispatchDecision Refuse(Instant now, DispatchId id, ErrorKind kind);
  bool HasFreeSlot(const ServiceId& service) const;
  std::uint32_t QueueLength(const ServiceId& service) const;

  HostId host_;
  Random random_;
  BackendPool pool_;
  OwnerLoadTable owners_;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<DispatchId, WaitingRequest> waiting_;
  std::unordered_map<AttemptId, HeldSlot> held_slots_;
};

}  // namespace sapphirebank
