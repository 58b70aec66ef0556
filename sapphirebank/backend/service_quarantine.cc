#include "sapphirebank/backend/service_quarantine.h"

#include <array>
#include <string>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {
Fingerprint FingerprintOf(const ServiceId& service, std::string_view method,
                          std::string_view path, std::string_view body_digest) {
  Fingerprint fingerprint = 0;
  const std::array<std::string_view, 4> parts = {service.value(), method, path,
                                                 body_digest};
  for (const std::string_view part : parts) {
    fingerprint = StableHash(part, fingerprint);
  }
  return fingerprint == 0 ? 1 : fingerprint;
}

std::vector<BackendId> ServiceQuarantine::AddReport(
    Instant now, const WindowReport& report) {
  std::vector<BackendId> crashed_servers;
  for (const Fingerprint fingerprint : report.survived) {
    suspects_.erase(fingerprint);
  }
  for (const auto& crash : report.crashes) {
    for (const Fingerprint fingerprint : crash.running) {
      if (quarantined_.Contains(now, fingerprint)) {
        crashed_servers.push_back(crash.backend);
        continue;
      }
      const auto [suspect, is_new] = suspects_.try_emplace(
          fingerprint, Suspect{now + kSuspicionTime, crash.backend});
      if (is_new) continue;
      crashed_servers.push_back(suspect->second.crashed_server);
      crashed_servers.push_back(crash.backend);
      suspects_.erase(suspect);
      quarantined_.Add(now, fingerprint);
    }
  }
  quarantined_.Merge(now, report.quarantined);
  for (const Quarantine& quarantine : report.quarantined) {
    suspects_.erase(quarantine.fingerprint);
  }
  return crashed_servers;
}

std::vector<Fingerprint> ServiceQuarantine::Suspects() const {
  std::vector<Fingerprint> all;
  all.reserve(suspects_.size());
  for (const auto& [fingerprint, suspect] : suspects_) {
    all.push_back(fingerprint);
  }
  return all;
}

void ServiceQuarantine::Expire(Instant now) {
  std::erase_if(suspects_,
                [&](const auto& entry) { return entry.second.until <= now; });
  quarantined_.Expire(now);
}

}  // namespace sapphirebank
