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

// Numbers a request that asks for a place, within one host.
using DispatchId = std::uint64_t;

// Asks where one try of a request shall go.
struct DispatchRequest {
  DispatchId id = 0;
  PlaceRequest place;
  double weight = 1;  // Of the workspace.
  Instant deadline;
  // Hosts that were tried already.
  std::vector<HostId> excluded_hosts;
  // The request came from another entry host and must be served here.
  bool forwarded = false;
  // A further try of a request that was counted before.
  bool retry = false;
};

// A slot of a backend server that this host owns.
struct LocalSlot {
  Placement placement;
};

// Another host which owns backend servers of the service.
struct ForwardTo {
  HostId host;
  Endpoint forwards;
};

// Where a try goes, or why it goes nowhere.
struct DispatchDecision {
  DispatchId id = 0;
  RequestId request;
  std::variant<LocalSlot, ForwardTo, Error> place;
  // How long the request waited here for a slot.
  Duration waited{};
};

// Finds a place for each try of a request: a backend server of this host,
// another host that owns some, or a place in the fair queue until a slot is
// free.
class Dispatcher {
 public:
  struct Settings {
    HostId host;
    ZoneId zone;
    std::uint64_t seed = 1;
  };

  static Result<Dispatcher> Create(const Settings& settings);

  // Puts declarations in force.
  void SetPolicy(const Declarations& declarations);

  // Decides about a try. An empty result means that it waits; its answer is
  // returned by a later call.
  std::vector<DispatchDecision> Dispatch(Instant now,
                                         const DispatchRequest& request);

  // Ends a try on a local backend server and gives its slot to the next one.
  // `advice` is set to what the connection is good for.
  std::vector<DispatchDecision> Finish(Instant now, AttemptId attempt,
                                       const Outcome& outcome,
                                       FinishResult& result);

  // Gives up a try that waits.
  void Cancel(DispatchId id);

  // Takes one retry of the service's budget.
  bool TakeRetry(const ServiceId& service);

  // Ends what has run out and serves the queues. Call it ten times a second.
  std::vector<DispatchDecision> Tick(Instant now);

  // Returns what other hosts should know of the backend servers here.
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
  // A try that holds a slot here.
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
