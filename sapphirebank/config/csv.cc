#include "sapphirebank/config/csv.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::size_t kLetters = 26;

// Returns the first line of the table without its quoted parts.
std::string UnquotedFirstLine(std::string_view text) {
  std::string line;
  bool quoted = false;
  for (const char c : text) {
    if (c == '"') quoted = !quoted;
    if (quoted) continue;
    if (c == '\n' || c == '\r') break;
    line += c;
  }
  return line;
}

class CsvReader {
 public:
  CsvReader(std::string_view text, std::string_view file_name)
      : rest_(text), file_name_(file_name) {}

  Result<std::vector<CsvRecord>> Read() {
    if (rest_.size() > kMaxCsvBytes) {
      return FailHere(fmt::format("the table has {} bytes, expected at most {}",
                                  rest_.size(), kMaxCsvBytes));
    }
    if (rest_.starts_with("\xff\xfe") || rest_.starts_with("\xfe\xff")) {
      return FailHere("the table is in UTF-16, expected UTF-8");
    }
    if (rest_.starts_with(kByteOrderMark)) {
      rest_.remove_prefix(kByteOrderMark.size());
    }
    if (auto chosen = ChooseSeparator(); !chosen) {
      return tl::unexpected(chosen.error());
    }
    while (!rest_.empty()) {
      if (auto record = ReadRecord(); !record) {
        return tl::unexpected(record.error());
      }
    }
    return std::move(records_);
  }

 private:
  Result<void> ChooseSeparator() {
    const std::string line = UnquotedFirstLine(rest_);
    const bool commas = line.find(',') != std::string::npos;
    const bool semicolons = line.find(';') != std::string::npos;
    if (commas && semicolons) {
      return FailHere(
          "the first line has commas and semicolons, expected one of them "
          "between the names of the columns");
    }
    separator_ = semicolons ? ';' : ',';
    return {};
  }

  Result<void> ReadRecord() {
    record_.clear();
    while (true) {
      auto cell = rest_.starts_with('"') ? ReadQuoted() : ReadPlain();
      if (!cell) return tl::unexpected(cell.error());
      record_.push_back(std::move(*cell));
      if (!Skip(separator_)) break;
    }
    if (!rest_.empty() && !SkipLineEnd()) {
      return FailHere("has a carriage return that ends no line");
    }
    records_.push_back(std::move(record_));
    return {};
  }

  Result<std::string> ReadPlain() {
    const char stops[] = {separator_, '\r', '\n', '"', '\0'};
    const std::size_t end =
        std::min(rest_.find_first_of(std::string_view(stops, sizeof(stops))),
                 rest_.size());
    if (end < rest_.size() && (rest_[end] == '"' || rest_[end] == '\0')) {
      return FailHere(
          "has a quote or a null byte in a plain cell, expected the cell in "
          "quotes and its quotes doubled");
    }
    std::string cell(rest_.substr(0, end));
    rest_.remove_prefix(end);
    return cell;
  }

  Result<std::string> ReadQuoted() {
    std::string cell;
    rest_.remove_prefix(1);
    while (true) {
      const std::size_t quote = rest_.find('"');
      if (quote == std::string_view::npos) {
        return FailHere("has a quote that is not closed");
      }
      cell += rest_.substr(0, quote);
      rest_.remove_prefix(quote + 1);
      if (!Skip('"')) break;
      cell += '"';
    }
    const bool ends = rest_.empty() || rest_.front() == separator_ ||
                      rest_.front() == '\r' || rest_.front() == '\n';
    if (!ends) return FailHere("has text behind its closing quote");
    return cell;
  }

  bool Skip(char expected) {
    if (!rest_.starts_with(expected)) return false;
    rest_.remove_prefix(1);
    return true;
  }

  bool SkipLineEnd() {
    if (rest_.starts_with("\r\n")) rest_.remove_prefix(1);
    return Skip('\n');
  }

  // Returns a failure at the cell that is being read.
  tl::unexpected<Error> FailHere(std::string_view cause) const {
    return Fail(ErrorKind::kInvalidDeclaration,
                fmt::format("{}:{}: {}", file_name_,
                            CellName(records_.size(), record_.size()), cause));
  }

  std::string_view rest_;
  std::string_view file_name_;
  char separator_ = ',';
  std::vector<CsvRecord> records_;
  CsvRecord record_;
};

}  // namespace

std::string CellName(std::size_t row, std::size_t column) {
  std::string letters;
  for (std::size_t rest = column + 1; rest > 0; rest = (rest - 1) / kLetters) {
    letters += static_cast<char>('A' + (rest - 1) % kLetters);
  }
  std::reverse(letters.begin(), letters.end());
  return letters + std::to_string(row + 1);
}

Result<std::vector<CsvRecord>> ParseCsv(std::string_view text,
                                        std::string_view file_name) {
  return CsvReader(text, file_name).Read();
}

std::string FormatCsvRecord(std::span<const std::string> record) {
  std::string line;
  for (const std::string& cell : record) {
    if (!line.empty() || &cell != record.data()) line += ',';
    if (cell.find_first_of(",;\"\r\n") == std::string::npos) {
      line += cell;
      continue;
    }
    line += '"';
    for (const char c : cell) {
      if (c == '"') line += '"';
      line += c;
    }
    line += '"';
  }
  return line + "\r\n";
}

}  // namespace sapphirebank
