#include "sapphirebank/operators/report_commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "sapphirebank/operators/text_table.h"
#include "sapphirebank/telemetry/totals_codec.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

constexpr double kMicrosecondsPerMillisecond = 1000;

// The leading fields of a log line and the request id, which `explain` does not
// list among the other fields.
constexpr auto kLeadingFields = std::to_array<std::string_view>(
    {"time", "level", "host", "event", "request_id"});

std::string HostsTable(const FleetStatus& status) {
  std::vector<TextRow> rows;
  for (const HostStatus& host : status.hosts) {
    const bool in_force = host.revision == status.revision;
    rows.push_back({host.host.value(), host.role, host.zone.value(), host.state,
                    std::to_string(host.revision), in_force ? "yes" : "no"});
  }
  return FormatTable({"HOST", "ROLE", "ZONE", "STATE", "REVISION", "IN FORCE"},
                     rows);
}

std::string LeasesTable(const FleetStatus& status) {
  std::vector<TextRow> rows;
  rows.reserve(status.leases.size());
  for (const LeaseStatus& lease : status.leases) {
    rows.push_back(
        {lease.key, lease.owner.value(), std::to_string(lease.term)});
  }
  return FormatTable({"LEASE", "OWNER", "TERM"}, rows);
}

std::string FormatMilliseconds(Duration duration) {
  return fmt::format("{:.1f}", static_cast<double>(duration.count()) /
                                   kMicrosecondsPerMillisecond);
}

std::string TotalsTable(const DayReport& report) {
  std::vector<TextRow> rows;
  for (const TotalsRow& row : report.rows) {
    RefusalCount sum;
    for (const auto& [kind, count] : row.count.refusals) {
      sum.all += count.all;
      sum.inside_rate += count.inside_rate;
    }
    rows.push_back({row.key.workspace.value(), row.key.service.value(),
                    row.key.zone.value(), std::to_string(row.count.requests),
                    std::to_string(row.count.answers), std::to_string(sum.all),
                    std::to_string(sum.inside_rate),
                    FormatMilliseconds(row.worst_p99)});
  }
  return FormatTable({"WORKSPACE", "SERVICE", "ZONE", "REQUESTS", "ANSWERS",
                      "REFUSED", "IN RATE", "P99 MS"},
                     rows);
}

bool HasRequestId(const Json& line, const RequestId& request) {
  if (!line.is_object()) return false;
  const auto found = line.find("request_id");
  return found != line.end() && *found == request.value();
}

std::string FieldText(const Json& line, std::string_view field) {
  const auto found = line.find(field);
  if (found == line.end()) return "";
  if (found->is_string()) return found->get<std::string>();
  return found->dump(-1, ' ', false, Json::error_handler_t::replace);
}

void PrintLogLine(const Json& line, const CommandOutput& output) {
  fmt::print(output.out, "{} {} {}\n", FieldText(line, "time"),
             FieldText(line, "host"), FieldText(line, "event"));
  for (const auto& [name, value] : line.items()) {
    const bool leading = std::find(kLeadingFields.begin(), kLeadingFields.end(),
                                   name) != kLeadingFields.end();
    if (leading) continue;
    fmt::print(output.out, "    {}: {}\n", name, FieldText(line, name));
  }
}

}  // namespace

Result<ExitCode> PrintStatus(OperatorApi& api, const CommandOutput& output) {
  const auto status = api.Status();
  if (!status) return tl::unexpected(status.error());
  if (output.json) {
    PrintJson(output, *status);
    return ExitCode::kDone;
  }
  const auto lagging = std::count_if(
      status->hosts.begin(), status->hosts.end(),
      [&](const HostStatus& host) { return host.revision < status->revision; });
  fmt::print(output.out,
             "revision {} is in force on {} of {} hosts\n"
             "leader {}, term {}\n\n",
             status->revision,
             static_cast<std::ptrdiff_t>(status->hosts.size()) - lagging,
             status->hosts.size(),
             status->leader ? status->leader->value() : "unknown",
             status->term);
  output.out << HostsTable(*status);
  if (!status->leases.empty()) output.out << '\n' << LeasesTable(*status);
  return ExitCode::kDone;
}

Result<ExitCode> PrintBackends(OperatorApi& api, const ServiceId& service,
                               const CommandOutput& output) {
  auto backends = api.Backends();
  if (!backends) return tl::unexpected(backends.error());
  if (!service.empty()) {
    std::erase_if(*backends, [&](const BackendStatus& backend) {
      return backend.service != service;
    });
  }
  if (output.json) {
    PrintJson(output, *backends);
    return ExitCode::kDone;
  }
  std::vector<TextRow> rows;
  for (const BackendStatus& backend : *backends) {
    rows.push_back({backend.service.value(), backend.backend.value(),
                    backend.zone.value(), backend.state,
                    fmt::format("{}/{}/{}", backend.busy, backend.open_slots,
                                backend.slots),
                    backend.owner.value()});
  }
  output.out << FormatTable(
      {"SERVICE", "BACKEND", "ZONE", "STATE", "BUSY/OPEN/SLOTS", "OWNER"},
      rows);
  return ExitCode::kDone;
}

Result<ExitCode> PrintTotals(OperatorApi& api, const std::string& day, bool csv,
                             const CommandOutput& output) {
  const auto report = api.Totals(day);
  if (!report) return tl::unexpected(report.error());
  if (output.json) {
    PrintJson(output, *report);
  } else if (csv) {
    output.out << DayReportCsv(*report);
  } else {
    output.out << TotalsTable(*report);
  }
  return ExitCode::kDone;
}

Result<ExitCode> ExplainRequest(std::istream& log, const RequestId& request,
                                const CommandOutput& output) {
  std::vector<Json> lines;
  std::size_t skipped = 0;
  std::string text;
  while (std::getline(log, text)) {
    if (text.empty()) continue;
    Json line = Json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (!line.is_object()) ++skipped;
    if (HasRequestId(line, request)) lines.push_back(std::move(line));
  }
  if (skipped > 0) {
    fmt::print(output.progress, "skipped {} lines that are not JSON objects\n",
               skipped);
  }
  if (lines.empty()) {
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("no log line has the request id \"{}\"", request.value()));
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Json& a, const Json& b) {
                     return FieldText(a, "time") < FieldText(b, "time");
                   });
  if (output.json) {
    PrintJson(output, lines);
  } else {
    for (const Json& line : lines) PrintLogLine(line, output);
  }
  return ExitCode::kDone;
}

}  // namespace sapphirebank
