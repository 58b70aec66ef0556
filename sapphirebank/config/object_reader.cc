#include "sapphirebank/config/object_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "sapphirebank/config/units.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxProblemLines = 20;
constexpr std::size_t kMaxShownValue = 48;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kDigestLength = 64;

constexpr std::string_view kTextForm = "a text that is not empty";
constexpr std::string_view kTextsForm = "a list of different texts";
constexpr std::string_view kNoDigest =
    "is no SHA-256 digest, expected 64 lower-case hexadecimal digits as "
    "\"sapphirebank key new\" prints them";

std::string Shown(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() <= kMaxShownValue) return text;
  return text.substr(0, kMaxShownValue) + "...";
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  // A spreadsheet takes a leading '-' for a formula.
  if (text.front() == '-' || text.front() == '.' || text.front() == '_') {
    return false;
  }
  return std::all_of(text.begin(), text.end(), IsNameByte);
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string JoinPath(std::string_view path, std::string_view name) {
  std::string joined(path);
  joined += '/';
  for (const char c : name) {
    if (c == '~') {
      joined += "~0";
    } else if (c == '/') {
      joined += "~1";
    } else {
      joined += c;
    }
  }
  return joined;
}

void Problems::Add(std::string_view path, std::string_view cause) {
  lines_.push_back(
      fmt::format("{}: {}", path.empty() ? "the document" : path, cause));
}

Error Problems::AsError(ErrorKind kind) const {
  const std::size_t shown = std::min(lines_.size(), kMaxProblemLines);
  std::string detail = fmt::format(
      "{}",
      fmt::join(lines_.begin(),
                lines_.begin() + static_cast<std::ptrdiff_t>(shown), "\n"));
  if (shown < lines_.size()) {
    detail += fmt::format("\nand {} more", lines_.size() - shown);
  }
  return Error{kind, std::move(detail)};
}

ObjectReader::ObjectReader(const Json& value, std::string path,
                           Problems& problems)
    : value_(value), path_(std::move(path)), problems_(problems) {
  if (value_.is_object()) return;
  problems_.Add(path_, fmt::format("is {}, expected an object", Shown(value_)));
}

bool ObjectReader::Has(std::string_view name) const {
  return value_.is_object() && value_.contains(name);
}

void ObjectReader::Report(std::string_view name, std::string_view cause) {
  problems_.Add(JoinPath(path_, name), cause);
}

void ObjectReader::Unexpected(std::string_view name, const Json& value,
                              std::string_view expected) {
  Report(name, fmt::format("is {}, expected {}", Shown(value), expected));
}

const Json* ObjectReader::Find(std::string_view name, Presence presence) {
  known_.emplace(name);
  if (!value_.is_object()) return nullptr;
  const auto found = value_.find(name);
  if (found != value_.end()) return &*found;
  if (presence == Presence::kRequired) Report(name, "is missing");
  return nullptr;
}

const std::string* ObjectReader::FindText(std::string_view name,
                                          Presence presence,
                                          std::string_view expected) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return nullptr;
  const auto* text = value->get_ptr<const Json::string_t*>();
  if (text == nullptr) Unexpected(name, *value, expected);
  return text;
}

void ObjectReader::Text(std::string_view name, std::string& out,
                        Presence presence) {
  const std::string* text = FindText(name, presence, kTextForm);
  if (text == nullptr) return;
  if (text->empty()) return Unexpected(name, *text, kTextForm);
  out = *text;
}

void ObjectReader::Name(std::string_view name, std::string& out,
                        Presence presence) {
  const std::string* text = FindText(name, presence, kNameForm);
  if (text == nullptr) return;
  if (!IsName(*text)) return Unexpected(name, *text, kNameForm);
  out = *text;
}

void ObjectReader::Digest(std::string_view name, std::string& out,
                          Presence presence) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  const auto* text = value->get_ptr<const Json::string_t*>();
  if (text == nullptr || !IsDigest(*text)) return Report(name, kNoDigest);
  out = *text;
}

void ObjectReader::Flag(std::string_view name, bool& out, Presence presence) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  if (!value->is_boolean()) return Unexpected(name, *value, "true or false");
  out = value->get<bool>();
}

void ObjectReader::Number(std::string_view name, double& out,
                          Range<double> range, Presence presence) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  const double number = value->is_number() ? value->get<double>() : 0;
  if (!value->is_number() || number < range.low || number > range.high) {
    return Unexpected(
        name, *value,
        fmt::format("a number from {} to {}", range.low, range.high));
  }
  out = number;
}

void ObjectReader::Count(std::string_view name, std::uint64_t& out,
                         Range<std::uint64_t> range, Presence presence) {
  const Json* value = Find(name, presence);
  if (value == nullptr) return;
  const bool whole = value->is_number_unsigned();
  const std::uint64_t number = whole ? value->get<std::uint64_t>() : 0;
  if (!whole || number < range.low || number > range.high) {
    return Unexpected(
        name, *value,
        fmt::format("a whole number from {} to {}", range.low, range.high));
  }
  out = number;
}

void ObjectReader::Count(std::string_view name, std::uint32_t& out,
                         Range<std::uint32_t> range, Presence presence) {
  std::uint64_t wide = out;
  Count(name, wide, Range<std::uint64_t>{range.low, range.high}, presence);
  out = static_cast<std::uint32_t>(wide);
}

template <typename T, typename Parse, typename Format>
void ObjectReader::Quantity(std::string_view name, T& out, Range<T> range,
                            Presence presence, std::string_view form,
                            Parse parse, Format format) {
  const std::string* text = FindText(name, presence, form);
  if (text == nullptr) return;
  const auto quantity = parse(*text);
  if (!quantity) return Unexpected(name, *text, form);
  if (*quantity < range.low || *quantity > range.high) {
    return Unexpected(
        name, *text,
        fmt::format("{} to {}", format(range.low), format(range.high)));
  }
  out = *quantity;
}

void ObjectReader::Length(std::string_view name, Duration& out,
                          Range<Duration> range, Presence presence) {
  Quantity(name, out, range, presence, kDurationForm, ParseDuration,
           FormatDuration);
}

void ObjectReader::Rate(std::string_view name, double& out, Range<double> range,
                        Presence presence) {
  Quantity(name, out, range, presence, kRateForm, ParseRate, FormatRate);
}

void ObjectReader::Size(std::string_view name, std::uint64_t& out,
                        Range<std::uint64_t> range, Presence presence) {
  Quantity(name, out, range, presence, kSizeForm, ParseSize, FormatSize);
}

void ObjectReader::Choice(std::string_view name, std::size_t& out,
                          const std::vector<std::string>& choices,
                          Presence presence) {
  const std::string expected =
      fmt::format("one of \"{}\"", fmt::join(choices, "\", \""));
  const std::string* text = FindText(name, presence, expected);
  if (text == nullptr) return;
  const auto found = std::find(choices.begin(), choices.end(), *text);
  if (found == choices.end()) return Unexpected(name, *text, expected);
  out = static_cast<std::size_t>(found - choices.begin());
}

void ObjectReader::Texts(std::string_view name, std::vector<std::string>& out) {
  const Json* value = Find(name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_array()) return Unexpected(name, *value, kTextsForm);
  std::vector<std::string> texts;
  for (const Json& element : *value) {
    const bool fit =
        element.is_string() && !element.empty() &&
        !element.get_ref<const std::string&>().empty() &&
        std::find(texts.begin(), texts.end(), element) == texts.end();
    if (!fit) return Unexpected(name, *value, kTextsForm);
    texts.push_back(element.get<std::string>());
  }
  out = std::move(texts);
}

void ObjectReader::Object(std::string_view name,
                          const std::function<void(ObjectReader&)>& read) {
  const Json* value = Find(name, Presence::kOptional);
  if (value == nullptr) return;
  ObjectReader reader(*value, JoinPath(path_, name), problems_);
  if (!value->is_object()) return;
  read(reader);
  reader.Finish();
}

void ObjectReader::Objects(std::string_view name,
                           const std::function<void(ObjectReader&)>& read) {
  const Json* value = Find(name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_array()) return Unexpected(name, *value, "a list of objects");
  std::size_t index = 0;
  for (const Json& element : *value) {
    const std::string path =
        fmt::format("{}/{}", JoinPath(path_, name), index++);
    ObjectReader reader(element, path, problems_);
    if (!element.is_object()) continue;
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::Named(
    std::string_view name,
    const std::function<void(const std::string&, ObjectReader&)>& read) {
  const Json* value = Find(name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_object()) {
    return Unexpected(name, *value, "an object whose names are the ids");
  }
  const std::string path = JoinPath(path_, name);
  for (const auto& [id, element] : value->items()) {
    if (!IsName(id)) {
      problems_.Add(JoinPath(path, id),
                    fmt::format("is no id, expected {}", kNameForm));
    }
    ObjectReader reader(element, JoinPath(path, id), problems_);
    if (!element.is_object()) continue;
    read(id, reader);
    reader.Finish();
  }
}

void ObjectReader::Finish() {
  if (!value_.is_object()) return;
  for (const auto& [name, member] : value_.items()) {
    if (known_.contains(name)) continue;
    Report(name, fmt::format("is unknown, expected one of {}",
                             fmt::join(known_, ", ")));
  }
}

}  // namespace sapphirebank
