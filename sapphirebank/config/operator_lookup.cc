#include "sapphirebank/config/operator_lookup.h"

namespace sapphirebank {

std::optional<std::string> OperatorOfDigest(
    const Declarations& declarations, std::string_view sha256,
    std::string_view first_operator_sha256) {
  if (sha256.empty()) return std::nullopt;
  for (const OperatorDeclaration& declaration : declarations.operators) {
    if (declaration.sha256 == sha256) return declaration.id;
  }
  if (declarations.operators.empty() && sha256 == first_operator_sha256) {
    return std::string(kFirstOperator);
  }
  return std::nullopt;
}

}  // namespace sapphirebank
