#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/config/csv.h"
#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/config/object_reader.h"
#include "sapphirebank/config/sheet.h"
#include "sapphirebank/config/sheet_columns.h"
#include "sapphirebank/config/units.h"

namespace sapphirebank {
namespace {

using Columns = std::vector<SheetColumn>;

constexpr std::string_view kDecimalForm = "a number such as \"2.5\"";
constexpr std::string_view kStateForm = "\"in\" or \"out\"";

std::size_t IndexOf(SheetColumn column) {
  return static_cast<std::size_t>(column);
}

std::string Trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return "";
  const std::size_t last = text.find_last_not_of(" \t");
  return std::string(text.substr(first, last - first + 1));
}

// Returns whether a comma stands where a spreadsheet puts a decimal comma.
bool HasDecimalComma(std::string_view text) {
  for (std::size_t i = 1; i + 1 < text.size(); ++i) {
    const bool digits = text[i - 1] >= '0' && text[i - 1] <= '9' &&
                        text[i + 1] >= '0' && text[i + 1] <= '9';
    if (text[i] == ',' && digits) return true;
  }
  return false;
}

// Puts the rows of a sheet into declarations and collects the faults.
class Importer {
 public:
  Importer(std::vector<CsvRecord> records, const Declarations& base)
      : records_(std::move(records)), wanted_(base) {
    wanted_.workspaces.clear();
    wanted_.keys.clear();
  }

  Result<Declarations> Import() {
    if (!ReadHeader()) return Failure();
    for (row_ = 1; row_ < records_.size(); ++row_) ReadRow();
    CheckKeys();
    for (ZoneDeclaration& zone : wanted_.zones) {
      std::sort(zone.plans.begin(), zone.plans.end(),
                [](const ZonePlan& a, const ZonePlan& b) {
                  return a.at_unix_seconds < b.at_unix_seconds;
                });
    }
    if (!problems_.empty()) return Failure();
    return DeclarationsFromDocument(DocumentFromDeclarations(wanted_));
  }

 private:
  tl::unexpected<Error> Failure() const {
    return tl::unexpected(problems_.AsError(ErrorKind::kInvalidDeclaration));
  }

  bool ReadHeader() {
    if (records_.empty()) records_.push_back({""});
    const CsvRecord& header = records_.front();
    for (std::size_t i = 0; i < header.size(); ++i) {
      const std::string name = Trimmed(header[i]);
      if (name.empty()) continue;
      const auto found =
          std::find(kSheetColumns.begin(), kSheetColumns.end(), name);
      if (found == kSheetColumns.end()) {
        problems_.Add(CellName(0, i),
                      fmt::format("is \"{}\", expected a column of {}", name,
                                  fmt::join(kSheetColumns, ", ")));
        continue;
      }
      auto& place =
          places_[static_cast<std::size_t>(found - kSheetColumns.begin())];
      if (place) {
        problems_.Add(CellName(0, i),
                      fmt::format("is \"{}\" as {} is, expected each column "
                                  "once",
                                  name, CellName(0, *place)));
      }
      place = i;
    }
    for (std::size_t i = 0; i < places_.size(); ++i) {
      if (places_[i]) continue;
      problems_.Add("row 1",
                    fmt::format("has no column \"{}\"", kSheetColumns[i]));
    }
    return problems_.empty();
  }

  std::string Cell(SheetColumn column) const {
    const std::size_t place = *places_[IndexOf(column)];
    const CsvRecord& record = records_[row_];
    return place < record.size() ? Trimmed(record[place]) : "";
  }

  std::string NameOf(SheetColumn column) const {
    return CellName(row_, *places_[IndexOf(column)]);
  }

  void Report(SheetColumn column, std::string_view cause) {
    problems_.Add(NameOf(column), cause);
  }

  void Unexpected(SheetColumn column, std::string_view form) {
    const std::string text = Cell(column);
    if (HasDecimalComma(text)) {
      Report(column, fmt::format("is \"{}\" with a decimal comma, expected {} "
                                 "with a point",
                                 text, form));
    } else {
      Report(column, fmt::format("is \"{}\", expected {}", text, form));
    }
  }

  // Reports cells that rows of this kind leave empty, and text outside the
  // columns.
  void CheckEmpty(const Columns& used) {
    for (std::size_t i = 0; i < kSheetColumns.size(); ++i) {
      const auto column = static_cast<SheetColumn>(i);
      if (column == SheetColumn::kKind || Cell(column).empty()) continue;
      if (std::find(used.begin(), used.end(), column) != used.end()) continue;
      Report(column, fmt::format("is filled, expected nothing in a row of "
                                 "kind {}",
                                 Cell(SheetColumn::kKind)));
    }
    CheckOutside();
  }

  void CheckOutside() {
    const CsvRecord& record = records_[row_];
    for (std::size_t i = 0; i < record.size(); ++i) {
      const bool in_column =
          std::find(places_.begin(), places_.end(), i) != places_.end();
      if (in_column || Trimmed(record[i]).empty()) continue;
      problems_.Add(CellName(row_, i), "is filled, but its column has no name");
    }
  }

  bool IsEmptyRow() const {
    const CsvRecord& record = records_[row_];
    return std::all_of(record.begin(), record.end(),
                       [](const std::string& c) { return Trimmed(c).empty(); });
  }

  void ReadRow() {
    if (IsEmptyRow()) return;
    const std::string kind = Cell(SheetColumn::kKind);
    if (kind == kWorkspaceRow) return ReadWorkspace();
    if (kind == kKeyRow) return ReadKey();
    if (kind == kZoneRow) return ReadZone();
    if (kind == kPlanRow) return ReadPlan();
    Unexpected(SheetColumn::kKind, "workspace, key, zone or plan");
  }

  // Reads the id of a row that may stand once; `unique` says of what.
  std::string ReadId(std::string_view unique) {
    std::string id = Cell(SheetColumn::kId);
    if (!IsName(id)) {
      Unexpected(SheetColumn::kId, kNameForm);
      return id;
    }
    const auto [first, added] =
        rows_by_id_.emplace(std::pair(std::string(unique), id), row_);
    if (!added) {
      Report(SheetColumn::kId,
             fmt::format("is \"{}\" as in row {}, expected each {} once", id,
                         first->second + 1, unique));
    }
    return id;
  }

  double ReadDecimal(SheetColumn column) {
    const auto number = ParseDecimal(Cell(column));
    if (!number) Unexpected(column, kDecimalForm);
    return number.value_or(1);
  }

  void ReadWorkspace() {
    CheckEmpty({SheetColumn::kId, SheetColumn::kRate, SheetColumn::kBurst,
                SheetColumn::kWeight, SheetColumn::kServices});
    WorkspaceDeclaration workspace;
    workspace.id = WorkspaceId(ReadId(kWorkspaceRow));
    const auto rate = ParseRate(Cell(SheetColumn::kRate));
    if (!rate) Unexpected(SheetColumn::kRate, kRateForm);
    workspace.rate = rate.value_or(0);
    workspace.burst = ReadDecimal(SheetColumn::kBurst);
    if (!Cell(SheetColumn::kWeight).empty()) {
      workspace.weight = ReadDecimal(SheetColumn::kWeight);
    }
    workspace.services = ReadServices();
    wanted_.workspaces.push_back(std::move(workspace));
  }

  std::vector<ServiceId> ReadServices() {
    std::set<ServiceId> services;
    const std::string text = Cell(SheetColumn::kServices);
    std::size_t start = 0;
    while ((start = text.find_first_not_of(' ', start)) != std::string::npos) {
      const std::size_t end = std::min(text.find(' ', start), text.size());
      ServiceId service(text.substr(start, end - start));
      start = end;
      const bool declared = std::any_of(
          wanted_.services.begin(), wanted_.services.end(),
          [&](const ServiceDeclaration& s) { return s.id == service; });
      if (!declared) {
        Report(SheetColumn::kServices,
               fmt::format("names \"{}\", expected services with spaces in "
                           "between",
                           service.value()));
      }
      services.insert(std::move(service));
    }
    return {services.begin(), services.end()};
  }

  void ReadKey() {
    CheckEmpty(
        {SheetColumn::kId, SheetColumn::kWorkspace, SheetColumn::kSha256});
    KeyDeclaration key;
    key.id = ReadId(kKeyRow);
    key.workspace = WorkspaceId(Cell(SheetColumn::kWorkspace));
    key.sha256 = Cell(SheetColumn::kSha256);
    if (!IsDigest(key.sha256)) {
      // The cell may hold the key itself.
      Report(SheetColumn::kSha256,
             "is no SHA-256 digest, expected 64 lower-case hexadecimal digits");
    }
    key_cells_.push_back(NameOf(SheetColumn::kWorkspace));
    wanted_.keys.push_back(std::move(key));
  }

  // Reports keys of workspaces that no row of the sheet declares.
  void CheckKeys() {
    std::set<WorkspaceId> workspaces;
    for (const auto& workspace : wanted_.workspaces) {
      workspaces.insert(workspace.id);
    }
    for (std::size_t i = 0; i < wanted_.keys.size(); ++i) {
      const WorkspaceId& workspace = wanted_.keys[i].workspace;
      if (workspaces.contains(workspace)) continue;
      problems_.Add(key_cells_[i],
                    fmt::format("names \"{}\", expected a workspace of the "
                                "sheet",
                                workspace.value()));
    }
  }

  // Returns the zone that the row names, with its plans of before dropped when
  // this is the first row about it.
  ZoneDeclaration* ZoneOfRow() {
    const ZoneId id(Cell(SheetColumn::kId));
    const auto zone =
        std::find_if(wanted_.zones.begin(), wanted_.zones.end(),
                     [&](const ZoneDeclaration& z) { return z.id == id; });
    if (zone == wanted_.zones.end()) {
      Unexpected(SheetColumn::kId, "a declared availability zone");
      return nullptr;
    }
    if (named_zones_.insert(id).second) zone->plans.clear();
    return &*zone;
  }

  bool ReadState() {
    const std::string state = Cell(SheetColumn::kState);
    if (state != kStateIn && state != kStateOut) {
      Unexpected(SheetColumn::kState, kStateForm);
    }
    return state == kStateIn;
  }

  void ReadZone() {
    CheckEmpty({SheetColumn::kId, SheetColumn::kState});
    ReadId(kZoneRow);
    const bool in_service = ReadState();
    if (ZoneDeclaration* zone = ZoneOfRow()) zone->in_service = in_service;
  }

  void ReadPlan() {
    CheckEmpty({SheetColumn::kId, SheetColumn::kAt, SheetColumn::kState});
    const auto at = ParseCalendarTime(Cell(SheetColumn::kAt));
    if (!at) Unexpected(SheetColumn::kAt, kCalendarTimeForm);
    const bool in_service = ReadState();
    ZoneDeclaration* zone = ZoneOfRow();
    if (zone == nullptr || !at) return;
    const bool taken = std::any_of(
        zone->plans.begin(), zone->plans.end(),
        [&](const ZonePlan& plan) { return plan.at_unix_seconds == *at; });
    if (taken) {
      Report(SheetColumn::kAt,
             fmt::format("is the time of another plan of \"{}\", expected one "
                         "plan for each time",
                         zone->id.value()));
    }
    zone->plans.push_back({*at, in_service});
  }

  std::vector<CsvRecord> records_;
  Declarations wanted_;
  Problems problems_;
  // Where each column stands, by SheetColumn.
  std::array<std::optional<std::size_t>, kSheetColumns.size()> places_;
  std::size_t row_ = 0;
  std::map<std::pair<std::string, std::string>, std::size_t> rows_by_id_;
  std::vector<std::string> key_cells_;  // Of the workspaces of wanted_.keys.
  std::set<ZoneId> named_zones_;
};

}  // namespace

Result<Declarations> ImportSheet(std::string_view text,
                                 std::string_view file_name,
                                 const Declarations& base) {
  auto records = ParseCsv(text, file_name);
  if (!records) return tl::unexpected(records.error());
  auto wanted = Importer(std::move(*records), base).Import();
  if (wanted) return wanted;
  return Fail(wanted.error().kind,
              fmt::format("{}: {}", file_name, wanted.error().detail));
}

}  // namespace sapphirebank
