#pragma once

#include <string>
#include <string_view>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// Addresses of an entry host, announced in its membership metadata.
struct HostContact {
  Endpoint callers;  // For requests of callers.
  Endpoint links;    // For links of other hosts.

  friend bool operator==(const HostContact&, const HostContact&) = default;
};

// Encodes `contact` as membership metadata.
std::string ToMetadata(const HostContact& contact);

// Decodes the result of ToMetadata(). Fails with kMalformedRequest.
Result<HostContact> HostContactFromMetadata(std::string_view metadata);

}  // namespace sapphirebank
