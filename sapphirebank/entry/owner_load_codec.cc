#include "sapphirebank/entry/owner_load_codec.h"

#include <string>

namespace sapphirebank {

using nlohmann::json;

void to_json(json& out, const OwnerLoad& load) {
  out = json::array({load.host.value(), ToString(load.forwards),
                     load.service.value(), load.zone.value(), load.free_slots,
                     load.usable_slots, load.waiting});
}

Result<OwnerLoad> OwnerLoadFromJson(const json& in) {
  try {
    OwnerLoad load;
    load.host = HostId(in.at(0).get<std::string>());
    const auto forwards = EndpointFromString(in.at(1).get<std::string>());
    if (!forwards) return tl::unexpected(forwards.error());
    load.forwards = *forwards;
    load.service = ServiceId(in.at(2).get<std::string>());
    load.zone = ZoneId(in.at(3).get<std::string>());
    load.free_slots = in.at(4).get<std::uint32_t>();
    load.usable_slots = in.at(5).get<std::uint32_t>();
    load.waiting = in.at(6).get<std::uint32_t>();
    return load;
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                std::string("malformed owner load: ") + e.what());
  }
}

}  // namespace sapphirebank
