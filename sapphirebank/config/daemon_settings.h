#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/log_level.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Another host of the fleet and where it can be reached.
struct PeerSettings {
  HostId id;
  Endpoint endpoint;

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

// Files in PEM form for serving TLS.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

// The work of a daemon.
enum class HostRole { kEntry, kControl };

// Where a daemon listens. Endpoints that its role does not use are unset.
struct ListenerSettings {
  Endpoint callers;  // Entry: HTTP of callers.
  std::optional<TlsFiles> callers_tls;
  Endpoint announcements;  // Entry: HTTP of backend servers.
  Endpoint forwards;       // Entry: HTTP of other entry hosts.
  Endpoint fleet;          // Links between hosts, TCP.
  Endpoint datagrams;      // Membership, leases and shares, UDP.
  Endpoint operators;      // Control: HTTP of operators.
  Endpoint metrics;        // HTTP of the metrics' collector.

  friend bool operator==(const ListenerSettings&,
                         const ListenerSettings&) = default;
};

// Bounds on what a daemon takes on.
struct LimitSettings {
  std::uint32_t max_caller_connections = 2000;
  std::uint64_t header_bytes = 16 << 10;
  Duration idle_timeout = std::chrono::seconds(60);
  Duration body_timeout = std::chrono::seconds(30);
  // Bytes of answers held until they are whole, over all requests.
  std::uint64_t answer_memory = 64 << 20;
  std::uint32_t worker_threads = 2;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

struct LogSettings {
  // Least important lines that are written: "debug", "info", "warning" or
  // "error".
  std::string level = "info";
  // Share of the lines for decisions that is written, in [0, 1].
  double decision_share = 1;

  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

// What one daemon is told when it starts. The defaults run on 127.0.0.1; an
// entry host and a control host can run on one machine with them.
struct DaemonSettings {
  HostId host_id;
  ZoneId zone;
  HostRole role = HostRole::kEntry;
  std::string data_folder;  // Control only.
  // Secret by which hosts prove that they belong together. Without one, links
  // between hosts are not authenticated.
  std::optional<std::string> fleet_secret;
  std::optional<std::string> fleet_secret_file;
  // Digest of an operator's key that counts while no operator is declared, so
  // that the first declarations can be applied. Control only.
  std::string first_operator_sha256;
  ListenerSettings listeners;
  // What callers are told to connect to; the callers' listener by default.
  std::vector<Endpoint> advertised;
  std::vector<PeerSettings> control_hosts;
  std::vector<PeerSettings> seeds;  // Datagram endpoints to join by.
  std::vector<HostId> lease_voters;
  LimitSettings limits;
  std::string key_header = "x-api-key";  // In lower case.
  LogSettings log;

  // Returns the settings of a role without a file.
  static DaemonSettings Default(HostRole role);

  // Reads JSON with comments. Fails with kInvalidSettings; the detail names the
  // file and, for each fault, line and column or the JSON pointer, the cause
  // and what was expected.
  static Result<DaemonSettings> Parse(std::string_view text,
                                      std::string_view file_name);

  friend bool operator==(const DaemonSettings&,
                         const DaemonSettings&) = default;
};

}  // namespace sapphirebank
