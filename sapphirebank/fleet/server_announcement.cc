#include "sapphirebank/fleet/server_announcement.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {
namespace {

constexpr std::size_t kMaxNameBytes = 256;

constexpr std::uint32_t kMaxSlots = 100'000;

// Whole numbers up to here are the same in every JSON library (RFC 8259,
// section 6).
constexpr std::uint64_t kMaxExactNumber = std::uint64_t{1} << 53U;

bool IsName(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::none_of(text.begin(), text.end(), [](unsigned char c) {
           return c < kFirstPrintable || c == kDelete;
         });
}

}  // namespace

Result<void> CheckAnnouncement(const ServerAnnouncement& server) {
  const auto fail = [](std::string_view field) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("{} is out of range", field));
  };
  if (!IsName(server.id.value())) return fail("id");
  if (!IsName(server.service.value())) return fail("service");
  if (!IsName(server.zone.value())) return fail("zone");
  if (!IsIpNumber(server.endpoint.ip) || server.endpoint.port == 0) {
    return fail("address");
  }
  if (server.slots == 0 || server.slots > kMaxSlots) return fail("slots");
  if (server.warm_up_left < Duration::zero() ||
      server.warm_up_left > kLongestReadDuration) {
    return fail("remaining warm-up");
  }
  if (!server.version.empty() && !IsName(server.version)) {
    return fail("version");
  }
  if (server.sequence > kMaxExactNumber) return fail("sequence");
  if (server.incarnation > kMaxExactNumber) return fail("incarnation");
  return {};
}

}  // namespace sapphirebank
