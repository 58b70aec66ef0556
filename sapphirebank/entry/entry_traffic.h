#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "sapphirebank/entry/entry_control.h"
#include "sapphirebank/lease/owner_directory.h"
#include "sapphirebank/rate/rate_admission.h"
#include "sapphirebank/request/dispatcher.h"

namespace sapphirebank {

struct EntryTrafficSettings {
  HostId host;
  ZoneId zone;
  Endpoint forwards;  // Where this host takes forwarded requests.
  Incarnation incarnation = 0;
  std::uint64_t seed = 1;
  RateSettings rate;
};

// Outcome of an announcement, for the log.
struct AnnounceOutcome {
  BackendId backend;
  Result<AnnounceDecision> decision;
};

// Effects that the caller of EntryTraffic must carry out.
struct TrafficEffects {
  std::vector<DispatchDecision> dispatched;
  std::vector<RateAdmission::Decision> admitted;
  std::vector<RateEffect> token_requests;
  std::vector<WindowReport> reports;
  std::vector<OwnerLoad> loads;
  std::vector<ProbeRequest> probes;
  std::vector<AnnounceOutcome> announced;
};

// Traffic decisions of an entry host: rate limiting, and the destination of
// each attempt. It uses a backend server only while this host holds the lease
// for it at that moment.
class EntryTraffic {
 public:
  using LeaseCheck =
      std::function<std::optional<Term>(Instant, std::string_view key)>;

  // Fails with kInvalidSettings.
  static Result<EntryTraffic> Create(const EntryTrafficSettings& settings,
                                     LeaseCheck holds);

  // Applies a configuration.
  void SetConfiguration(std::shared_ptr<const RouteTable> table);

  // Applies the effects of EntryControl that concern traffic.
  TrafficEffects OnControl(Instant now, const EntryEffects& control_effects);

  // Checks the rate limit for one request of `workspace`. A workspace that is
  // not declared any more is refused.
  TrafficEffects Admit(Instant now, const WorkspaceId& workspace,
                       RateAdmission::RequestNumber number);

  // Dispatches an attempt.
  TrafficEffects Dispatch(Instant now, const DispatchRequest& request);

  // Cancels a queued attempt.
  void CancelDispatch(DispatchId id) { dispatcher_.Cancel(id); }

  // Finishes an attempt on a backend server that this host owns.
  TrafficEffects Finish(Instant now, AttemptId attempt, const Outcome& outcome,
                        FinishResult& result);

  // Reports the outcome of a probe.
  void FinishProbe(Instant now, const BackendId& backend, ProbeOutcome outcome);

  // Takes one token from the service's retry budget. Returns whether there was
  // one.
  bool TakeRetry(const ServiceId& service) {
    return dispatcher_.TakeRetry(service);
  }

  // Runs timers. Call it every few milliseconds.
  TrafficEffects Tick(Instant now);

  // Returns the backend servers that this host owns.
  std::vector<ServerStatus> Servers() const {
    return dispatcher_.pool().Servers();
  }

  // Returns the usable owners of `service`, including this host.
  std::vector<OwnerLoad> OwnersOf(Instant now, const ServiceId& service) const;

  // Removes the loads and ownerships of a host that left or failed.
  void ForgetHost(const HostId& host);

 private:
  EntryTraffic(const EntryTrafficSettings& settings, LeaseCheck holds,
               Dispatcher dispatcher);

  // Releases the backend servers whose lease this host no longer holds.
  void ReleaseExpiredLeases(Instant now);

  EntryTrafficSettings settings_;
  LeaseCheck holds_;
  std::shared_ptr<const RouteTable> table_;
  std::shared_ptr<OwnerDirectory> directory_;
  Dispatcher dispatcher_;
  RateAdmission admission_;
  std::set<BackendKey> owned_;
  Instant next_slow_tick_;
  Instant next_loads_;
  Instant next_reports_;
};

}  // namespace sapphirebank
