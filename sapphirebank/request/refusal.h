#pragma once

#include <string>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// Media type of the body of a refusal (RFC 9457).
inline constexpr std::string_view kProblemMediaType =
    "application/problem+json";

// Returns the problem details (RFC 9457) for the refusal of request `id`: the
// error kind with its HTTP status and title, the detail, whether the request
// was run, and the delay in milliseconds after which a retry is worthwhile, if
// any.
std::string RefusalBody(const Error& error, const RequestId& id);

}  // namespace sapphirebank
