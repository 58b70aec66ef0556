#include "sapphirebank/config/sheet.h"

#include <catch2/catch.hpp>
#include <string>

#include "sapphirebank/config/csv.h"
#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/core/random.h"
#include "unit_tests/config/config_test_support.h"

namespace sapphirebank {
namespace {

constexpr int kRounds = 3000;
constexpr std::int32_t kIndia = 19800;
constexpr std::string_view kMutations = ",;\"\r\n 09azAZ.-/\x00\xff";

std::string ExampleSheet() { return ReadRepositoryFile("examples/sheet.csv"); }

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string ReplacedAll(std::string text, char from, char to) {
  std::replace(text.begin(), text.end(), from, to);
  return text;
}

TEST_CASE("the example sheet drives workspaces, keys and plans", "[config]") {
  const Declarations base = SmallDeclarations();
  const auto wanted = ImportSheet(ExampleSheet(), "s", base);
  REQUIRE(wanted);
  CHECK(wanted->workspaces.size() == 3);
  CHECK(wanted->workspaces[0].rate == 25);
  CHECK(wanted->workspaces[2].services.size() == 2);
  CHECK(wanted->keys.size() == 3);
  CHECK(wanted->zones[0].plans.size() == 2);
  CHECK(wanted->zones[1].plans.empty());  // Named without a plan.
  CHECK(wanted->routes == base.routes);
  CHECK(wanted->operators == base.operators);
}

TEST_CASE("an exported sheet imports without a change", "[config]") {
  const Declarations base = SmallDeclarations();
  const std::string exported = ExportSheet(base, kIndia);
  CHECK(ImportSheet(exported, "s", base) == base);
  const auto wanted = ImportSheet(ExampleSheet(), "s", base);
  REQUIRE(wanted);
  CHECK(ExportSheet(*wanted, kIndia) == ExampleSheet());
}

TEST_CASE("a sheet is read as spreadsheets write it", "[config]") {
  const Declarations base = SmallDeclarations();
  const auto plain = ImportSheet(ExampleSheet(), "s", base);
  REQUIRE(plain);
  std::string unix_lines = ExampleSheet();
  std::erase(unix_lines, '\r');
  const std::string variants[] = {
      "\xef\xbb\xbf" + ExampleSheet(),
      unix_lines,
      ReplacedAll(ExampleSheet(), ',', ';'),
      ExampleSheet() + ",,,,,,,,,\r\n\r\n",
      Replaced(ExampleSheet(), "panchayat-north", "\"panchayat-north\""),
      Replaced(ExampleSheet(), "25/s", " 25/s "),
      unix_lines.substr(0, unix_lines.size() - 1),
  };
  for (const std::string& variant : variants) {
    INFO(variant);
    CHECK(ImportSheet(variant, "s", base) == plain);
  }
}

TEST_CASE("a faulty sheet is refused with cell and cause", "[config]") {
  struct Row {
    std::string from;
    std::string to;
    std::string report;
  };
  const Row rows[] = {
      {"kind,id", "kind;id", "s:A1: the first line has commas and semicolons"},
      {"kind,id", "kind,ids", "B1: is \"ids\", expected a column of kind"},
      {"kind,id", "kind,kind", "B1: is \"kind\" as A1 is"},
      {"kind,id", "kind,", "row 1: has no column \"id\""},
      {",at,state", ",at", "row 1: has no column \"state\""},
      {"workspace,panchayat-north", "group,panchayat-north",
       "A2: is \"group\", expected workspace, key, zone or plan"},
      {"25/s", "25", "C2: is \"25\", expected a number with /s"},
      {"25/s", "\"2,5/s\"",
       "C2: is \"2,5/s\" with a decimal comma, expected a number with /s"},
      {"25/s,50", "25/s,\"50,5\"", "D2: is \"50,5\" with a decimal comma"},
      {"25/s,50", "25/s,", "D2: is \"\", expected a number such as"},
      {"25/s,50", "25/s,0", "/workspaces/panchayat-north/burst: is below 1"},
      {"10/s,20,2", "10/s,20,heavy", "E3: is \"heavy\", expected a"},
      {"documents permit-desk", "documents x", "F4: names \"x\", expected"},
      {"panchayat-south", "panchayat-north",
       "B3: is \"panchayat-north\" as in row 2, expected each workspace"},
      {"panchayat-south", "-south", "B3: is \"-south\", expected 1 to 64"},
      {"key,rubber-2026,,,,,rubber-board", "key,rubber-2026,,,,,x",
       "G6: names \"x\", expected a workspace of the sheet"},
      {"key,north-2026,", "key,north-2026,5/s",
       "C5: is filled, expected nothing in a row of kind key"},
      {"zone,kochi", "zone,kottayam",
       "B8: is \"kottayam\", expected a declared availability zone"},
      {"zone,thrissur", "zone,kochi", "B11: is \"kochi\" as in row 8"},
      {",,in\r\nplan", ",,on\r\nplan", "J8: is \"on\", expected \"in\" or"},
      {"2026-12-06T22:00:00+05:30", "06.12.2026 22:00",
       "I9: is \"06.12.2026 22:00\", expected an ISO 8601 time"},
      {"2026-12-07T01:30:00+05:30", "2026-12-06T16:30:00Z",
       "I10: is the time of another plan of \"kochi\""},
      {"25/s,50,1,,,,,", "25/s,50,1,,,,,,,x", "is filled, but its column has"},
      {"panchayat-north", "\"panchayat-north",
       "s:B2: has a quote that is not closed"},
      {"panchayat-north", "\"panchayat\"-north", "s:B2: has text behind its"},
      {"panchayat-north", "panchayat\"north", "s:B2: has a quote or a null"},
      {"panchayat-north", "panchayat\rnorth", "s:C2: has a carriage return"},
      {"kind,id", "\xff\xfekind,id", "the table is in UTF-16, expected UTF-8"},
  };
  const Declarations base = SmallDeclarations();
  for (const Row& row : rows) {
    const std::string text = Replaced(ExampleSheet(), row.from, row.to);
    const auto wanted = ImportSheet(text, "s", base);
    INFO(row.from << " -> " << row.to);
    REQUIRE_FALSE(wanted);
    CHECK(wanted.error().kind == ErrorKind::kInvalidDeclaration);
    CHECK_THAT(wanted.error().detail, Catch::StartsWith("s:"));
    CHECK_THAT(wanted.error().detail, Catch::Contains(row.report));
  }
}

TEST_CASE("a key in place of its digest is not repeated from a sheet",
          "[config]") {
  const std::string digest = SmallDeclarations().keys[0].sha256;
  const auto wanted =
      ImportSheet(Replaced(ExampleSheet(), digest, "the-key-itself"), "s",
                  SmallDeclarations());
  REQUIRE_FALSE(wanted);
  CHECK_THAT(wanted.error().detail, Catch::Contains("H5: is no SHA-256"));
  CHECK_THAT(wanted.error().detail, !Catch::Contains("the-key-itself"));
}

TEST_CASE("cells have the names of spreadsheets", "[config]") {
  CHECK(CellName(6, 2) == "C7");
  CHECK(CellName(0, 25) == "Z1");
  CHECK(CellName(0, 26) == "AA1");
  CHECK(CellName(0, 701) == "ZZ1");
  CHECK(CellName(0, 702) == "AAA1");
}

TEST_CASE("any cell survives a round trip through CSV", "[config]") {
  Random random(11);
  for (int round = 0; round < kRounds; ++round) {
    CsvRecord record;
    const std::uint64_t cells = 2 + random.Below(4);
    for (std::uint64_t i = 0; i < cells; ++i) {
      std::string cell;
      const std::uint64_t length = random.Below(5);
      for (std::uint64_t j = 0; j < length; ++j) {
        cell += ",;\"\r\n xy"[random.Below(8)];
      }
      record.push_back(cell);
    }
    // The first line chooses the separator.
    const auto read = ParseCsv("a,b\r\n" + FormatCsvRecord(record), "s");
    REQUIRE(read);
    CHECK(read->at(1) == record);
  }
}

TEST_CASE("mutated sheets never crash and never half apply", "[config]") {
  const Declarations base = SmallDeclarations();
  Random random(5);
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = ExampleSheet();
    const std::uint64_t edits = 1 + random.Below(3);
    for (std::uint64_t edit = 0; edit < edits; ++edit) {
      const std::size_t at = random.Below(text.size());
      if (random.Chance(0.3)) {
        text.erase(at, 1 + random.Below(16));
      } else {
        text[at] = kMutations[random.Below(kMutations.size())];
      }
    }
    const auto wanted = ImportSheet(text, "s", base);
    if (!wanted) {
      CHECK_THAT(wanted.error().detail, Catch::StartsWith("s:"));
      continue;
    }
    ++accepted;
    CHECK(wanted->routes == base.routes);
    CHECK(ImportSheet(ExportSheet(*wanted), "s", base) == wanted);
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace sapphirebank
