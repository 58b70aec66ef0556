#include "sapphirebank/telemetry/totals.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

#include "sapphirebank/config/calendar_time.h"

namespace sapphirebank {
namespace {

constexpr double kFirstBoundMicroseconds = 100;
constexpr double kBucketsPerDoubling = 4;
// The last bucket contains all latencies above about an hour.
constexpr std::uint32_t kBucketCount = 102;
constexpr double kWorstQuantile = 0.99;
constexpr std::int64_t kWindowsPerDay = 86400 / kTotalsWindowSeconds;
// Number of incarnations of a host whose received reports are tracked. Reports
// of older incarnations arrive too late to be of use and are rejected.
constexpr std::size_t kTrackedIncarnations = 8;

std::uint32_t BucketFor(Duration latency) {
  const auto microseconds = static_cast<double>(latency.count());
  if (microseconds <= kFirstBoundMicroseconds) return 0;
  const double bucket = std::ceil(
      kBucketsPerDoubling * std::log2(microseconds / kFirstBoundMicroseconds));
  return std::min(static_cast<std::uint32_t>(bucket), kBucketCount - 1);
}

Duration UpperBound(std::uint32_t bucket) {
  const double microseconds =
      kFirstBoundMicroseconds * std::exp2(bucket / kBucketsPerDoubling);
  return Duration(static_cast<Duration::rep>(std::llround(microseconds)));
}

void MergeCells(TrafficCells& into, const TrafficCells& from) {
  for (const auto& [window_and_key, cell] : from) {
    TrafficCell& target = into[window_and_key];
    target.count.Merge(cell.count);
    target.latency.Merge(cell.latency);
  }
}

}  // namespace

void LatencyHistogram::Add(Duration latency) { ++buckets_[BucketFor(latency)]; }

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  for (const auto& [bucket, count] : other.buckets_) buckets_[bucket] += count;
}

bool LatencyHistogram::AddToBucket(std::uint32_t bucket, std::uint64_t count) {
  if (bucket >= kBucketCount || count == 0) return false;
  buckets_[bucket] += count;
  return true;
}

Duration LatencyHistogram::Quantile(double quantile) const {
  assert(quantile >= 0 && quantile <= 1);
  std::uint64_t total = 0;
  for (const auto& [bucket, count] : buckets_) total += count;
  if (total == 0) return Duration::zero();
  const auto rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(
             std::ceil(quantile * static_cast<double>(total))));
  std::uint64_t below = 0;
  for (const auto& [bucket, count] : buckets_) {
    below += count;
    if (below >= rank) return UpperBound(bucket);
  }
  return UpperBound(buckets_.rbegin()->first);
}

void TrafficCount::Merge(const TrafficCount& other) {
  requests += other.requests;
  answers += other.answers;
  request_bytes += other.request_bytes;
  answer_bytes += other.answer_bytes;
  for (const auto& [kind, count] : other.refusals) {
    RefusalCount& target = refusals[kind];
    target.all += count.all;
    target.inside_rate += count.inside_rate;
  }
}

TotalsWindow TotalsWindowOf(WallTime time) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(time.time_since_epoch());
  return seconds.count() / kTotalsWindowSeconds;
}

TotalsRecorder::TotalsRecorder(HostId host, Incarnation incarnation) {
  current_.host = std::move(host);
  current_.incarnation = incarnation;
  current_.sequence = 1;
}

void TotalsRecorder::Record(WallTime now, const CompletedRequest& request) {
  TrafficCell& cell = current_.cells[{TotalsWindowOf(now), request.key}];
  ++cell.count.requests;
  cell.count.request_bytes += request.request_bytes;
  cell.count.answer_bytes += request.answer_bytes;
  if (!request.refusal) {
    ++cell.count.answers;
    cell.latency.Add(request.latency);
    return;
  }
  RefusalCount& refusal = cell.count.refusals[*request.refusal];
  ++refusal.all;
  if (request.inside_rate) ++refusal.inside_rate;
}

const TotalsReport* TotalsRecorder::ReportToSend() {
  if (pending_) return &*pending_;
  if (current_.cells.empty()) return nullptr;
  const std::uint64_t next = current_.sequence + 1;
  pending_ = std::move(current_);
  current_ = TotalsReport{pending_->host, pending_->incarnation, next, {}};
  return &*pending_;
}

void TotalsRecorder::Acknowledge(std::uint64_t sequence) {
  if (pending_ && pending_->sequence == sequence) pending_.reset();
}

bool DayTotals::Merge(const TotalsReport& report) {
  auto& incarnations = received_[report.host];
  const bool known = incarnations.contains(report.incarnation);
  if (!known && incarnations.size() >= kTrackedIncarnations) {
    if (report.incarnation < incarnations.begin()->first) return false;
    incarnations.erase(incarnations.begin());
  }
  if (!incarnations[report.incarnation].Insert(report.sequence)) return false;
  MergeCells(cells_, report.cells);
  return true;
}

bool DayTotals::ReceivedSequences::Insert(std::uint64_t sequence) {
  if (sequence <= through || !later.insert(sequence).second) return false;
  while (later.contains(through + 1)) later.erase(++through);
  return true;
}

DayReport DayTotals::ReportForDay(const std::string& day,
                                  std::int32_t utc_offset_seconds) const {
  assert(utc_offset_seconds % kTotalsWindowSeconds == 0);
  DayReport report{day, utc_offset_seconds, {}};
  const auto midnight = ParseCalendarTime(day + "T00:00Z");
  if (!midnight) return report;
  const TotalsWindow first =
      (*midnight - utc_offset_seconds) / kTotalsWindowSeconds;
  std::map<TrafficKey, TotalsRow> rows;
  const auto begin = cells_.lower_bound({first, TrafficKey{}});
  const auto end = cells_.lower_bound({first + kWindowsPerDay, TrafficKey{}});
  for (auto cell = begin; cell != end; ++cell) {
    const TrafficKey& key = cell->first.second;
    TotalsRow& row = rows[key];
    row.key = key;
    row.count.Merge(cell->second.count);
    row.worst_p99 =
        std::max(row.worst_p99, cell->second.latency.Quantile(kWorstQuantile));
  }
  report.rows.reserve(rows.size());
  for (auto& [key, row] : rows) report.rows.push_back(std::move(row));
  return report;
}

void DayTotals::DeleteBefore(TotalsWindow window) {
  cells_.erase(cells_.begin(), cells_.lower_bound({window, TrafficKey{}}));
}

}  // namespace sapphirebank
