#pragma once

#include <algorithm>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Times after the termination signal of an entry host.
struct DrainSchedule {
  // New connections are accepted for this time: callers cache addresses for
  // some seconds.
  Duration accept_time{};
  // Requests that run for longer are answered as having an unknown outcome.
  Duration answer_time{};
  // The process ends after this time even if answers are being written.
  Duration end_time{};
};

// Returns the schedule for a host that is killed after `grace`.
constexpr DrainSchedule MakeDrainSchedule(Duration grace) {
  constexpr int kAcceptDivisor = 2;
  constexpr int kAnswerMarginDivisor = 8;
  constexpr int kEndMarginDivisor = 12;
  return {grace / kAcceptDivisor, grace - grace / kAnswerMarginDivisor,
          grace - grace / kEndMarginDivisor};
}

// How long a request may take.
struct RequestTimes {
  Duration latency_objective{};
  // The time after which it ends without a server's answer.
  Duration limit{};
};

// Returns whether a draining host accepts a request, `since_signal` after the
// termination signal. A refused request has not run and is served at once by
// another host, so one that must run once needs time for a queue and a slow
// server as well. Other requests may be repeated.
constexpr bool AcceptsWhileDraining(const DrainSchedule& schedule,
                                    Duration since_signal,
                                    const RequestTimes& times,
                                    bool is_idempotent) {
  constexpr int kObjectivesForOneRun = 4;
  const int objectives = is_idempotent ? 1 : kObjectivesForOneRun;
  const Duration needed =
      std::min(times.limit, objectives * times.latency_objective);
  return since_signal + needed <= schedule.answer_time;
}

}  // namespace sapphirebank
