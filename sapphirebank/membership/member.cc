#include "sapphirebank/membership/member.h"

#include <array>

namespace sapphirebank {
namespace {

constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect",
                                                         "failed", "left"};
constexpr std::array<std::string_view, 10> kEventNames = {
    "member_joined",  "member_restarted", "member_changed", "member_suspected",
    "member_refuted", "member_failed",    "member_left",    "host_id_conflict",
    "host_isolated",  "host_reconnected"};

}  // namespace

std::string_view MemberStateName(MemberState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string_view MemberEventName(MemberEventKind kind) {
  return kEventNames.at(static_cast<std::size_t>(kind));
}

}  // namespace sapphirebank
