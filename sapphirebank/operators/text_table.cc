#include "sapphirebank/operators/text_table.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace sapphirebank {
namespace {

constexpr std::size_t kColumnGap = 2;
constexpr std::size_t kMinColumnWidth = 4;

std::vector<std::size_t> ColumnWidths(const TextRow& header,
                                      const std::vector<TextRow>& rows) {
  std::vector<std::size_t> widths;
  for (const std::string& cell : header) widths.push_back(cell.size());
  for (const TextRow& row : rows) {
    assert(row.size() == header.size());
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

// Narrows the widest column repeatedly until the table fits `width` or no
// column can be narrowed further.
void ShrinkToWidth(std::vector<std::size_t>& widths, std::size_t width) {
  const std::size_t total_gap = kColumnGap * (widths.size() - 1);
  std::size_t sum = std::accumulate(widths.begin(), widths.end(), total_gap);
  while (sum > width) {
    const auto widest = std::max_element(widths.begin(), widths.end());
    if (*widest <= kMinColumnWidth) return;
    --*widest;
    --sum;
  }
}

std::string FormatRow(const TextRow& row,
                      const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    std::string cell = row[i];
    if (cell.size() > widths[i]) cell = cell.substr(0, widths[i] - 1) + '~';
    cell.resize(widths[i] + kColumnGap, ' ');
    line += cell;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + '\n';
}

}  // namespace

std::string FormatTable(const TextRow& header, const std::vector<TextRow>& rows,
                        std::size_t width) {
  if (header.empty()) return "";
  std::vector<std::size_t> widths = ColumnWidths(header, rows);
  ShrinkToWidth(widths, width);
  std::string table = FormatRow(header, widths);
  for (const TextRow& row : rows) table += FormatRow(row, widths);
  return table;
}

}  // namespace sapphirebank
