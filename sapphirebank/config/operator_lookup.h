#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/config/declarations.h"

namespace sapphirebank {

// Name under which changes are recorded that were made with the first
// operator's key of the settings.
inline constexpr std::string_view kFirstOperator = "first-operator";

// Returns the id of the operator whose key has the digest `sha256`, or nothing.
// While `declarations` has no operators, the digest `first_operator_sha256` of
// the settings counts, unless it is empty.
std::optional<std::string> OperatorOfDigest(
    const Declarations& declarations, std::string_view sha256,
    std::string_view first_operator_sha256);

}  // namespace sapphirebank
