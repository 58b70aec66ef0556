#pragma once

#include <string>
#include <string_view>

#include "sapphirebank/core/error.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// Serializes a complete, not streamed answer as a CBOR array of status, fields
// and body, to be stored with its idempotency key.
std::string EncodeAnswer(const HttpAnswer& answer);

// Deserializes the result of EncodeAnswer(). Fails with kMalformedRequest.
Result<HttpAnswer> DecodeAnswer(std::string_view bytes);

}  // namespace sapphirebank
