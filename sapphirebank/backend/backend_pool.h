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
  // Time for which the slot of a request that timed out stays taken, as the
  // server may still work on it.
  Duration timeout_grace = std::chrono::seconds(5);
  // The same for a request that was cancelled.
  Duration cancel_grace = std::chrono::milliseconds(500);
  // Longest time for which requests of an earlier owner may still run.
  Duration takeover_hold = std::chrono::seconds(12);
  // Largest share of a server's slots that probes may use.
  double probe_share = 0.01;
  // Time for which a probe occupies a slot.
  Duration probe_cost = std::chrono::milliseconds(25);
  // Time without an answer after which a server is probed.
  Duration probe_idle = std::chrono::seconds(5);
};

// What the owner of a key tells the next one.
struct Handover {
  struct Server {
    BackendId backend;
    std::string process_id;
    std::uint32_t taken = 0;  // Slots.
    bool warm = false;

    friend bool operator==(const Server&, const Server&) = default;
  };

  std::vector<Server> servers;

  friend bool operator==(const Handover&, const Handover&) = default;
};

// What became of a finished attempt.
struct FinishResult {
  // False when the attempt had ended before.
  bool known = false;
  BackendId backend;
  ConnectionAdvice connection = ConnectionAdvice::kKeep;
};

// Asks for one probe of a server's health endpoint on a new connection.
struct ProbeRequest {
  BackendId backend;
  BackendAddress address;
};

// A change of a server's state that no call of the caller's decided.
struct ServerStateChange {
  BackendId backend;
  BackendState before = BackendState::kCold;
  BackendState after = BackendState::kCold;
};

// One backend server as it stands, for status and logs.
struct ServerStatus {
  BackendId backend;
  BackendKey key;
  BackendAddress address;
  BackendState state = BackendState::kCold;
  std::uint32_t slots = 0;
  std::uint32_t slot_limit = 0;
  std::uint32_t taken = 0;
  std::uint32_t connections = 0;
  // Whether its last probe failed, so that equals are preferred.
  bool probe_failed = false;
};

// The backend servers that one entry host owns: their announcements, slots,
// connections and probes, and the placement of requests on them.
class BackendPool {
 public:
  // Fails with kInvalidSettings.
  static Result<BackendPool> Create(const BackendPoolSettings& settings);

  // Takes the services and availability zones from `declarations`. A zone that
  // is out of service gets no new requests from here on.
  void SetPolicy(const Declarations& declarations);

  // Begins to own `key` under a lease of `term`. `handover` comes from the
  // last owner; an empty one says that nothing runs. Without one, every slot
  // is taken until the servers' load reports or the time show otherwise.
  void Adopt(Instant now, const BackendKey& key, Term term,
             const std::optional<Handover>& handover);

  // Ends ownership at once. Attempts that run may still be finished.
  Handover Release(const BackendKey& key);

  // Takes an announcement. Fails with kMalformedRequest, with kNotFound when
  // service or zone are not declared, and with kNoConfiguration before the
  // first SetPolicy.
  Result<AnnounceDecision> Announce(Instant now,
                                    const Announcement& announcement);

  // Takes a slot for one try of a request. Fails with kNoBackendServer when no
  // server that is owned here takes work, and with kRequestQuarantined.
  Result<Placement> Place(Instant now, const PlaceRequest& request);

  // Notes whether the try's connection was opened for it.
  void SetFreshConnection(AttemptId attempt, bool fresh);

  // Ends one try and frees its slot, after a grace when the server may still
  // work on it.
  FinishResult Finish(Instant now, AttemptId attempt, const Outcome& outcome);

  // Counts a connection that is about to be opened. Returns false when the
  // server's maximum is reached or it is not owned here.
  bool OpenConnection(const BackendId& backend);
  void CloseConnection(const BackendId& backend);

  // Returns the probes to send now and counts their slots and connections.
  std::vector<ProbeRequest> DueProbes(Instant now);

  // Takes the result of a probe and frees its slot and connection.
  void FinishProbe(Instant now, const BackendId& backend, ProbeOutcome outcome);

  // Ends what has run out: announcements, graces, verdicts. Call it at least
  // each second.
  std::vector<ServerStateChange> Expire(Instant now);

  // Returns a report for each owned key on what happened since the last call.
  std::vector<WindowReport> CollectReports(Instant now);

  // Returns whether a report should go out before its time.
  bool report_is_urgent() const { return report_is_urgent_; }

  // Puts a coordinator's verdicts in force. Fails with kNotFound when the key
  // is not owned here, and with kPeerRejected when the set is from an earlier
  // term or answers no recent report.
  Result<void> ApplyVerdicts(Instant now, const VerdictSet& verdicts);

  // Returns the owned servers in the order of their ids.
  std::vector<ServerStatus> Servers() const;

 private:
  using ServerPtr = std::shared_ptr<BackendServer>;

  struct OwnedKey {
    Term term = 0;
    Instant inherited_slots_until;
    std::optional<Handover> handover;
    std::uint64_t sequence = 0;
    Instant last_report;
    // When each of the latest reports was made, by sequence.
    std::map<std::uint64_t, Instant> report_times;
    Term coordinator_term = 0;
    std::uint64_t answered_sequence =
        0;  // Sequence of the latest verdicts' report.
    std::vector<CrashReport> crashes;
  };

  // Age of a request that ends too late when nothing is known of a service.
  static constexpr Duration kDefaultOverdueLimit = std::chrono::seconds(5);

  // The owned servers of one service, over all owned zones.
  struct ServiceGroup {
    BackendPolicy policy;
    bool declared = false;
    std::vector<ServerPtr> servers;  // In the order of their ids.
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
    bool refused = false;  // A moment ago, so that a trial makes no sense.
    bool probe_failed = false;
  };

  // A search for a server to place one request on.
  struct Search {
    std::optional<Choice> best;
    std::size_t eligible = 0;  // Servers with a free slot, without suspects.
    bool takes_work = false;   // Whether any server might, now or later.
    bool explore = false;  // Whether suspect and cold servers are preferred.
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
