#include "sapphirebank/request/http_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace sapphirebank {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsTokenChar(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  const auto byte = static_cast<unsigned char>(c);
  return std::isalnum(byte) != 0 || kOthers.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsForbiddenInValue(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool IsDigits(std::string_view text) {
  constexpr std::size_t kMaxLengthDigits = 18;
  return !text.empty() && text.size() <= kMaxLengthDigits &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(kBlanks);
  return text.substr(first, last - first + 1);
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

tl::unexpected<Error> Malformed(int line, std::string_view cause) {
  return Fail(ErrorKind::kMalformedRequest,
              fmt::format("line {} of the header section: {}", line, cause));
}

// Collects the body framing fields and rejects ambiguous combinations.
class BodyFraming {
 public:
  Result<void> Add(int line, std::string_view name, std::string_view value) {
    if (name == "content-length") {
      if (has_length_) return Malformed(line, "a second Content-Length");
      if (!IsDigits(value)) {
        return Malformed(line, "Content-Length is not a number of bytes");
      }
      has_length_ = true;
    }
    if (name == "transfer-encoding") {
      if (has_coding_) return Malformed(line, "a second Transfer-Encoding");
      if (ToLower(value) != "chunked") {
        return Malformed(line, "a Transfer-Encoding other than chunked");
      }
      has_coding_ = true;
    }
    if (has_length_ && has_coding_) {
      return Malformed(line, "Content-Length together with Transfer-Encoding");
    }
    return {};
  }

 private:
  bool has_length_ = false;
  bool has_coding_ = false;
};

Result<void> CheckRequestLine(std::string_view line) {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return Malformed(1, "not a method, a target and a version");
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (!IsToken(line.substr(0, first))) return Malformed(1, "bad method");
  if (target.front() != '/') return Malformed(1, "the target is no path");
  const bool clean = std::all_of(target.begin(), target.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte < 0x7f;
  });
  if (!clean) return Malformed(1, "a control or blank in the target");
  if (line.substr(last + 1) != "HTTP/1.1") {
    return Malformed(1, "the version is not HTTP/1.1");
  }
  return {};
}

Result<void> CheckFieldLine(int number, std::string_view line,
                            BodyFraming& framing, int& hosts) {
  if (line.front() == ' ' || line.front() == '\t') {
    return Malformed(number, "a folded line");
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return Malformed(number, "no colon");
  const std::string_view name = line.substr(0, colon);
  if (!IsToken(name)) return Malformed(number, "a bad field name");
  const std::string_view value = Trim(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(), IsForbiddenInValue)) {
    return Malformed(number, "a control character in a field value");
  }
  const std::string lower = ToLower(name);
  if (lower == "host") ++hosts;
  return framing.Add(number, lower, value);
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size();
    const int high = escape ? HexDigit(text[i + 1]) : -1;
    const int low = escape ? HexDigit(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return decoded;
}

bool ContainsKey(std::string_view text, std::string_view key) {
  return text.find(key) != std::string_view::npos ||
         PercentDecode(text).find(key) != std::string::npos;
}

std::string RemoveParametersWithKey(std::string_view query,
                                    std::string_view key) {
  std::string kept;
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    if (ContainsKey(parameter, key)) continue;
    if (!kept.empty()) kept.push_back('&');
    kept.append(parameter);
  }
  return kept;
}

}  // namespace

std::string_view FieldValue(const HeaderFields& fields, std::string_view name) {
  const auto found = std::find_if(
      fields.begin(), fields.end(),
      [&](const HeaderField& field) { return field.name == name; });
  return found == fields.end() ? std::string_view() : found->value;
}

Result<void> CheckRequestHead(std::string_view head) {
  BodyFraming framing;
  int hosts = 0;
  for (int number = 1; !head.empty(); ++number) {
    const auto end = head.find(kLineEnd);
    if (end == std::string_view::npos) return Malformed(number, "no line end");
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + kLineEnd.size());
    if (line.find('\n') != std::string_view::npos ||
        line.find('\r') != std::string_view::npos) {
      return Malformed(number, "a bare carriage return or line feed");
    }
    if (line.empty()) break;
    auto checked = number == 1 ? CheckRequestLine(line)
                               : CheckFieldLine(number, line, framing, hosts);
    if (!checked) return checked;
  }
  if (hosts != 1) return Malformed(1, "not exactly one Host field");
  return {};
}

bool IsHopByHop(std::string_view name) {
  constexpr auto kNames = std::to_array<std::string_view>(
      {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
       "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
       "content-length", "expect", "host"});
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

void StripConnectionFields(HeaderFields& fields) {
  std::vector<std::string> named;
  for (const HeaderField& field : fields) {
    if (field.name != "connection") continue;
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const auto end = std::min(rest.find(','), rest.size());
      named.push_back(ToLower(Trim(rest.substr(0, end))));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  std::erase_if(fields, [&](const HeaderField& field) {
    return IsHopByHop(field.name) ||
           field.name.starts_with(kFleetFieldPrefix) ||
           std::find(named.begin(), named.end(), field.name) != named.end();
  });
}

void StripKey(std::string_view key_field, std::string_view key,
              HeaderFields& fields, std::string& target) {
  std::erase_if(fields, [&](const HeaderField& field) {
    return field.name == key_field ||
           (!key.empty() && ContainsKey(field.value, key));
  });
  if (key.empty() || !ContainsKey(target, key)) return;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return;
  const std::string_view whole = target;
  const std::string query =
      RemoveParametersWithKey(whole.substr(mark + 1), key);
  target.resize(mark);
  if (!query.empty()) target.append("?").append(query);
}

}  // namespace sapphirebank
