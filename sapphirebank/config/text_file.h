#pragma once

#include <string>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Returns the whole content of a file. Fails with kInvalidSettings and names
// the file when it cannot be read.
Result<std::string> ReadTextFile(const std::string& path);

}  // namespace sapphirebank
