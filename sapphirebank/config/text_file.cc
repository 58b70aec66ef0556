#include "sapphirebank/config/text_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace sapphirebank {

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("{}: cannot be read", path));
  }
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

}  // namespace sapphirebank
