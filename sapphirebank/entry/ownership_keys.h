#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/config/declarations.h"
#include "sapphirebank/rate/rate_settings.h"

namespace sapphirebank {

// Returns the ownership key of the backend servers of a service in a zone.
std::string BackendOwnershipKey(const BackendKey& key);

// Returns the ownership key of the health evaluation of a service, whose owner
// compares the service's backend servers.
std::string ServiceOwnershipKey(const ServiceId& service);

// Parses a key of BackendOwnershipKey(). Returns nothing for other keys.
std::optional<BackendKey> BackendKeyOf(std::string_view ownership_key);

// Parses a key of ServiceOwnershipKey(). Returns nothing for other keys.
std::optional<ServiceId> ServiceOf(std::string_view ownership_key);

// Returns the number of the rate bucket with this key. Returns nothing for
// other keys.
std::optional<std::uint32_t> RateBucketOf(std::string_view ownership_key);

// Returns all ownership keys for `declarations` and the rate buckets.
std::vector<std::string> OwnershipKeys(const Declarations& declarations,
                                       const RateSettings& rates);

}  // namespace sapphirebank
