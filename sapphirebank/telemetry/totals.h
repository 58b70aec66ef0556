#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sapphirebank/core/error_kind.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// A histogram of latencies with exponential bucket bounds that are the same on
// all hosts, so that histograms of several hosts can be merged. Each bound is
// 2^(1/4) times the one before, so a quantile is overestimated by at most 19%.
class LatencyHistogram {
 public:
  // Counts one latency.
  void Add(Duration latency);

  // Adds the counts of `other`.
  void Merge(const LatencyHistogram& other);

  // Returns the upper bound of the bucket that contains the given quantile, a
  // number from 0 to 1, or zero if the histogram is empty.
  Duration Quantile(double quantile) const;

  // Returns the counts by bucket index; empty buckets are omitted.
  const std::map<std::uint32_t, std::uint64_t>& buckets() const {
    return buckets_;
  }

  // Adds `count` to the bucket with index `bucket`. Returns false if there is
  // no such bucket or the count is zero.
  bool AddToBucket(std::uint32_t bucket, std::uint64_t count);

  friend bool operator==(const LatencyHistogram&,
                         const LatencyHistogram&) = default;

 private:
  std::map<std::uint32_t, std::uint64_t> buckets_;
};

// Numbers of refused requests of one error kind.
struct RefusalCount {
  std::uint64_t all = 0;
  std::uint64_t inside_rate = 0;  // Of these, within the workspace's rate.

  friend bool operator==(const RefusalCount&, const RefusalCount&) = default;
};

// Request counts and body bytes of one workspace, service and availability
// zone.
struct TrafficCount {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;
  std::map<ErrorKind, RefusalCount> refusals;
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 0;

  // Adds the counts of `other`.
  void Merge(const TrafficCount& other);

  friend bool operator==(const TrafficCount&, const TrafficCount&) = default;
};

// Identifies a traffic count. The workspace is empty on open routes.
struct TrafficKey {
  WorkspaceId workspace;
  ServiceId service;
  ZoneId zone;

  friend auto operator<=>(const TrafficKey&, const TrafficKey&) = default;
};

// A request that was answered or refused.
struct CompletedRequest {
  TrafficKey key;
  std::optional<ErrorKind> refusal;  // Unset if it was answered.
  bool inside_rate = false;
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 0;
  Duration latency{};
};

// The number of quarter hours since the Unix epoch. Every UTC offset in use is
// a multiple of a quarter hour, so that a local day consists of whole windows.
using TotalsWindow = std::int64_t;
inline constexpr std::int64_t kTotalsWindowSeconds = 900;

// Returns the window that contains `time`.
TotalsWindow TotalsWindowOf(WallTime time);

// The traffic of one key in one window.
struct TrafficCell {
  TrafficCount count;
  LatencyHistogram latency;

  friend bool operator==(const TrafficCell&, const TrafficCell&) = default;
};

using TrafficCells = std::map<std::pair<TotalsWindow, TrafficKey>, TrafficCell>;

// The traffic that one incarnation of a host counted since its previous report.
// The incarnation and the sequence number identify a report, so that one that
// is received several times is counted once.
struct TotalsReport {
  HostId host;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;  // Starts at 1 in each incarnation.
  TrafficCells cells;

  friend bool operator==(const TotalsReport&, const TotalsReport&) = default;
};

// Counts the requests of one entry host and divides the counts into reports. A
// report is kept until it is acknowledged; meanwhile all further requests are
// added to the next one, so that memory use during a long outage of the control
// hosts is bounded by the numbers of keys and windows. Counts that were not
// reported are lost when the host fails.
class TotalsRecorder {
 public:
  TotalsRecorder(HostId host, Incarnation incarnation);

  // Counts a request that ended at `now`.
  void Record(WallTime now, const CompletedRequest& request);

  // Returns the report to send now: the previous one if it has not been
  // acknowledged, otherwise a new one, or null if there is nothing to report.
  const TotalsReport* ReportToSend();

  // Discards the report with this sequence number, which the control hosts have
  // stored durably. Other sequence numbers are ignored.
  void Acknowledge(std::uint64_t sequence);

 private:
  TotalsReport current_;  // Collects the requests of the next report.
  std::optional<TotalsReport> pending_;  // Not acknowledged yet.
};

// The totals of one key for one day.
struct TotalsRow {
  TrafficKey key;
  TrafficCount count;
  // Highest 99th percentile of latency over the windows of the day.
  Duration worst_p99{};

  friend bool operator==(const TotalsRow&, const TotalsRow&) = default;
};

// The totals of one day, sorted by key.
struct DayReport {
  std::string day;  // "YYYY-MM-DD"
  std::int32_t utc_offset_seconds = 0;
  std::vector<TotalsRow> rows;

  friend bool operator==(const DayReport&, const DayReport&) = default;
};

// Aggregates the reports of all hosts. Reports may arrive in any order, and
// duplicates are ignored.
class DayTotals {
 public:
  // Adds a report. Returns false if it was counted before, or if its
  // incarnation is too old to be tracked.
  bool Merge(const TotalsReport& report);

  // Returns the totals of the local day `day` ("YYYY-MM-DD") at the given UTC
  // offset, which must be a multiple of kTotalsWindowSeconds. The report has no
  // rows if there was no traffic or `day` is not a valid date.
  DayReport ReportForDay(const std::string& day,
                         std::int32_t utc_offset_seconds) const;

  // Deletes all windows before `window`. Their reports remain recorded as
  // received, so that duplicates are still detected.
  void DeleteBefore(TotalsWindow window);

  friend bool operator==(const DayTotals&, const DayTotals&) = default;

 private:
  friend struct DayTotalsCodec;

  // The sequence numbers received from one incarnation: all up to `through`,
  // and those in `later`.
  struct ReceivedSequences {
    std::uint64_t through = 0;
    std::set<std::uint64_t> later;

    // Adds a sequence number. Returns false if it was received before.
    bool Insert(std::uint64_t sequence);

    friend bool operator==(const ReceivedSequences&,
                           const ReceivedSequences&) = default;
  };

  std::map<HostId, std::map<Incarnation, ReceivedSequences>> received_;
  TrafficCells cells_;
};

}  // namespace sapphirebank
