#pragma once

#include <span>
#include <vector>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Counts of events of one backend server in one window.
struct EventCount {
  double bad = 0;
  double total = 0;
};

// Share of bad events among the latest events of a service, for windows with
// too few events for an estimate.
class HistoricalShare {
 public:
  void Add(EventCount events);

  double share() const { return sum_.total > 0 ? sum_.bad / sum_.total : 0; }

 private:
  EventCount sum_;
};

// Returns the share of bad events of a service's servers, leaving out the worst
// servers (trimmed mean), so that a few bad ones do not raise the baseline.
// Returns 0 unless at least two servers have events.
double TrimmedBadShare(std::span<const EventCount> servers);

// Returns the latency above which an answer is slow, given the median latency
// of each server: a multiple of their median that grows with the spread between
// servers (median absolute deviation of the logarithms; Iglewicz and Hoaglin,
// 1993). Ignores servers with a median of zero; returns zero when fewer than
// two remain.
Duration SlowThreshold(std::vector<Duration> medians);

// Returns the median of `values`, or zero if there are none.
double Median(std::vector<double> values);

}  // namespace sapphirebank
