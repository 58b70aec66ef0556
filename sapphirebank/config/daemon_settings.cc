#include "sapphirebank/config/daemon_settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <utility>

#include "sapphirebank/config/object_reader.h"
#include "sapphirebank/config/strict_json.h"

namespace sapphirebank {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr std::string_view kLoopback = "127.0.0.1";
constexpr Range<std::uint32_t> kPortRange = {1, 65535};
constexpr Range<std::uint32_t> kConnectionsRange = {1, 1'000'000};
constexpr Range<std::uint64_t> kHeaderRange = {1 << 10, 1 << 20};
constexpr Range<Duration> kTimeoutRange = {milliseconds(100), hours(1)};
constexpr Range<std::uint64_t> kMemoryRange = {1 << 20, 1ULL << 36U};
constexpr Range<std::uint32_t> kThreadsRange = {1, 256};
constexpr Range<double> kShareRange = {0, 1};
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::string_view kControlData = "sapphirebank-data";

constexpr std::uint16_t kEntryCallersPort = 7070;
constexpr std::uint16_t kEntryFleetPort = 7071;
constexpr std::uint16_t kEntryAnnouncementsPort = 7072;
constexpr std::uint16_t kEntryMetricsPort = 7073;
constexpr std::uint16_t kEntryForwardsPort = 7074;
constexpr std::uint16_t kControlOperatorsPort = 7080;
constexpr std::uint16_t kControlFleetPort = 7081;
constexpr std::uint16_t kControlMetricsPort = 7083;

// Indexed by HostRole.
const std::vector<std::string>& RoleNames() {
  static const std::vector<std::string> names = {"entry", "control"};
  return names;
}

const std::vector<std::string>& LevelNames() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                                 LogLevel::kWarning, LogLevel::kError}) {
      all.emplace_back(LogLevelName(level));
    }
    return all;
  }();
  return names;
}

Endpoint Local(std::uint16_t port) {
  return Endpoint{std::string(kLoopback), port};
}

bool IsIpNumber(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes = {};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

// Returns whether `ip` stands for all addresses of a host.
bool IsAnyAddress(std::string_view ip) { return ip == "0.0.0.0" || ip == "::"; }

bool IsHeaderByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

void ReadEndpointMembers(ObjectReader& reader, Endpoint& endpoint,
                         Presence presence) {
  std::uint32_t port = endpoint.port;
  reader.Text("ip", endpoint.ip, presence);
  reader.Count("port", port, kPortRange, presence);
  endpoint.port = static_cast<std::uint16_t>(port);
  if (endpoint.ip.empty() || IsIpNumber(endpoint.ip)) return;
  reader.Report("ip", fmt::format("is \"{}\", expected an IP number such as "
                                  "\"10.0.3.7\"",
                                  endpoint.ip));
}

void ReadEndpoint(ObjectReader& reader, std::string_view name,
                  Endpoint& endpoint) {
  reader.Object(name, [&](ObjectReader& member) {
    ReadEndpointMembers(member, endpoint, Presence::kOptional);
  });
}

void ReadCallers(ObjectReader& reader, ListenerSettings& listeners) {
  reader.Object("callers", [&](ObjectReader& member) {
    ReadEndpointMembers(member, listeners.callers, Presence::kOptional);
    member.Object("tls", [&](ObjectReader& tls) {
      TlsFiles files;
      tls.Text("certificate_file", files.certificate_file, Presence::kRequired);
      tls.Text("key_file", files.key_file, Presence::kRequired);
      listeners.callers_tls = std::move(files);
    });
  });
}

// Reports a member that the role has no use for.
void RefuseMember(ObjectReader& reader, std::string_view name,
                  std::string_view role) {
  if (!reader.Has(name)) return;
  reader.Report(name,
                fmt::format("is set, expected only in role \"{}\"", role));
}

void ReadListeners(ObjectReader& reader, HostRole role,
                   ListenerSettings& listeners) {
  ReadCallers(reader, listeners);
  ReadEndpoint(reader, "announcements", listeners.announcements);
  ReadEndpoint(reader, "forwards", listeners.forwards);
  ReadEndpoint(reader, "fleet", listeners.fleet);
  ReadEndpoint(reader, "datagrams", listeners.datagrams);
  ReadEndpoint(reader, "operators", listeners.operators);
  ReadEndpoint(reader, "metrics", listeners.metrics);
  if (role == HostRole::kEntry) {
    RefuseMember(reader, "operators", "control");
  } else {
    RefuseMember(reader, "callers", "entry");
    RefuseMember(reader, "announcements", "entry");
    RefuseMember(reader, "forwards", "entry");
  }
}

std::vector<PeerSettings> ReadPeers(ObjectReader& reader,
                                    std::string_view name) {
  std::vector<PeerSettings> peers;
  std::set<std::string> ids;
  reader.Objects(name, [&](ObjectReader& member) {
    std::string id;
    PeerSettings peer;
    member.Name("id", id, Presence::kRequired);
    ReadEndpointMembers(member, peer.endpoint, Presence::kRequired);
    peer.id = HostId(id);
    if (!id.empty() && !ids.insert(id).second) {
      member.Report("id", fmt::format("is \"{}\" again, expected each host "
                                      "once",
                                      id));
    }
    peers.push_back(std::move(peer));
  });
  return peers;
}

void ReadAdvertised(ObjectReader& reader, std::vector<Endpoint>& advertised) {
  reader.Objects("advertised", [&](ObjectReader& member) {
    Endpoint endpoint;
    ReadEndpointMembers(member, endpoint, Presence::kRequired);
    if (IsAnyAddress(endpoint.ip)) {
      member.Report("ip",
                    "stands for all addresses, expected one that "
                    "callers can connect to");
    }
    advertised.push_back(std::move(endpoint));
  });
}

void ReadVoters(ObjectReader& reader, std::vector<HostId>& voters) {
  std::vector<std::string> names;
  reader.Texts("lease_voters", names);
  for (const std::string& name : names) {
    if (!IsName(name)) {
      reader.Report("lease_voters",
                    fmt::format("has \"{}\", expected host ids", name));
    }
    voters.emplace_back(name);
  }
}

void ReadSecret(ObjectReader& reader, DaemonSettings& settings) {
  std::string secret;
  std::string file;
  reader.Text("fleet_secret", secret);
  reader.Text("fleet_secret_file", file);
  if (!secret.empty() && !file.empty()) {
    reader.Report("fleet_secret",
                  "stands beside fleet_secret_file, expected "
                  "one of them");
  }
  if (!secret.empty() && secret.size() < kMinSecretBytes) {
    reader.Report(
        "fleet_secret",
        fmt::format("is short, expected at least {} bytes", kMinSecretBytes));
  }
  if (!secret.empty()) settings.fleet_secret = std::move(secret);
  if (!file.empty()) settings.fleet_secret_file = std::move(file);
}

void ReadLimits(ObjectReader& reader, LimitSettings& limits) {
  reader.Count("max_caller_connections", limits.max_caller_connections,
               kConnectionsRange);
  reader.Size("header_bytes", limits.header_bytes, kHeaderRange);
  reader.Length("idle_timeout", limits.idle_timeout, kTimeoutRange);
  reader.Length("body_timeout", limits.body_timeout, kTimeoutRange);
  reader.Size("answer_memory", limits.answer_memory, kMemoryRange);
  reader.Count("worker_threads", limits.worker_threads, kThreadsRange);
}

void ReadLog(ObjectReader& reader, LogSettings& log) {
  std::size_t level = LevelNames().size();
  reader.Choice("level", level, LevelNames());
  reader.Number("decision_share", log.decision_share, kShareRange);
  if (level < LevelNames().size()) log.level = LevelNames()[level];
}

void ReadKeyHeader(ObjectReader& reader, std::string& header) {
  reader.Text("key_header", header);
  std::transform(
      header.begin(), header.end(), header.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (std::all_of(header.begin(), header.end(), IsHeaderByte)) return;
  reader.Report("key_header", fmt::format("is \"{}\", expected the name of an "
                                          "HTTP header",
                                          header));
}

void ReadHosts(ObjectReader& reader, DaemonSettings& settings) {
  std::vector<PeerSettings> control_hosts = ReadPeers(reader, "control_hosts");
  if (reader.Has("control_hosts")) {
    settings.control_hosts = std::move(control_hosts);
  }
  settings.seeds = ReadPeers(reader, "seeds");
  ReadVoters(reader, settings.lease_voters);
  ReadAdvertised(reader, settings.advertised);
}

// Reports settings that do not fit together.
void CheckTogether(ObjectReader& reader, const DaemonSettings& settings) {
  const std::size_t count = settings.control_hosts.size();
  if (count != 1 && count != 3 && count != 5) {
    reader.Report("control_hosts",
                  fmt::format("has {} hosts, expected 1, 3 or 5", count));
  }
  const auto is_self = [&](const PeerSettings& peer) {
    return peer.id == settings.host_id;
  };
  const bool listed = std::any_of(settings.control_hosts.begin(),
                                  settings.control_hosts.end(), is_self);
  if (settings.role == HostRole::kControl && !listed) {
    reader.Report("control_hosts",
                  fmt::format("does not have this host, \"{}\"",
                              settings.host_id.value()));
  }
  if (settings.role == HostRole::kEntry && listed) {
    reader.Report("control_hosts",
                  fmt::format("has this host, \"{}\", whose role is "
                              "\"entry\"",
                              settings.host_id.value()));
  }
  if (settings.role == HostRole::kEntry) {
    RefuseMember(reader, "data_folder", "control");
    RefuseMember(reader, "first_operator_sha256", "control");
  }
  if (settings.role == HostRole::kEntry && settings.advertised.empty() &&
      IsAnyAddress(settings.listeners.callers.ip)) {
    reader.Report("advertised",
                  "is missing, expected the addresses for "
                  "callers, as the callers' listener has all");
  }
}

// Reports two TCP listeners on one endpoint.
void CheckPorts(ObjectReader& reader, const ListenerSettings& listeners) {
  const auto named = std::to_array<std::pair<const char*, const Endpoint*>>({
      {"callers", &listeners.callers},
      {"announcements", &listeners.announcements},
      {"forwards", &listeners.forwards},
      {"fleet", &listeners.fleet},
      {"operators", &listeners.operators},
      {"metrics", &listeners.metrics},
  });
  for (std::size_t i = 0; i < named.size(); ++i) {
    if (named[i].second->port == 0) continue;
    for (std::size_t j = 0; j < i; ++j) {
      if (*named[i].second != *named[j].second) continue;
      reader.Report("listeners",
                    fmt::format("has {}:{} for both {} and {}, expected one "
                                "port each",
                                named[i].second->ip, named[i].second->port,
                                named[j].first, named[i].first));
    }
  }
}

// Fills in what follows from other settings.
void Complete(DaemonSettings& settings) {
  if (settings.role == HostRole::kEntry) {
    if (settings.advertised.empty()) {
      settings.advertised = {settings.listeners.callers};
    }
    if (settings.lease_voters.empty()) {
      settings.lease_voters = {settings.host_id};
    }
  }
}

DaemonSettings Bare(HostRole role) {
  DaemonSettings settings;
  settings.role = role;
  settings.zone = ZoneId("zone-1");
  settings.control_hosts = {
      PeerSettings{HostId("control-1"), Local(kControlFleetPort)}};
  ListenerSettings& listeners = settings.listeners;
  if (role == HostRole::kControl) {
    settings.host_id = HostId("control-1");
    settings.data_folder = kControlData;
    listeners.operators = Local(kControlOperatorsPort);
    listeners.fleet = Local(kControlFleetPort);
    listeners.datagrams = Local(kControlFleetPort);
    listeners.metrics = Local(kControlMetricsPort);
  } else {
    settings.host_id = HostId("entry-1");
    listeners.callers = Local(kEntryCallersPort);
    listeners.fleet = Local(kEntryFleetPort);
    listeners.datagrams = Local(kEntryFleetPort);
    listeners.announcements = Local(kEntryAnnouncementsPort);
    listeners.forwards = Local(kEntryForwardsPort);
    listeners.metrics = Local(kEntryMetricsPort);
  }
  return settings;
}

DaemonSettings ReadSettings(ObjectReader& reader) {
  auto role = static_cast<std::size_t>(HostRole::kEntry);
  reader.Choice("role", role, RoleNames());
  DaemonSettings settings = Bare(static_cast<HostRole>(role));
  std::string host_id = settings.host_id.value();
  std::string zone = settings.zone.value();
  reader.Name("host_id", host_id);
  reader.Name("zone", zone);
  settings.host_id = HostId(host_id);
  settings.zone = ZoneId(zone);
  reader.Text("data_folder", settings.data_folder);
  ReadSecret(reader, settings);
  reader.Digest("first_operator_sha256", settings.first_operator_sha256);
  reader.Object("listeners", [&](ObjectReader& member) {
    ReadListeners(member, settings.role, settings.listeners);
  });
  ReadHosts(reader, settings);
  reader.Object("limits", [&](ObjectReader& member) {
    ReadLimits(member, settings.limits);
  });
  ReadKeyHeader(reader, settings.key_header);
  reader.Object("log",
                [&](ObjectReader& member) { ReadLog(member, settings.log); });
  reader.Finish();
  CheckTogether(reader, settings);
  CheckPorts(reader, settings.listeners);
  Complete(settings);
  return settings;
}

}  // namespace

DaemonSettings DaemonSettings::Default(HostRole role) {
  DaemonSettings settings = Bare(role);
  Complete(settings);
  return settings;
}

Result<DaemonSettings> DaemonSettings::Parse(std::string_view text,
                                             std::string_view file_name) {
  const auto json =
      ParseStrictJson(text, file_name, ErrorKind::kInvalidSettings);
  if (!json) return tl::unexpected(json.error());
  Problems problems;
  ObjectReader reader(*json, "", problems);
  DaemonSettings settings = ReadSettings(reader);
  if (problems.empty()) return settings;
  const Error error = problems.AsError(ErrorKind::kInvalidSettings);
  return Fail(error.kind, fmt::format("{}: {}", file_name, error.detail));
}

}  // namespace sapphirebank
