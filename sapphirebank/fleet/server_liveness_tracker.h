#pragma once

#include <map>
#include <optional>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/assignment_outcome.h"

namespace sapphirebank {

struct ServerLivenessSettings {
  // A server that breaks requests off does so on arrival, and the host reports
  // it within this time. Where failures show this way, a pending assignment
  // that is older confirms the server.
  Duration confirmation_delay = std::chrono::milliseconds(60);
  // Older confirmations carry no information: servers fail in episodes of about
  // a second. An overdue assignment counts for this time for the same reason.
  Duration max_age = std::chrono::seconds(1);
  // Idle servers are forgotten after this time.
  Duration retention = std::chrono::seconds(10);
  // Successes required after a failure. A server that fails half of its
  // requests passes a single one every other time.
  int successes_after_failure = 2;
  // Silence confirms servers while at least this many failures are prompt for
  // each silent one.
  double prompt_failures_per_silent = 4;
  // Half-life of the failure counts behind that.
  Duration failure_half_life = std::chrono::seconds(10);
};

// A request that was assigned to a server and has not ended.
struct PendingAssignment {
  Instant assigned_at;
  // Time from which a healthy server would almost surely have answered.
  Instant overdue_at;

  friend bool operator==(const PendingAssignment&,
                         const PendingAssignment&) = default;
};

// Tracks the requests in flight at each backend server and when the server was
// last confirmed to work. A request that must run once is lost at a server with
// an undetected failure, which is more likely the older the last confirmation
// is.
//
// Failing servers break requests off, or hang and never answer. Hanging is seen
// only by what is overdue (a failure detector in the sense of Chandra and
// Toueg, 1996, with adaptive timeouts), so which of the two occurs is learned
// from recent failures: where servers hang, silence does not confirm them.
class ServerLivenessTracker {
 public:
  explicit ServerLivenessTracker(ServerLivenessSettings settings)
      : settings_(settings) {}

  // State of one server at a point in time.
  struct Status {
    int in_flight = 0;
    // An assignment is overdue and none that followed it was served.
    bool is_overdue = false;
    // Age of the last confirmation, at most settings.max_age.
    Duration confirmation_age{};
    // Time since the last assignment, at most settings.retention.
    Duration idle_time{};
  };
  Status StatusOf(Instant now, const BackendId& server) const;

  // Adds a server that is in use from now on, unless it is tracked already.
  void Track(Instant now, const BackendId& server);

  // Records that a request was assigned to the server.
  void RecordAssignment(const BackendId& server,
                        const PendingAssignment& assignment);

  // Records the end of an assignment.
  void RecordEnd(Instant now, const BackendId& server,
                 const PendingAssignment& assignment,
                 AssignmentOutcome outcome);

  // Removes an assignment whose outcome will not be known.
  void Discard(const BackendId& server, const PendingAssignment& assignment);

  // Records a failure that no assignment shows, which discards the server's
  // confirmation.
  void RecordFailure(Instant now, const BackendId& server);

  // Removes idle servers.
  void Tick(Instant now);

 private:
  struct Server {
    std::vector<PendingAssignment> pending;  // In the order of assignment.
    // Assignment time of the latest request that the server served.
    std::optional<Instant> served_at;
    // Assignments up to here are discarded as confirmations.
    std::optional<Instant> failed_at;
    // Time of the last assignment, or since when the server is tracked.
    Instant assigned_at;
    int required_successes = 0;
  };

  void RecordServed(Server& server, Instant assigned_at) const;
  // `since` is the assignment time of the failed request.
  void RecordFailureSince(Server& server, Instant now, Instant since) const;
  void CountFailure(Instant now, bool is_silent);
  bool SilenceConfirms() const;

  ServerLivenessSettings settings_;
  std::map<BackendId, Server> servers_;
  // Decayed counts of failures on arrival and of requests that hung.
  double prompt_failures_ = 0;
  double silent_failures_ = 0;
  Instant failures_decayed_at_;
};

}  // namespace sapphirebank
