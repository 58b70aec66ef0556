#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/config/csv.h"
#include "sapphirebank/config/sheet.h"
#include "sapphirebank/config/sheet_columns.h"
#include "sapphirebank/config/units.h"

namespace sapphirebank {
namespace {

// One row under construction.
class Row {
 public:
  Row(std::string_view kind, const std::string& id) {
    Set(SheetColumn::kKind, std::string(kind));
    Set(SheetColumn::kId, id);
  }

  void Set(SheetColumn column, std::string text) {
    cells_[static_cast<std::size_t>(column)] = std::move(text);
  }

  std::string Line() const { return FormatCsvRecord(cells_); }

 private:
  std::array<std::string, kSheetColumns.size()> cells_;
};

std::string StateText(bool in_service) {
  return std::string(in_service ? kStateIn : kStateOut);
}

std::string WorkspaceLine(const WorkspaceDeclaration& workspace) {
  Row row(kWorkspaceRow, workspace.id.value());
  row.Set(SheetColumn::kRate, FormatRate(workspace.rate));
  row.Set(SheetColumn::kBurst, fmt::format("{}", workspace.burst));
  row.Set(SheetColumn::kWeight, fmt::format("{}", workspace.weight));
  std::vector<std::string_view> services;
  services.reserve(workspace.services.size());
  for (const ServiceId& service : workspace.services) {
    services.push_back(service.value());
  }
  row.Set(SheetColumn::kServices, fmt::format("{}", fmt::join(services, " ")));
  return row.Line();
}

std::string KeyLine(const KeyDeclaration& key) {
  Row row(kKeyRow, key.id);
  row.Set(SheetColumn::kWorkspace, key.workspace.value());
  row.Set(SheetColumn::kSha256, key.sha256);
  return row.Line();
}

std::string ZoneLines(const ZoneDeclaration& zone, std::int32_t utc_offset) {
  Row row(kZoneRow, zone.id.value());
  row.Set(SheetColumn::kState, StateText(zone.in_service));
  std::string lines = row.Line();
  for (const ZonePlan& plan : zone.plans) {
    Row planned(kPlanRow, zone.id.value());
    planned.Set(SheetColumn::kAt,
                FormatCalendarTime(plan.at_unix_seconds, utc_offset));
    planned.Set(SheetColumn::kState, StateText(plan.in_service));
    lines += planned.Line();
  }
  return lines;
}

template <typename T>
std::vector<T> InOrder(std::vector<T> list) {
  std::sort(list.begin(), list.end(),
            [](const T& a, const T& b) { return a.id < b.id; });
  return list;
}

}  // namespace

std::string ExportSheet(const Declarations& declarations,
                        std::int32_t utc_offset) {
  std::array<std::string, kSheetColumns.size()> header;
  std::copy(kSheetColumns.begin(), kSheetColumns.end(), header.begin());
  std::string sheet = FormatCsvRecord(header);
  for (const auto& workspace : InOrder(declarations.workspaces)) {
    sheet += WorkspaceLine(workspace);
  }
  for (const auto& key : InOrder(declarations.keys)) sheet += KeyLine(key);
  for (const auto& zone : InOrder(declarations.zones)) {
    sheet += ZoneLines(zone, utc_offset);
  }
  return sheet;
}

}  // namespace sapphirebank
