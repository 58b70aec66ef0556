#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/assignment_outcome.h"
#include "sapphirebank/fleet/work_estimator.h"

namespace sapphirebank {

struct ServerWorkSettings {
  // Answers' worth of the assumption that a server has the usual speed.
  double prior_answers = 2;
  // Part of earlier answers that counts beside a new one.
  double retained_per_answer = 0.8;
  // Half-life of what is known of a server's speed, after which it is used
  // again as before.
  Duration slowness_half_life = std::chrono::seconds(3);
  // Bounds of the slowness that a single request may show.
  double max_slowness = 16;
  // From this slowness on, the work of an answer is corrected for it.
  double corrected_slowness = 2;
  // Half-life of what is known of rejections: servers shed load in spells of a
  // few seconds.
  Duration rejection_half_life = std::chrono::seconds(1);
  // Servers without a request for this time are forgotten.
  Duration retention = std::chrono::seconds(30);
};

// Tracks what each backend server still has to do: the expected work of the
// requests that were sent to it, less what it has done at its own speed. A slot
// is taken to serve requests in the order in which they were sent.
//
// The speed of a server is learned as its slowness: the ratio of the times that
// its answers take to those expected of a server of usual speed, shrunk to 1. A
// request that is unanswered beyond its expected time adds the excess at once,
// as in the censored maximum likelihood estimate of a rate (Epstein and Sobel,
// "Life Testing", 1953).
class ServerWorkTracker {
 public:
  explicit ServerWorkTracker(ServerWorkSettings settings)
      : settings_(settings) {}

  // State of one server at a point in time.
  struct Status {
    // Time until the server begins a request that is sent now, 0 with a free
    // slot.
    double wait_seconds = 0;
    // Time until all slots are free.
    double left_seconds = 0;
    // Ratio of the time that requests take here to the usual one.
    double slowness = 1;
    // Part of the requests that the server rejects, 0 to 1.
    double rejected = 0;

    // Returns the time until a request of the given work would end.
    double CompletionSeconds(const WorkEstimate& work) const {
      return wait_seconds + slowness * work.mean_seconds;
    }
  };
  Status StatusOf(Instant now, const BackendId& server,
                  std::uint32_t slots) const;

  // Records that a request was sent to a server and returns its number.
  std::uint64_t RecordAssignment(Instant now, const BackendId& server,
                                 std::uint32_t slots, const WorkEstimate& work);

  // Records the end of a request. Returns the work that it was, for a server of
  // usual speed, if the server has served it.
  std::optional<Duration> RecordEnd(Instant now, const BackendId& server,
                                    std::uint64_t number,
                                    AssignmentOutcome outcome);

  // Removes a request whose outcome will not be known. What waits for its slot
  // begins with the next event of the server.
  void Discard(const BackendId& server, std::uint64_t number);

  // Removes idle servers.
  void Tick(Instant now);

 private:
  struct Pending {
    std::uint64_t number = 0;
    WorkEstimate work;
    // Nothing while all slots are taken by requests that were sent earlier.
    std::optional<Instant> began_at;
  };
  struct Server {
    std::vector<Pending> pending;  // In the order of assignment.
    std::uint32_t slots = 1;
    // Decayed sums over answers, weighted by the confidence of what was
    // expected: ratios of the time taken to the expected one, and the weights.
    double ratios = 0;
    double weights = 0;
    Instant speed_decayed_at;
    // Decayed counts.
    double answers = 0;
    double rejections = 0;
    Instant rejections_decayed_at;
    Instant last_assigned_at;
  };

  double SlownessOf(Instant now, const Server& server) const;
  static void BeginNext(Instant now, Server& server);
  void AddRatio(Instant now, Server& server, double ratio, double weight) const;
  void CountAnswer(Instant now, Server& server, bool is_rejection) const;
  static std::optional<Pending> Remove(Server& server, std::uint64_t number);

  ServerWorkSettings settings_;
  std::map<BackendId, Server> servers_;
  std::uint64_t next_number_ = 1;
};

}  // namespace sapphirebank
