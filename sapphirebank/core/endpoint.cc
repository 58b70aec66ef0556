#include "sapphirebank/core/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace sapphirebank {

std::string ToString(const Endpoint& endpoint) {
  if (endpoint.ip.find(':') == std::string::npos) {
    return fmt::format("{}:{}", endpoint.ip, endpoint.port);
  }
  return fmt::format("[{}]:{}", endpoint.ip, endpoint.port);
}

bool IsIpNumber(const std::string& text) {
  in6_addr address{};
  return ::inet_pton(AF_INET, text.c_str(), &address) == 1 ||
         ::inet_pton(AF_INET6, text.c_str(), &address) == 1;
}

Result<Endpoint> EndpointFromString(std::string_view text) {
  const auto colon = text.rfind(':');
  Endpoint endpoint;
  const char* end = text.data() + text.size();
  if (colon != std::string_view::npos && colon > 0) {
    const auto parsed =
        std::from_chars(text.data() + colon + 1, end, endpoint.port);
    std::string_view ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
      ip = ip.substr(1, ip.size() - 2);
    }
    endpoint.ip = std::string(ip);
    if (parsed.ec == std::errc() && parsed.ptr == end) return endpoint;
  }
  return Fail(ErrorKind::kMalformedRequest,
              fmt::format("\"{}\" is not ip:port", text));
}

}  // namespace sapphirebank
