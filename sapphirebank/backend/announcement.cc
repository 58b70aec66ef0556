#include "sapphirebank/backend/announcement.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <string_view>

namespace sapphirebank {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint32_t kMaxSlots = 1024;
constexpr std::uint32_t kMaxConnections = 1 << 20;

Result<void> CheckName(std::string_view field, std::string_view value) {
  if (!value.empty() && value.size() <= kMaxNameBytes) return {};
  return Fail(ErrorKind::kMalformedRequest,
              fmt::format("announcement field \"{}\": expected 1 to {} bytes, "
                          "got {}",
                          field, kMaxNameBytes, value.size()));
}

Result<void> CheckRange(std::string_view field, std::uint32_t value,
                        std::uint32_t max) {
  if (value >= 1 && value <= max) return {};
  return Fail(ErrorKind::kMalformedRequest,
              fmt::format("announcement field \"{}\": expected 1 to {}, got {}",
                          field, max, value));
}

Result<void> CheckAddress(const BackendAddress& address) {
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address(address.ip, code);
  if (code || ip.is_unspecified() || ip.is_multicast()) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("announcement field \"ip\": expected the literal "
                            "address of one host, got \"{}\"",
                            address.ip));
  }
  if (address.port != 0) return {};
  return Fail(ErrorKind::kMalformedRequest,
              "announcement field \"port\": expected 1 to 65535, got 0");
}

}  // namespace

Result<void> CheckAnnouncement(const Announcement& announcement) {
  return CheckName("backend", announcement.backend.value())
      .and_then(
          [&] { return CheckName("process_id", announcement.process_id); })
      .and_then([&] {
        return CheckName("service", announcement.key.service.value());
      })
      .and_then(
          [&] { return CheckName("zone", announcement.key.zone.value()); })
      .and_then([&] { return CheckAddress(announcement.address); })
      .and_then(
          [&] { return CheckRange("slots", announcement.slots, kMaxSlots); })
      .and_then([&] {
        return CheckRange("max_connections", announcement.max_connections,
                          kMaxConnections);
      });
}

const char* AnnounceDecisionName(AnnounceDecision decision) {
  switch (decision) {
    case AnnounceDecision::kAdded:
      return "added";
    case AnnounceDecision::kRenewed:
      return "renewed";
    case AnnounceDecision::kChanged:
      return "changed";
    case AnnounceDecision::kNewProcess:
      return "new_process";
    case AnnounceDecision::kDraining:
      return "draining";
    case AnnounceDecision::kResumed:
      return "resumed";
    case AnnounceDecision::kStale:
      return "stale";
    case AnnounceDecision::kConflict:
      return "conflict";
    case AnnounceDecision::kNotOwned:
      return "not_owned";
  }
  return "unknown";
}

}  // namespace sapphirebank
