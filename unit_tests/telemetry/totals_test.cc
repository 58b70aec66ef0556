#include "sapphirebank/telemetry/totals.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "sapphirebank/config/csv.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/telemetry/totals_codec.h"

namespace sapphirebank {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMidnight = 1796342400;  // 2026-12-04T00:00:00Z
constexpr std::int32_t kIndiaUtcOffsetSeconds = 19800;

// Returns the time `seconds` after kMidnight.
WallTime At(std::int64_t seconds) {
  return WallTime(std::chrono::seconds(kMidnight + seconds));
}

CompletedRequest Answered(const char* workspace, Duration latency) {
  return {{WorkspaceId(workspace), ServiceId("desk"), ZoneId("kochi")},
          std::nullopt,
          false,
          10,
          100,
          latency};
}

CompletedRequest Refused(ErrorKind kind, bool inside_rate) {
  CompletedRequest request = Answered("north", 0us);
  request.refusal = kind;
  request.inside_rate = inside_rate;
  return request;
}

// Reports of two hosts with three incarnations in total, over several windows.
std::vector<TotalsReport> SampleReports() {
  std::vector<TotalsReport> reports;
  Random random(1);
  const std::pair<const char*, Incarnation> incarnations[] = {
      {"h1", 1}, {"h1", 2}, {"h2", 1}};
  for (const auto& [host, incarnation] : incarnations) {
    TotalsRecorder recorder(HostId(host), incarnation);
    for (int i = 0; i < 5; ++i) {
      for (int j = 0; j < 20; ++j) {
        const auto latency = Duration(1000 + random.Below(100'000));
        recorder.Record(
            At(i * 1000 + j),
            Answered(random.Chance(0.5) ? "north" : "south", latency));
      }
      const TotalsReport* report = recorder.ReportToSend();
      reports.push_back(*report);
      recorder.Acknowledge(report->sequence);
    }
  }
  return reports;
}

TEST_CASE("a report is sent again unchanged until it is acknowledged",
          "[totals]") {
  TotalsRecorder recorder(HostId("h"), 3);
  CHECK(recorder.ReportToSend() == nullptr);
  recorder.Record(At(0), Answered("north", 1ms));
  const TotalsReport first = *recorder.ReportToSend();
  CHECK(first.sequence == 1);
  recorder.Record(At(1), Answered("north", 1ms));
  CHECK(*recorder.ReportToSend() == first);  // Sent again unchanged.
  recorder.Acknowledge(7);
  CHECK(*recorder.ReportToSend() == first);
  recorder.Acknowledge(1);
  const TotalsReport second = *recorder.ReportToSend();
  CHECK(second.sequence == 2);
  CHECK(second.cells.begin()->second.count.requests == 1);
  recorder.Acknowledge(2);
  CHECK(recorder.ReportToSend() == nullptr);
}

TEST_CASE("each report is counted once, in any order and with duplicates",
          "[totals]") {
  const std::vector<TotalsReport> reports = SampleReports();
  DayTotals in_order;
  for (const TotalsReport& report : reports) CHECK(in_order.Merge(report));
  Random random(2);
  for (int round = 0; round < 50; ++round) {
    std::vector<TotalsReport> shuffled = reports;
    shuffled.insert(shuffled.end(), reports.begin(), reports.end());
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[random.Below(i)]);
    }
    DayTotals totals;
    std::size_t counted = 0;
    for (const TotalsReport& report : shuffled) {
      if (totals.Merge(report)) ++counted;
      // Simulates a restart of the control host between two reports.
      totals = DecodeDayTotals(EncodeDayTotals(totals)).value();
    }
    CHECK(counted == reports.size());
    CHECK(totals == in_order);
  }
  const DayReport day = in_order.ReportForDay("2026-12-04", 0);
  std::uint64_t requests = 0;
  for (const TotalsRow& row : day.rows) requests += row.count.requests;
  CHECK(requests == reports.size() * 20);
}

TEST_CASE("reports of an incarnation that is no longer tracked are rejected",
          "[totals]") {
  DayTotals totals;
  for (Incarnation incarnation = 10; incarnation < 30; ++incarnation) {
    CHECK(totals.Merge({HostId("h"), incarnation, 1, {}}));
  }
  CHECK_FALSE(totals.Merge({HostId("h"), 10, 1, {}}));
  CHECK_FALSE(totals.Merge({HostId("h"), 29, 1, {}}));
}

TEST_CASE("refusals within the rate are counted separately", "[totals]") {
  TotalsRecorder recorder(HostId("h"), 1);
  recorder.Record(At(0), Answered("north", 1ms));
  recorder.Record(At(0), Refused(ErrorKind::kRateExceeded, false));
  recorder.Record(At(0), Refused(ErrorKind::kQueueFull, true));
  recorder.Record(At(0), Refused(ErrorKind::kQueueFull, false));
  DayTotals totals;
  REQUIRE(totals.Merge(*recorder.ReportToSend()));
  const DayReport day = totals.ReportForDay("2026-12-04", 0);
  REQUIRE(day.rows.size() == 1);
  const TrafficCount& count = day.rows[0].count;
  CHECK(count.requests == 4);
  CHECK(count.answers == 1);
  CHECK(count.refusals.at(ErrorKind::kRateExceeded) == RefusalCount{1, 0});
  CHECK(count.refusals.at(ErrorKind::kQueueFull) == RefusalCount{2, 1});
  CHECK(count.request_bytes == 40);
  CHECK(nlohmann::json(day).get<DayReport>() == day);
}

TEST_CASE("a day begins at local midnight of the UTC offset", "[totals]") {
  TotalsRecorder recorder(HostId("h"), 1);
  recorder.Record(At(-kIndiaUtcOffsetSeconds - 1), Answered("a", 1ms));
  recorder.Record(At(-kIndiaUtcOffsetSeconds), Answered("b", 1ms));
  recorder.Record(At(86399 - kIndiaUtcOffsetSeconds), Answered("c", 1ms));
  recorder.Record(At(86400 - kIndiaUtcOffsetSeconds), Answered("d", 1ms));
  DayTotals totals;
  REQUIRE(totals.Merge(*recorder.ReportToSend()));
  const DayReport day =
      totals.ReportForDay("2026-12-04", kIndiaUtcOffsetSeconds);
  REQUIRE(day.rows.size() == 2);
  CHECK(day.rows[0].key.workspace == WorkspaceId("b"));
  CHECK(day.rows[1].key.workspace == WorkspaceId("c"));
  CHECK(totals.ReportForDay("2026-12-40", 0).rows.empty());
  totals.DeleteBefore(TotalsWindowOf(At(86400 - kIndiaUtcOffsetSeconds)));
  CHECK(totals.ReportForDay("2026-12-04", kIndiaUtcOffsetSeconds).rows.empty());
  CHECK(totals.ReportForDay("2026-12-05", kIndiaUtcOffsetSeconds).rows.size() ==
        1);
}

TEST_CASE("worst_p99 is the highest 99th percentile of a single window",
          "[totals]") {
  TotalsRecorder recorder(HostId("h"), 1);
  for (int i = 0; i < 200; ++i) recorder.Record(At(0), Answered("n", 1ms));
  for (int i = 0; i < 10; ++i) recorder.Record(At(900), Answered("n", 80ms));
  for (int i = 0; i < 5000; ++i) recorder.Record(At(1800), Answered("n", 1ms));
  DayTotals totals;
  REQUIRE(totals.Merge(*recorder.ReportToSend()));
  const Duration worst = totals.ReportForDay("2026-12-04", 0).rows[0].worst_p99;
  CHECK(worst >= Duration(80ms));
  CHECK(worst <= Duration(96ms));  // At most 19% above the true value.
}

TEST_CASE("a quantile is overestimated by at most 19%", "[totals]") {
  Random random(4);
  for (int round = 0; round < 200; ++round) {
    const Duration latency(101 + random.Below(1'000'000'000));
    LatencyHistogram histogram;
    histogram.Add(latency);
    const Duration bound = histogram.Quantile(0.99);
    CHECK(bound >= latency);
    CHECK(ToSeconds(bound) <= ToSeconds(latency) * 1.19 + 1e-6);
  }
  CHECK(LatencyHistogram().Quantile(0.5) == Duration::zero());
}

TEST_CASE("all rows of the CSV have as many fields as its header", "[totals]") {
  DayTotals totals;
  for (const TotalsReport& report : SampleReports()) totals.Merge(report);
  const auto table =
      ParseCsv(DayReportCsv(totals.ReportForDay("2026-12-04", 0)), "totals");
  REQUIRE(table);
  REQUIRE(table->size() == 3);
  for (const CsvRecord& record : *table) {
    CHECK(record.size() == table->front().size());
  }
  CHECK(table->at(1)[1] == "north");
  CHECK(std::count(table->front().begin(), table->front().end(),
                   "rate_exceeded_inside_rate") == 1);
}

TEST_CASE(
    "corrupt totals that cannot be decoded give the documented error kind",
    "[totals]") {
  const std::string bytes = EncodeTotalsReport(SampleReports().front());
  CHECK(DecodeTotalsReport(bytes) == SampleReports().front());
  Random random(6);
  for (int round = 0; round < 2000; ++round) {
    std::string corrupt = bytes;
    corrupt[random.Below(corrupt.size())] =
        static_cast<char>(random.Below(256));
    if (random.Chance(0.5)) corrupt.resize(random.Below(corrupt.size()));
    const auto report = DecodeTotalsReport(corrupt);
    if (!report) CHECK(report.error().kind == ErrorKind::kMalformedRequest);
  }
  CHECK_FALSE(DecodeTotalsReport(""));
  CHECK(DecodeDayTotals("x").error().kind == ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace sapphirebank
