#pragma once

#include <algorithm>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Times after the termination signal of an entry host.
struct DrainSchedule {
  // New connections are accepted for this time: callers cache addresses for
  // some seconds.
  Duration accept_time{};
  // Callers cannot have noticed the shutdown before this time: requests are
  // accepted if they will probably be answered. Later ones are accepted only if
  // nothing but their own limit ends them.
  Duration notice_time{};
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
  constexpr Duration kMaxNoticeTime = std::chrono::milliseconds(2500);
  const Duration accept_time = grace / kAcceptDivisor;
  return {accept_time, std::min(accept_time, kMaxNoticeTime),
          grace - grace / kAnswerMarginDivisor,
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
// another host. Of the early ones, those that must run once need time for a
// queue and a slow server as well; others may be repeated.
constexpr bool AcceptsWhileDraining(const DrainSchedule& schedule,
                                    Duration since_signal,
                                    const RequestTimes& times,
                                    bool is_idempotent) {
  constexpr int kObjectivesForOneRun = 4;
  const int objectives = is_idempotent ? 1 : kObjectivesForOneRun;
  const bool is_early = since_signal <= schedule.notice_time;
  const Duration needed =
      is_early ? std::min(times.limit, objectives * times.latency_objective)
               : times.limit;
  return since_signal + needed <= schedule.answer_time;
}

}  // namespace sapphirebank
