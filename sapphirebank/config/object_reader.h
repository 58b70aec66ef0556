#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What an id looks like, for use in messages.
inline constexpr std::string_view kNameForm =
    "1 to 64 letters, digits, '.', '_' or '-', first a letter or digit";

// Collects what is wrong with a document, so that one run names every fault.
class Problems {
 public:
  // Records that the value at the JSON pointer `path` is at fault.
  void Add(std::string_view path, std::string_view cause);

  bool empty() const { return lines_.empty(); }
  std::size_t size() const { return lines_.size(); }

  // Returns all faults, one a line, up to a fixed number of lines.
  Error AsError(ErrorKind kind) const;

 private:
  std::vector<std::string> lines_;
};

// Whether a member may be left out.
enum class Presence { kOptional, kRequired };

// The numbers that a member may have, both ends included.
template <typename T>
struct Range {
  T low;
  T high;
};

// Reads the members of one JSON object and checks them. Each function leaves
// `out` as it is when the member is missing or at fault, and reports faults
// with path, cause and what was expected. Finish reports members that nobody
// asked for.
class ObjectReader {
 public:
  // `value` and `problems` must outlive the reader. Reports when `value` is no
  // object; every member is then missing without a further report.
  ObjectReader(const nlohmann::json& value, std::string path,
               Problems& problems);

  // Reads a text that is not empty.
  void Text(std::string_view name, std::string& out,
            Presence presence = Presence::kOptional);
  // Reads a name; see IsName.
  void Name(std::string_view name, std::string& out,
            Presence presence = Presence::kOptional);
  // Reads a SHA-256 digest. A wrong value is not repeated in the report: it
  // may be the key itself.
  void Digest(std::string_view name, std::string& out,
              Presence presence = Presence::kOptional);
  void Flag(std::string_view name, bool& out,
            Presence presence = Presence::kOptional);
  void Number(std::string_view name, double& out, Range<double> range,
              Presence presence = Presence::kOptional);
  void Count(std::string_view name, std::uint64_t& out,
             Range<std::uint64_t> range,
             Presence presence = Presence::kOptional);
  void Count(std::string_view name, std::uint32_t& out,
             Range<std::uint32_t> range,
             Presence presence = Presence::kOptional);
  void Length(std::string_view name, Duration& out, Range<Duration> range,
              Presence presence = Presence::kOptional);
  // Reads a rate such as "120/s" as requests a second.
  void Rate(std::string_view name, double& out, Range<double> range,
            Presence presence = Presence::kOptional);
  void Size(std::string_view name, std::uint64_t& out,
            Range<std::uint64_t> range,
            Presence presence = Presence::kOptional);
  // Reads one of `choices` and sets `out` to its index.
  void Choice(std::string_view name, std::size_t& out,
              const std::vector<std::string>& choices,
              Presence presence = Presence::kOptional);
  // Reads a list of texts, none empty and none twice.
  void Texts(std::string_view name, std::vector<std::string>& out);

  // Calls `read` with a reader of the member object, when there is one.
  void Object(std::string_view name,
              const std::function<void(ObjectReader&)>& read);
  // Calls `read` with a reader of each element of the member list.
  void Objects(std::string_view name,
               const std::function<void(ObjectReader&)>& read);
  // Calls `read` with the name and a reader of each member of the member
  // object, whose names are chosen by the operator.
  void Named(
      std::string_view name,
      const std::function<void(const std::string&, ObjectReader&)>& read);

  // Returns whether the object has the member.
  bool Has(std::string_view name) const;

  // Reports a fault of the member `name`.
  void Report(std::string_view name, std::string_view cause);

  // Reports the members that were not read.
  void Finish();

  // Returns the JSON pointer of the object.
  const std::string& path() const { return path_; }

 private:
  // Returns the member or null; reports a required one that is missing.
  const nlohmann::json* Find(std::string_view name, Presence presence);
  // Returns the member as text, or null; reports a value that is no text.
  const std::string* FindText(std::string_view name, Presence presence,
                              std::string_view expected);
  void Unexpected(std::string_view name, const nlohmann::json& value,
                  std::string_view expected);
  // Reads a text with a unit whose value must lie in `range`.
  template <typename T, typename Parse, typename Format>
  void Quantity(std::string_view name, T& out, Range<T> range,
                Presence presence, std::string_view form, Parse parse,
                Format format);

  const nlohmann::json& value_;
  std::string path_;
  Problems& problems_;
  std::set<std::string, std::less<>> known_;
};

// Returns whether `text` can be an id: 1 to 64 letters, digits, '.', '_' and
// '-', first a letter or digit.
bool IsName(std::string_view text);

// Returns whether `text` is 64 lower-case hexadecimal digits.
bool IsDigest(std::string_view text);

// Returns `path` extended by one member name, as JSON pointers (RFC 6901) do.
std::string JoinPath(std::string_view path, std::string_view name);

}  // namespace sapphirebank
