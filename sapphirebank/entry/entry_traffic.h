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
  Endpoint forwards;  // Where this host takes requests of other hosts.
  Incarnation incarnation = 0;
  std::uint64_t seed = 1;
  RateSettings rate;
};

// What became of an announcement, for the log.
struct AnnounceOutcome {
  BackendId backend;
  Result<AnnounceDecision> decision;
};

// What EntryTraffic wants done.
struct TrafficEffects {
  std::vector<DispatchAnswer> dispatched;
  std::vector<RateAdmission::Decision> admitted;
  std::vector<RateEffect> rate_asks;
  std::vector<WindowReport> reports;
  std::vector<OwnerLoad> loads;
  std::vector<ProbeRequest> probes;
  std::vector<AnnounceOutcome> announced;
};

// The traffic decisions of an entry host: the rate gate, and where each try of
// a request goes. It uses a backend server only while the lease for it is held
// at that very moment.
class EntryTraffic {
 public:
  using LeaseCheck =
      std::function<std::optional<Term>(Instant, std::string_view key)>;

  // Fails with kInvalidSettings.
  static Result<EntryTraffic> Create(const EntryTrafficSettings& settings,
                                     LeaseCheck holds);

  // Puts a configuration in force.
  void SetConfiguration(std::shared_ptr<const RouteTable> table);

  // Takes the news that the control state has for traffic.
  TrafficEffects OnControl(Instant now, const EntryEffects& news);

  // Asks for one request of the workspace's rate. A workspace that is no longer
  // declared has none.
  TrafficEffects Enter(Instant now, const WorkspaceId& workspace,
                       RateAdmission::RequestNumber number);

  // Asks where a try goes.
  TrafficEffects Dispatch(Instant now, const DispatchRequest& request);

  // Gives up a try that waits for its place.
  void CancelDispatch(DispatchId id) { dispatcher_.Cancel(id); }

  // Ends a try on a backend server of this host.
  TrafficEffects Finish(Instant now, AttemptId attempt, const Outcome& outcome,
                        FinishResult& result);

  // Ends a probe.
  void FinishProbe(Instant now, const BackendId& backend, ProbeOutcome outcome);

  // Takes one retry of the service's budget.
  bool TakeRetry(const ServiceId& service) {
    return dispatcher_.TakeRetry(service);
  }

  // Acts on the passage of time. Call it every few milliseconds.
  TrafficEffects Tick(Instant now);

  // Returns the backend servers that this host owns.
  std::vector<ServerStatus> Servers() const {
    return dispatcher_.pool().Servers();
  }

  // Returns the owners of `service` that take work, this host among them.
  std::vector<OwnerLoad> OwnersOf(Instant now, const ServiceId& service) const;

  // Forgets what other hosts told that are gone.
  void ForgetHost(const HostId& host);

 private:
  EntryTraffic(const EntryTrafficSettings& settings, LeaseCheck holds,
               Dispatcher dispatcher);

  void ReleaseLapsed(Instant now);

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
