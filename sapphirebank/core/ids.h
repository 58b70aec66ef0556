#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirebank {

// A name that cannot be mixed up with a name of another kind. `Tag` is an
// empty struct which names the kind.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}
  explicit Id(std::string_view value) : value_(value) {}
  explicit Id(const char* value) : value_(value) {}

  // Returns the name as text.
  const std::string& value() const { return value_; }

  // Returns whether the name is missing.
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;

  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using HostId = Id<struct HostTag>;
using ZoneId = Id<struct ZoneTag>;
using ServiceId = Id<struct ServiceTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using BackendId = Id<struct BackendTag>;
using RequestId = Id<struct RequestTag>;

// Counts accepted configurations. 0 means that none was accepted yet.
using Revision = std::uint64_t;

// Counts the lives of a host or a backend server. A larger one is newer.
using Incarnation = std::uint64_t;

// Counts the grants of one lease or one leadership. A larger one is newer.
using Term = std::uint64_t;

}  // namespace sapphirebank

template <typename Tag>
struct std::hash<sapphirebank::Id<Tag>> {
  std::size_t operator()(const sapphirebank::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};
