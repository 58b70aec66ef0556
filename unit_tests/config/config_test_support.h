#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "sapphirebank/config/declarations_document.h"

namespace sapphirebank {

// Returns the bytes of a file of the repository.
inline std::string ReadRepositoryFile(const std::string& name) {
  const auto path = std::filesystem::path(TEST_SOURCE_DIR) / name;
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns small declarations with something in every section.
inline Declarations SmallDeclarations() {
  const std::string text = ReadRepositoryFile("examples/declarations.jsonc");
  return ParseDeclarations(text, "examples/declarations.jsonc").value();
}

}  // namespace sapphirebank
