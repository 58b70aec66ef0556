#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// An address by IP number.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Returns "ip:port", with brackets around an IPv6 number.
std::string ToString(const Endpoint& endpoint);

// Returns whether `text` is an IP number, version 4 or 6.
bool IsIpNumber(const std::string& text);

// Reads what ToString() wrote. Fails with kMalformedRequest.
Result<Endpoint> EndpointFromString(std::string_view text);

}  // namespace sapphirebank
