#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace sapphirebank {

// How an assignment ended, as far as it concerns the server.
enum class AssignmentOutcome : std::uint8_t {
  kServed,
  // The server failed the request or could not be reached.
  kFailed,
  // The result says nothing about the server's health.
  kInconclusive,
  // The server answered that it did not run the request.
  kRejected,
};

// Writes an outcome to the message that ends an assignment. Hubs of earlier
// builds read a rejection as inconclusive.
void WriteOutcome(AssignmentOutcome outcome, nlohmann::json& message);

// Reads the outcome from a message that ends an assignment. Throws
// nlohmann::json::exception or std::out_of_range for malformed input.
AssignmentOutcome ReadOutcome(const nlohmann::json& message);

}  // namespace sapphirebank
