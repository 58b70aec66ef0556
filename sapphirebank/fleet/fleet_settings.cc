#include "sapphirebank/fleet/fleet_settings.h"

#include <fmt/format.h>

#include "sapphirebank/config/object_reader.h"
#include "sapphirebank/config/strict_json.h"

namespace sapphirebank {
namespace {

constexpr std::uint32_t kHighestPort = 65535;
constexpr Range<Duration> kDurationRange = {std::chrono::milliseconds(1),
                                            std::chrono::hours(1)};

// Reads an address; `out` is unchanged if the text is missing or empty.
void ReadEndpoint(ObjectReader& reader, std::string_view name, Endpoint& out,
                  Presence presence) {
  std::string text;
  reader.Text(name, text, presence);
  if (text.empty()) return;
  auto endpoint = EndpointFromString(text);
  if (endpoint) {
    out = *endpoint;
  } else {
    reader.Report(name, endpoint.error().detail);
  }
}

constexpr std::size_t kBytesPerMb = std::size_t{1} << 20U;
constexpr std::uint32_t kMinMemoryMb = 32;
constexpr std::uint32_t kMaxMemoryMb = 1024 * 1024;

void ReadPort(ObjectReader& reader, std::string_view name, std::uint16_t& out) {
  std::uint32_t port = out;
  reader.Count(name, port, Range<std::uint32_t>{1, kHighestPort},
               Presence::kRequired);
  out = static_cast<std::uint16_t>(port);
}

void ReadListeners(ObjectReader& reader, FleetSettings& settings) {
  const bool is_entry = settings.role == FleetRole::kEntry;
  const auto entry_presence =
      is_entry ? Presence::kRequired : Presence::kOptional;
  const auto control_presence =
      is_entry ? Presence::kOptional : Presence::kRequired;
  ReadEndpoint(reader, "callers", settings.callers, entry_presence);
  ReadEndpoint(reader, "readiness", settings.readiness, entry_presence);
  ReadEndpoint(reader, "control", settings.control, control_presence);
  ReadEndpoint(reader, "directory", settings.directory, control_presence);
  Endpoint metrics;
  ReadEndpoint(reader, "metrics", metrics, Presence::kOptional);
  if (metrics.port != 0) settings.metrics = metrics;
  ReadPort(reader, "fleet_port", settings.fleet_port);
}

void ReadSeeds(ObjectReader& reader, FleetSettings& settings) {
  std::vector<std::string> texts;
  reader.Texts("seeds", texts);
  for (const std::string& text : texts) {
    auto endpoint = EndpointFromString(text);
    if (endpoint) {
      settings.seeds.push_back(*endpoint);
    } else {
      reader.Report("seeds", endpoint.error().detail);
    }
  }
}

}  // namespace

std::size_t FleetSettings::MaxAnswerBytes() const {
  // The other parts are request bodies, connections, and the view.
  constexpr std::size_t kParts = 4;
  return memory_mb * kBytesPerMb / kParts;
}

std::size_t FleetSettings::MaxTrailingLogBytes() const {
  // The log since the snapshot, copies of entries on their way to the disk and
  // to other control hosts, and several forms of the plan need the rest.
  constexpr std::size_t kParts = 16;
  return memory_mb * kBytesPerMb / kParts;
}

std::size_t FleetSettings::MaxPlanBytes() const {
  // A parsed plan takes about ten times its text, and the next one is read
  // while the last is in force.
  constexpr std::size_t kParts = 64;
  return memory_mb * kBytesPerMb / kParts;
}

std::size_t FleetSettings::MaxPendingPlanBytes() const {
  // Copies are made on the way to the log and to the other control hosts.
  constexpr std::size_t kParts = 8;
  return memory_mb * kBytesPerMb / kParts;
}

double FleetSettings::LinkRate() const {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return link_mbps * kBytesPerMegabit;
}

Result<FleetSettings> FleetSettings::Parse(std::string_view text,
                                           std::string_view file_name) {
  auto document = ParseStrictJson(text, file_name, ErrorKind::kInvalidSettings);
  if (!document) return tl::unexpected(document.error());
  FleetSettings settings;
  Problems problems;
  ObjectReader reader(*document, "", problems);
  std::size_t role = 0;
  reader.Choice("role", role, {"entry", "control"}, Presence::kRequired);
  settings.role = static_cast<FleetRole>(role);
  std::string host;
  std::string zone;
  reader.Text("host", host, Presence::kRequired);
  reader.Text("ip", settings.ip, Presence::kRequired);
  reader.Text("zone", zone, Presence::kRequired);
  settings.host = HostId(std::move(host));
  settings.zone = ZoneId(std::move(zone));
  reader.Object("listeners",
                [&](ObjectReader& inner) { ReadListeners(inner, settings); });
  ReadSeeds(reader, settings);
  reader.Flag("found_group", settings.found_group);
  reader.Text("data_folder", settings.data_folder,
              settings.role == FleetRole::kControl ? Presence::kRequired
                                                   : Presence::kOptional);
  reader.Text("fleet_secret", settings.fleet_secret);
  std::string level = "info";
  reader.Text("log_level", level);
  if (const auto parsed = LogLevelFromName(level)) {
    settings.log_level = *parsed;
  } else {
    reader.Report("log_level", parsed.error().detail);
  }
  ChangeLimits& limits = settings.change_limits;
  reader.Length("key_withdrawal", limits.key_withdrawal, kDurationRange);
  reader.Length("plan_change", limits.plan, kDurationRange);
  reader.Length("server_departure", limits.departure, kDurationRange);
  reader.Length("zone_change", limits.zone, kDurationRange);
  reader.Length("acknowledgement", limits.acknowledgement, kDurationRange);
  reader.Number("rollout_share", settings.rollout_share, Range<double>{0, 1});
  reader.Number("rollout_slack", settings.rollout_slack, Range<double>{0, 1e6});
  reader.Length("rollback", settings.rollback, kDurationRange);
  reader.Length("grace", settings.grace, kDurationRange);
  reader.Length("longest_lookup_life", settings.longest_lookup_life,
                kDurationRange);
  reader.Number("retry_slack", settings.retry_slack, Range<double>{0, 1e6});
  reader.Flag("place_by_work", settings.place_by_work);
  reader.Count("memory_mb", settings.memory_mb,
               Range<std::uint32_t>{kMinMemoryMb, kMaxMemoryMb});
  reader.Number("link_mbps", settings.link_mbps, Range<double>{0, 1e6});
  reader.Finish();
  if (!problems.empty()) {
    const Error error = problems.AsError(ErrorKind::kInvalidSettings);
    return Fail(error.kind, fmt::format("{}: {}", file_name, error.detail));
  }
  return settings;
}

}  // namespace sapphirebank
