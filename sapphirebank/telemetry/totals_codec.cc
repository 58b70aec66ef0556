#include "sapphirebank/telemetry/totals_codec.h"

#include <fmt/format.h>

#include <cstdint>
#include <stdexcept>
#include <utility>
#include <vector>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

// Error kinds from this one on concern operators only; a caller's request never
// ends with one of them.
constexpr ErrorKind kFirstOperatorErrorKind = ErrorKind::kOperatorUnknown;
constexpr double kMicrosecondsPerMillisecond = 1000;

Json KeyToJson(const TrafficKey& key) {
  return Json::array(
      {key.workspace.value(), key.service.value(), key.zone.value()});
}

TrafficKey KeyFromJson(const Json& json) {
  return {WorkspaceId(json.at(0).get<std::string>()),
          ServiceId(json.at(1).get<std::string>()),
          ZoneId(json.at(2).get<std::string>())};
}

Json CountToJson(const TrafficCount& count) {
  Json refusals = Json::object();
  for (const auto& [kind, refusal] : count.refusals) {
    refusals[std::string(AnswerFor(kind).name)] = {
        {"all", refusal.all}, {"inside_rate", refusal.inside_rate}};
  }
  return {{"requests", count.requests},
          {"answers", count.answers},
          {"refusals", std::move(refusals)},
          {"request_bytes", count.request_bytes},
          {"answer_bytes", count.answer_bytes}};
}

TrafficCount CountFromJson(const Json& json) {
  TrafficCount count;
  count.requests = ReadCount(json.at("requests"));
  count.answers = ReadCount(json.at("answers"));
  count.request_bytes = ReadCount(json.at("request_bytes"));
  count.answer_bytes = ReadCount(json.at("answer_bytes"));
  for (const auto& [name, refusal] : json.at("refusals").items()) {
    const auto kind = ErrorKindFromName(name);
    if (!kind) throw std::out_of_range("unknown error kind: " + name);
    count.refusals[*kind] = {ReadCount(refusal.at("all")),
                             ReadCount(refusal.at("inside_rate"))};
  }
  return count;
}

Json LatencyToJson(const LatencyHistogram& latency) {
  Json buckets = Json::array();
  for (const auto& [bucket, count] : latency.buckets()) {
    buckets.push_back(Json::array({bucket, count}));
  }
  return buckets;
}

LatencyHistogram LatencyFromJson(const Json& json) {
  LatencyHistogram latency;
  for (const Json& pair : json) {
    const std::uint64_t bucket = ReadCount(pair.at(0));
    if (bucket > UINT32_MAX ||
        !latency.AddToBucket(static_cast<std::uint32_t>(bucket),
                             ReadCount(pair.at(1)))) {
      throw std::out_of_range(fmt::format(
          "latency bucket {} does not exist or its count is 0", bucket));
    }
  }
  return latency;
}

Json CellsToJson(const TrafficCells& cells) {
  Json json = Json::array();
  for (const auto& [window_and_key, cell] : cells) {
    json.push_back({{"window", window_and_key.first},
                    {"key", KeyToJson(window_and_key.second)},
                    {"count", CountToJson(cell.count)},
                    {"latency", LatencyToJson(cell.latency)}});
  }
  return json;
}

TrafficCells CellsFromJson(const Json& json) {
  TrafficCells cells;
  for (const Json& item : json) {
    const auto window = item.at("window").get<TotalsWindow>();
    TrafficCell cell{CountFromJson(item.at("count")),
                     LatencyFromJson(item.at("latency"))};
    const auto [position, added] = cells.emplace(
        std::pair(window, KeyFromJson(item.at("key"))), std::move(cell));
    if (!added) throw std::out_of_range("duplicate window and key");
  }
  return cells;
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

// Calls `read` with the JSON value that `bytes` encodes. Converts exceptions of
// either step to an Error of `kind`.
template <typename T, typename Read>
Result<T> FromCbor(std::string_view bytes, ErrorKind kind, Read read) {
  try {
    return read(Json::from_cbor(bytes));
  } catch (const Json::exception& e) {
    return Fail(kind, fmt::format("malformed totals: {}", e.what()));
  } catch (const std::out_of_range& e) {
    return Fail(kind, fmt::format("malformed totals: {}", e.what()));
  }
}

std::vector<ErrorKind> CallerErrorKinds() {
  std::vector<ErrorKind> kinds;
  for (const ErrorAnswer& answer : ErrorTable()) {
    if (answer.kind < kFirstOperatorErrorKind) kinds.push_back(answer.kind);
  }
  kinds.push_back(ErrorKind::kInternal);
  return kinds;
}

RefusalCount RefusalsOfKind(const TotalsRow& row, ErrorKind kind) {
  const auto found = row.count.refusals.find(kind);
  return found == row.count.refusals.end() ? RefusalCount{} : found->second;
}

RefusalCount SumOfRefusals(const TotalsRow& row) {
  RefusalCount sum;
  for (const auto& [kind, count] : row.count.refusals) {
    sum.all += count.all;
    sum.inside_rate += count.inside_rate;
  }
  return sum;
}

}  // namespace

// Converts the private state of DayTotals to and from its stored form.
struct DayTotalsCodec {
  static Json ToJson(const DayTotals& totals) {
    Json received = Json::array();
    for (const auto& [host, incarnations] : totals.received_) {
      for (const auto& [incarnation, sequences] : incarnations) {
        received.push_back({{"host", host.value()},
                            {"incarnation", incarnation},
                            {"through", sequences.through},
                            {"later", sequences.later}});
      }
    }
    return {{"lives", std::move(received)},
            {"cells", CellsToJson(totals.cells_)}};
  }

  static DayTotals FromJson(const Json& json) {
    DayTotals totals;
    for (const Json& item : json.at("lives")) {
      const HostId host(item.at("host").get<std::string>());
      const Incarnation incarnation = ReadCount(item.at("incarnation"));
      DayTotals::ReceivedSequences& sequences =
          totals.received_[host][incarnation];
      sequences.through = ReadCount(item.at("through"));
      item.at("later").get_to(sequences.later);
    }
    totals.cells_ = CellsFromJson(json.at("cells"));
    return totals;
  }
};

void to_json(Json& json, const TotalsReport& report) {
  json = {{"host", report.host.value()},
          {"incarnation", report.incarnation},
          {"sequence", report.sequence},
          {"cells", CellsToJson(report.cells)}};
}

void from_json(const Json& json, TotalsReport& report) {
  report.host = HostId(json.at("host").get<std::string>());
  report.incarnation = ReadCount(json.at("incarnation"));
  report.sequence = ReadCount(json.at("sequence"));
  report.cells = CellsFromJson(json.at("cells"));
}

void to_json(Json& json, const DayReport& report) {
  Json rows = Json::array();
  for (const TotalsRow& row : report.rows) {
    Json item = CountToJson(row.count);
    item["workspace"] = row.key.workspace.value();
    item["service"] = row.key.service.value();
    item["zone"] = row.key.zone.value();
    item["worst_p99_us"] = row.worst_p99.count();
    rows.push_back(std::move(item));
  }
  json = {{"day", report.day},
          {"utc_offset_seconds", report.utc_offset_seconds},
          {"rows", std::move(rows)}};
}

void from_json(const Json& json, DayReport& report) {
  json.at("day").get_to(report.day);
  json.at("utc_offset_seconds").get_to(report.utc_offset_seconds);
  report.rows.clear();
  for (const Json& item : json.at("rows")) {
    TotalsRow row;
    row.key = {WorkspaceId(item.at("workspace").get<std::string>()),
               ServiceId(item.at("service").get<std::string>()),
               ZoneId(item.at("zone").get<std::string>())};
    row.count = CountFromJson(item);
    row.worst_p99 = Duration(item.at("worst_p99_us").get<Duration::rep>());
    report.rows.push_back(std::move(row));
  }
}

std::string EncodeTotalsReport(const TotalsReport& report) {
  return ToCbor(report);
}

Result<TotalsReport> DecodeTotalsReport(std::string_view bytes) {
  return FromCbor<TotalsReport>(
      bytes, ErrorKind::kMalformedRequest,
      [](const Json& json) { return json.get<TotalsReport>(); });
}

std::string EncodeDayTotals(const DayTotals& totals) {
  return ToCbor(DayTotalsCodec::ToJson(totals));
}

Result<DayTotals> DecodeDayTotals(std::string_view bytes) {
  return FromCbor<DayTotals>(bytes, ErrorKind::kStorageFailed,
                             DayTotalsCodec::FromJson);
}

std::string DayReportCsv(const DayReport& report) {
  const std::vector<ErrorKind> kinds = CallerErrorKinds();
  std::string csv =
      "day,workspace,service,zone,requests,answers,refusals,"
      "refusals_inside_rate,request_bytes,answer_bytes,worst_p99_ms";
  for (const ErrorKind kind : kinds) {
    const std::string_view name = AnswerFor(kind).name;
    csv += fmt::format(",{},{}_inside_rate", name, name);
  }
  csv += "\r\n";
  for (const TotalsRow& row : report.rows) {
    const RefusalCount sum = SumOfRefusals(row);
    csv += fmt::format("{},{},{},{},{},{},{},{},{},{},{:.3f}", report.day,
                       row.key.workspace.value(), row.key.service.value(),
                       row.key.zone.value(), row.count.requests,
                       row.count.answers, sum.all, sum.inside_rate,
                       row.count.request_bytes, row.count.answer_bytes,
                       static_cast<double>(row.worst_p99.count()) /
                           kMicrosecondsPerMillisecond);
    for (const ErrorKind kind : kinds) {
      const RefusalCount count = RefusalsOfKind(row, kind);
      csv += fmt::format(",{},{}", count.all, count.inside_rate);
    }
    csv += "\r\n";
  }
  return csv;
}

}  // namespace sapphirebank
