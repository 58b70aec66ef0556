#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "sapphirebank/core/decayed_count.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/dispatch_query.h"

namespace sapphirebank {

struct RefusalMemorySettings {
  // Time for which the hub's last refusal for lack of room is believed. The
  // room of a service changes within the time of a few requests.
  Duration max_age = std::chrono::milliseconds(1000);
  // A request that comes this much before its time counts as punctual.
  Duration early_tolerance = std::chrono::milliseconds(20);
  // Maximum number of requests whose return time is remembered.
  std::size_t request_limit = 1024;
};

// What an entry host remembers of the refusals of its hub for lack of room. By
// that it refuses callers that come back before they were told to without
// asking the hub, and decides for a limited time while the hub does not answer.
// Without such a refusal it refuses nothing.
class RefusalMemory {
 public:
  explicit RefusalMemory(RefusalMemorySettings settings)
      : settings_(settings) {}

  // Records that the hub refused a request that no server was offered.
  void RecordRefusal(Instant now, const DispatchQuery& query,
                     const DispatchRefusal& refusal);

  // Records that the hub assigned a server to a request; `has_room` tells that
  // the server has a free slot.
  void RecordAdmission(Instant now, const DispatchQuery& query, bool has_room);

  // Returns the refusal of a request that has come back too early while room is
  // short.
  std::optional<DispatchRefusal> RefuseEarly(Instant now,
                                             const DispatchQuery& query) const;

  // Returns the refusal of a request while the hub does not answer. Of the
  // requests that are no more urgent than one that the hub has just refused,
  // the share is refused that the hub refused last, and less the longer ago
  // that was. `draw` is a random number in [0, 1).
  std::optional<DispatchRefusal> RefuseWithoutHub(Instant now,
                                                  const DispatchQuery& query,
                                                  double draw) const;

  // Returns the number of requests whose return time is remembered.
  std::size_t size() const { return return_at_.size(); }

 private:
  // The most urgent request that was refused since there was room, and what
  // the hub decided on those that are no more urgent.
  struct Shortage {
    RequestRank rank;
    Instant refused_at;
    DispatchRefusal refusal;
    DecayedCount refused;
    DecayedCount admitted;
  };

  const Shortage* FindShortage(Instant now, const DispatchQuery& query) const;
  void Forget(Instant now);

  RefusalMemorySettings settings_;
  std::map<ServiceId, Shortage> shortages_;
  std::unordered_map<RequestFingerprint, Instant> return_at_;
  // In the order in which they were recorded, with the time of return.
  std::deque<std::pair<RequestFingerprint, Instant>> order_;
};

}  // namespace sapphirebank
