#include "sapphirebank/fleet/assignment_outcome.h"

#include <nlohmann/json.hpp>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {

void WriteOutcome(AssignmentOutcome outcome, nlohmann::json& message) {
  const bool is_rejected = outcome == AssignmentOutcome::kRejected;
  message["end"] = is_rejected ? AssignmentOutcome::kInconclusive : outcome;
  if (is_rejected) message["rejected"] = true;
}

AssignmentOutcome ReadOutcome(const nlohmann::json& message) {
  const auto outcome =
      ReadEnum(message.at("end"), AssignmentOutcome::kInconclusive);
  return message.value("rejected", false) ? AssignmentOutcome::kRejected
                                          : outcome;
}

}  // namespace sapphirebank
