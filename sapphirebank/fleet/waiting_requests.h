#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/dispatch_query.h"

namespace sapphirebank {

struct WaitingRequestsSettings {
  // Maximum number of requests that are remembered.
  std::size_t limit = 2048;
  // A request that comes this much before its time counts as punctual: timers
  // and messages of a site are less precise than that.
  Duration early_tolerance = std::chrono::milliseconds(20);
  // A request that has not come this long after its time is forgotten.
  Duration late_tolerance = std::chrono::milliseconds(1000);
};

// Requests that were told to return later, by their caller or by the entry host
// that holds them: a queue whose members keep their own place. Bounded; the
// least urgent is forgotten first.
class WaitingRequests {
 public:
  struct Entry {
    RequestRank rank;
    Instant first_seen;
    Instant return_at;
  };

  explicit WaitingRequests(WaitingRequestsSettings settings)
      : settings_(settings) {}

  // Remembers that a request is to return at `return_at`. Keeps the time at
  // which it was first seen. Ignores requests without a fingerprint.
  void Add(Instant now, RequestFingerprint request, const RequestRank& rank,
           Instant return_at);

  // Forgets a request.
  void Remove(RequestFingerprint request);

  // Returns a remembered request, or null.
  const Entry* Find(Instant now, RequestFingerprint request) const;

  // Returns how much too early the request has come; nothing when it was not
  // told to wait or comes when told.
  std::optional<Duration> EarlyBy(Instant now,
                                  RequestFingerprint request) const;

  // Returns the number of remembered requests that are more urgent than
  // `rank`, and of those that are at least as urgent.
  std::size_t CountMoreUrgent(const RequestRank& rank) const;
  std::size_t CountAsUrgent(const RequestRank& rank) const;

  // Forgets requests that have not returned.
  void Tick(Instant now);

  std::size_t size() const { return entries_.size(); }

 private:
  bool IsOver(Instant now, const Entry& entry) const {
    return now > entry.return_at + settings_.late_tolerance;
  }

  WaitingRequestsSettings settings_;
  std::map<RequestFingerprint, Entry> entries_;
  std::set<std::pair<RequestRank, RequestFingerprint>> by_rank_;
  std::map<RequestRank, std::size_t> counts_;
};

}  // namespace sapphirebank
