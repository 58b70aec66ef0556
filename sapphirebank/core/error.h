#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "sapphirebank/core/error_kind.h"

namespace sapphirebank {

// A failure: its kind from the closed list and a sentence for a person that
// names the file, field or peer and the cause.
struct Error {
  Error() = default;
  // Not an aggregate: g++ 12 destroys braced temporaries of aggregates twice
  // in a statement that suspends a coroutine.
  Error(ErrorKind error_kind, std::string error_detail)
      : kind(error_kind), detail(std::move(error_detail)) {}

  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;

  friend bool operator==(const Error&, const Error&) = default;
};

// Either a value or the Error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

// Returns a failure for use as the Result of a function.
inline tl::unexpected<Error> Fail(ErrorKind kind, std::string detail) {
  return tl::unexpected<Error>(Error{kind, std::move(detail)});
}

}  // namespace sapphirebank
