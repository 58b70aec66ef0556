#include "sapphirebank/membership/membership_settings.h"

#include <fmt/format.h>

#include <string_view>

#include "sapphirebank/membership/member.h"

namespace sapphirebank {
namespace {

// Minimum packet limit, in bytes. A smaller packet could not hold the largest
// update.
constexpr std::size_t kSmallestPacket = 600;

Result<void> CheckText(std::string_view name, std::string_view text,
                       std::size_t limit, bool required = true) {
  if (required && text.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("membership: \"{}\" is missing", name));
  }
  if (text.size() > limit) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("membership: \"{}\" has {} bytes, at most {} are "
                            "allowed",
                            name, text.size(), limit));
  }
  return {};
}

Result<void> CheckPeriods(const MembershipSettings& settings) {
  const bool ordered = settings.probe_timeout > Duration::zero() &&
                       settings.probe_timeout < settings.probe_period;
  if (!ordered) {
    return Fail(ErrorKind::kInvalidSettings,
                "membership: the probe timeout must be positive and shorter "
                "than the probe period");
  }
  if (settings.sync_period <= Duration::zero() ||
      settings.contact_period <= Duration::zero()) {
    return Fail(ErrorKind::kInvalidSettings,
                "membership: every period must be positive");
  }
  if (settings.suspicion_factor <= 0 || settings.suspicion_max_factor < 1) {
    return Fail(ErrorKind::kInvalidSettings,
                "membership: the suspicion factor must be positive, the "
                "largest one at least 1");
  }
  if (settings.packet_limit < kSmallestPacket) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("membership: packets of {} bytes are too small, "
                            "at least {} are needed",
                            settings.packet_limit, kSmallestPacket));
  }
  return {};
}

}  // namespace

Result<void> CheckMembershipSettings(const MembershipSettings& settings) {
  const Result<void> checks[] = {
      CheckText("id", settings.id.value(), kMaxMemberTextBytes),
      CheckText("zone", settings.zone.value(), kMaxMemberTextBytes),
      CheckText("address", settings.address, kMaxMemberTextBytes),
      CheckText("metadata", settings.metadata, kMaxMetadataBytes, false),
      CheckPeriods(settings)};
  for (const auto& check : checks) {
    if (!check) return check;
  }
  return {};
}

}  // namespace sapphirebank
