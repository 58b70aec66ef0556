#include "sapphirebank/entry/host_contact.h"

namespace sapphirebank {
namespace {

constexpr char kSeparator = ' ';

}  // namespace

std::string ToMetadata(const HostContact& contact) {
  return ToString(contact.callers) + kSeparator + ToString(contact.links);
}

Result<HostContact> HostContactFromMetadata(std::string_view metadata) {
  const auto gap = metadata.find(kSeparator);
  if (gap == std::string_view::npos) {
    return Fail(ErrorKind::kMalformedRequest,
                "membership metadata has only one address");
  }
  const auto callers = EndpointFromString(metadata.substr(0, gap));
  if (!callers) return tl::unexpected(callers.error());
  const auto links = EndpointFromString(metadata.substr(gap + 1));
  if (!links) return tl::unexpected(links.error());
  return HostContact{*callers, *links};
}

}  // namespace sapphirebank
