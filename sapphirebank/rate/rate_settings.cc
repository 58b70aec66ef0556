#include "sapphirebank/rate/rate_settings.h"

#include <fmt/format.h>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {

std::uint32_t RateBucket(const WorkspaceId& workspace,
                         const RateSettings& settings) {
  return static_cast<std::uint32_t>(StableHash(workspace.value()) %
                                    settings.buckets);
}

std::string RateKey(std::uint32_t bucket) {
  return fmt::format("rate:{}", bucket);
}

RateLimit ReservePerHost(const RateLimit& limit, const RateSettings& settings) {
  if (settings.reserve <= 0 || settings.reserve_hosts == 0) return {};
  const double share = settings.reserve / settings.reserve_hosts;
  if (limit.burst * share < 1) return {};
  return {limit.rate * share, limit.burst * share};
}

RateLimit OwnerLimit(const RateLimit& limit, const RateSettings& settings) {
  const RateLimit reserved = ReservePerHost(limit, settings);
  return {limit.rate - reserved.rate * settings.reserve_hosts,
          limit.burst - reserved.burst * settings.reserve_hosts};
}

}  // namespace sapphirebank
