#include "sapphirebank/entry/ownership_keys.h"

#include <charconv>

namespace sapphirebank {
namespace {

constexpr std::string_view kBackendPrefix = "backend:";
constexpr std::string_view kServicePrefix = "service:";
constexpr std::string_view kRatePrefix = "rate:";

}  // namespace

std::string BackendOwnershipKey(const BackendKey& key) {
  return std::string(kBackendPrefix) + key.service.value() + ":" +
         key.zone.value();
}

std::string ServiceOwnershipKey(const ServiceId& service) {
  return std::string(kServicePrefix) + service.value();
}

std::optional<BackendKey> BackendKeyOf(std::string_view ownership_key) {
  if (!ownership_key.starts_with(kBackendPrefix)) return std::nullopt;
  ownership_key.remove_prefix(kBackendPrefix.size());
  const auto colon = ownership_key.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  return BackendKey{ServiceId(ownership_key.substr(0, colon)),
                    ZoneId(ownership_key.substr(colon + 1))};
}

std::optional<ServiceId> ServiceOf(std::string_view ownership_key) {
  if (!ownership_key.starts_with(kServicePrefix)) return std::nullopt;
  return ServiceId(ownership_key.substr(kServicePrefix.size()));
}

std::optional<std::uint32_t> RateBucketOf(std::string_view ownership_key) {
  if (!ownership_key.starts_with(kRatePrefix)) return std::nullopt;
  ownership_key.remove_prefix(kRatePrefix.size());
  std::uint32_t bucket = 0;
  const char* end = ownership_key.data() + ownership_key.size();
  const auto parsed = std::from_chars(ownership_key.data(), end, bucket);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return bucket;
}

std::vector<std::string> OwnershipKeys(const Declarations& declarations,
                                       const RateSettings& rates) {
  std::vector<std::string> keys;
  for (const ServiceDeclaration& service : declarations.services) {
    keys.push_back(ServiceOwnershipKey(service.id));
    for (const ZoneDeclaration& zone : declarations.zones) {
      keys.push_back(BackendOwnershipKey({service.id, zone.id}));
    }
  }
  for (std::uint32_t bucket = 0; bucket < rates.buckets; ++bucket) {
    keys.push_back(RateKey(bucket));
  }
  return keys;
}

}  // namespace sapphirebank
