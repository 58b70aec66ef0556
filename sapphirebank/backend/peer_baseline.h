#pragma once

#include <span>
#include <vector>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Events of one backend server in one window.
struct EventCount {
  double bad = 0;
  double total = 0;
};

// The share of bad events over the latest events of a service, for windows with
// too few events to tell.
class HistoricalShare {
 public:
  void Add(EventCount events);

  double share() const { return sum_.total > 0 ? sum_.bad / sum_.total : 0; }

 private:
  EventCount sum_;
};

// Returns the share of bad events over the servers of a service, without the
// worst servers, so that a few bad ones do not pass for usual. Returns 0 when
// there are no events of two servers.
double TrimmedBadShare(std::span<const EventCount> servers);

// Returns the latency above which an answer is slow, given the usual latency
// of each server: a multiple of the median that grows with the spread between
// servers (median absolute deviation of the logarithms; Iglewicz and Hoaglin,
// 1993). Returns zero when fewer than two servers are given.
Duration SlowThreshold(std::vector<Duration> medians);

// Returns the median, or zero of none.
double Median(std::vector<double> values);

}  // namespace sapphirebank
