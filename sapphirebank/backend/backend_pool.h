#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirebank/backend/announcement.h"
#include "sapphirebank/backend/attempt_table.h"
#include "sapphirebank/backend/backend_server.h"
#include "sapphirebank/backend/owner_quarantine.h"
#include "sapphirebank/backend/placement.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/backend/window_report.h"
#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/state_chart.h"

namespace sapphirebank {

struct BackendPoolSettings {
  HostId host;
  std::uint64_t seed = 1;
  // Time for which the slot of a timed-out request stays occupied, because the
  // server may still be working on it.
  Duration timeout_grace = std::chrono::seconds(5);
  // The same for a cancelled request.
  Duration cancel_grace = std::chrono::milliseconds(500);
  // Longest time for which requests placed by an earlier owner may still be
  // running.
  Duration takeover_hold = std::chrono::seconds(12);
  // Largest share of a server's slot time that probes may use, in (0, 1].
  double probe_share = 0.01;
  // Assumed time for which a probe occupies a slot.
  Duration probe_cost = std::chrono::milliseconds(25);
  // Time without an answer from a server after which it is probed.
  Duration probe_idle = std::chrono::seconds(5);
};

// State that the owner of a key passes to the next owner.
struct Handover {
  struct Server {
    BackendId backend;
    std::string process_id;
    std::uint32_t taken = 0;  // Occupied slots.
    bool warm = false;

    friend bool operator==(const Server&, const Server&) = default;
  };

  std::vector<Server> servers;

  friend bool operator==(const Handover&, const Handover&) = default;
};

// Result of finishing an attempt.
struct FinishResult {
  // False if the attempt had already finished.
  bool known = false;
  BackendId backend;
  ConnectionAdvice connection = ConnectionAdvice::kKeep;
};

// Requests one probe of a server's health endpoint, on a new connection.
struct ProbeRequest {
  BackendId backend;
  BackendAddress address;
};

// A change of a server's state that results from the passage of time rather
// than from a call by the pool's user.
struct ServerStateChange {
  BackendId backend;
  BackendState before = BackendState::kCold;
  BackendState after = BackendState::kCold;
};

// Current status of one backend server, for reports and logs.
struct ServerStatus {
  BackendId backend;
  BackendKey key;
  BackendAddress address;
  BackendState state = BackendState::kCold;
  std::uint32_t slots = 0;
  std::uint32_t slot_limit = 0;
  std::uint32_t taken = 0;
  std::uint32_t connections = 0;
  // Whether its latest probe failed; placement then prefers an otherwise equal
  // server.
  bool probe_failed = false;
};

// Tracks the backend servers that one entry host owns: their announcements,
// slots, connections and probes. Places requests on them.
class BackendPool {
 public:
  // Fails with kInvalidSettings.
  static Result<BackendPool> Create(const BackendPoolSettings& settings);

  // Applies the services and availability zones of `declarations`. A zone that
  // is out of service gets no new requests from now on.
  void SetPolicy(const Declarations& declarations);

  // Starts to own `key` under the lease with the given term. `handover` comes
  // from the previous owner; an empty one says that no requests are running.
  // Without a handover, all slots count as occupied until the servers' load
  // reports show otherwise or BackendPoolSettings::takeover_hold has passed.
  void Adopt(Instant now, const BackendKey& key, Term term,
             const std::optional<Handover>& handover);

  // Ends ownership at once. Running attempts may still be finished.
  Handover Release(const BackendKey& key);

  // Processes an announcement. Fails with kMalformedRequest, with kNotFound
  // when the service or the zone is not declared, and with kNoConfiguration
  // before the first SetPolicy.
  Result<AnnounceDecision> Announce(Instant now,
                                    const Announcement& announcement);

  // Chooses a server and occupies one of its slots for one attempt of a
  // request. Fails with kNoBackendServer when no server owned here accepts the
  // request, and with kRequestQuarantined when the request is in quarantine.
  Result<Placement> Place(Instant now, const PlaceRequest& request);

  // Records whether the attempt's connection was opened for it.
  void SetFreshConnection(AttemptId attempt, bool fresh);

  // Finishes an attempt and frees its slot, after a grace period when the
  // server may still be working on it.
  FinishResult Finish(Instant now, AttemptId attempt, const Outcome& outcome);

  // Counts a connection that is about to be opened. Returns false when the
  // server has reached its maximum or is not owned here.
  bool OpenConnection(const BackendId& backend);
  void CloseConnection(const BackendId& backend);

  // Returns the probes that are due and occupies their slots and connections.
  std::vector<ProbeRequest> DueProbes(Instant now);

  // Records the result of a probe and frees its slot and connection.
  void FinishProbe(Instant now, const BackendId& backend, ProbeOutcome outcome);

  // Ends expired announcements, grace periods and verdicts. Call it at least
  // once a second.
  std::vector<ServerStateChange> Expire(Instant now);

  // Returns, for each owned key, a report on the time since the last call.
  std::vector<WindowReport> CollectReports(Instant now);

  // Returns whether a report should be sent before it is due, as after a crash.
  bool report_is_urgent() const { return report_is_urgent_; }

  // Applies a coordinator's verdicts. Fails with kNotFound when the key is not
  // owned here, and with kPeerRejected when the set is from an earlier term or
  // does not answer a recent report.
  Result<void> ApplyVerdicts(Instant now, const VerdictSet& verdicts);

  // Returns the status of the owned servers, ordered by id.
  std::vector<ServerStatus> Servers() const;

 private:
  using ServerPtr = std::shared_ptr<BackendServer>;

  struct OwnedKey {
    Term term = 0;
    Instant inherited_slots_until;
    std::optional<Handover> handover;
    std::uint64_t sequence = 0;
    Instant last_report;
    // Times of the latest reports, by sequence number.
    std::map<std::uint64_t, Instant> report_times;
    Term coordinator_term = 0;
    std::uint64_t answered_report = 0;  // By the latest verdicts.
    std::vector<CrashReport> crashes;
  };

  // Age from which a request is overdue while the latency of its service is
  // unknown.
  static constexpr Duration kDefaultOverdueLimit = std::chrono::seconds(5);

  // The owned servers of one service, across all owned zones.
  struct ServiceGroup {
    BackendPolicy policy;
    bool declared = false;
    std::vector<ServerPtr> servers;  // Ordered by id.
    LatencySketch recent_latencies;
    Duration median_latency = Duration::zero();
    Duration overdue_limit = kDefaultOverdueLimit;
    OwnerQuarantine quarantine;
  };

  struct Choice {
    std::size_t index = 0;
    double free_share = 0;
    bool suspect = false;
    bool cold = false;
    bool refused = false;  // Refused recently; not worth exploring.
    bool probe_failed = false;
  };

  // State of the search for a server for one request.
  struct Search {
    std::optional<Choice> best;
    std::size_t eligible = 0;       // Non-suspect servers with a free slot.
    bool accepts_requests = false;  // Whether any server may, now or later.
    bool explore = false;  // Whether to prefer suspect and cold servers.
    std::vector<PlacementCandidate>* candidates = nullptr;
  };

  BackendPool(const BackendPoolSettings& settings, StateChart chart);

  ServerPtr FindServer(const BackendId& backend) const;
  ServiceGroup* FindGroup(const BackendServer& server);
  void AddServer(Instant now, const Announcement& announcement);
  void RemoveServer(const BackendId& backend);
  void InheritSlots(BackendServer& server, const OwnedKey& owned);
  bool ZoneInService(const ZoneId& zone) const;

  Search ChooseServer(Instant now, const ServiceGroup& group,
                      const PlaceRequest& request,
                      std::vector<PlacementCandidate>& candidates);
  void EvaluateCandidate(Instant now, const ServiceGroup& group,
                         const PlaceRequest& request, std::size_t index,
                         Search& search);
  PlacementReason CheckEligibility(const ServiceGroup& group,
                                   const BackendServer& server,
                                   const PlaceRequest& request) const;
  bool IsBetter(const Choice& left, const Choice& right, bool explore);
  bool HasIsolatedLatencyStep(const ServiceGroup& group,
                              const BackendServer& server) const;
  bool ProbeIsDue(Instant now, const ServiceGroup& group,
                  const BackendServer& server) const;
  void CollectCrashReport(Instant now, BackendServer& server);
  WindowReport BuildReport(Instant now, const BackendKey& key, OwnedKey& owned);

  BackendPoolSettings settings_;
  std::shared_ptr<const StateChart> chart_;
  Random random_;
  bool configured_ = false;
  std::map<ZoneId, bool> zones_;
  std::map<BackendKey, OwnedKey> owned_;
  std::map<ServiceId, ServiceGroup> groups_;
  std::unordered_map<BackendId, ServerPtr> servers_;
  AttemptTable attempts_;
  bool report_is_urgent_ = false;
};

}  // namespace sapphirebank
