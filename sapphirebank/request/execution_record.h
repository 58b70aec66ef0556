#pragma once

#include <string_view>

namespace sapphirebank {

// Why an attempt of a request is known not to have run, and never to run.
enum class NotRunEvidence {
  kNone,            // It may have run.
  kNothingSent,     // No byte of it was passed to the system for sending.
  kServerRejected,  // The backend server's answer says so.
  kMisdirected,     // Another backend server has the address and rejected it.
  kHostRefused,     // The entry host that it was sent to says so.
};

// Returns the text that stands for `evidence` in logs.
std::string_view EvidenceName(NotRunEvidence evidence);

}  // namespace sapphirebank
