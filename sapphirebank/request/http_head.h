#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// One header field of a message.
struct HeaderField {
  std::string name;  // Lower case.
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

// Header fields in the order of arrival.
using HeaderFields = std::vector<HeaderField>;

// Returns the value of the first field called `name` (lower case), or an empty
// view when there is none.
std::string_view FieldValue(const HeaderFields& fields, std::string_view name);

// Checks the raw header section of a request, from the request line to the
// empty line, for anything that enables request smuggling (RFC 9112, section
// 11.2), where two HTTP parsers disagree about the end of a message: folded
// lines, whitespace before a colon, repeated or malformed Content-Length,
// Content-Length together with Transfer-Encoding, and any transfer coding other
// than a single "chunked". Fails with kMalformedRequest and names the line.
Result<void> CheckRequestHead(std::string_view head);

// Returns whether the field `name` (lower case) is hop-by-hop and must not be
// forwarded (RFC 9110, section 7.6.1).
bool IsHopByHop(std::string_view name);

// Removes the hop-by-hop fields, the fields that Connection lists, and all
// fields with kFleetFieldPrefix, which only processes of the fleet may set.
void StripConnectionFields(HeaderFields& fields);

// Removes a caller's `key` from the fields and the request target: the field
// `key_field`, and any field or query parameter whose value contains the key,
// plain or percent-encoded.
void StripKey(std::string_view key_field, std::string_view key,
              HeaderFields& fields, std::string& target);

// Prefix (lower case) of the fields that processes of the fleet and backend
// servers exchange about a request.
inline constexpr std::string_view kFleetFieldPrefix = "x-sapphirebank-";

}  // namespace sapphirebank
