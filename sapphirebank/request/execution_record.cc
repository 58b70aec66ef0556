#include "sapphirebank/request/execution_record.h"

namespace sapphirebank {

std::string_view EvidenceName(NotRunEvidence evidence) {
  switch (evidence) {
    case NotRunEvidence::kNothingSent:
      return "nothing_sent";
    case NotRunEvidence::kServerRejected:
      return "server_rejected";
    case NotRunEvidence::kMisdirected:
      return "misdirected";
    case NotRunEvidence::kHostRefused:
      return "host_refused";
    case NotRunEvidence::kNone:
      break;
  }
  return "none";
}

}  // namespace sapphirebank
