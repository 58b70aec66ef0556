#include "sapphirebank/backend/verdict.h"

namespace sapphirebank {

const char* VerdictCauseName(VerdictCause cause) {
  switch (cause) {
    case VerdictCause::kFailures:
      return "failures";
    case VerdictCause::kSlow:
      return "slow";
    case VerdictCause::kStuck:
      return "stuck";
    case VerdictCause::kInherited:
      return "inherited";
  }
  return "unknown";
}

}  // namespace sapphirebank
