#include "programs/fleet_host/entry_link.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "sapphirebank/core/json_read.h"
#include "sapphirebank/fleet/control_timing.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// An answer of the hub that takes longer is logged.
constexpr Duration kLateAnswer = std::chrono::milliseconds(250);

// Timer periods with a hub and while one is sought.
constexpr Duration kConnectedTick = std::chrono::milliseconds(125);
constexpr Duration kSearchTick = std::chrono::milliseconds(50);

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1e3; }

}  // namespace

EntryLink::EntryLink(boost::asio::io_context& loop,
                     const FleetSettings& settings, Hooks hooks, LogWriter& log)
    : loop_(loop),
      settings_(settings),
      hooks_(std::move(hooks)),
      log_(log),
      selector_(
          HubSelectorSettings(), settings.zone, settings.host.value(),
          [this] { return SeedAddresses(); }, Random(RandomSeed())),
      timer_(loop),
      links_(settings.host, FleetSecret(settings.fleet_secret), LinkHooks()) {}

FleetLink::Hooks EntryLink::LinkHooks() {
  FleetLink::Hooks hooks;
  // The hub sends its state as soon as the link is up.
  hooks.up = [](LinkId, const HostId&) {};
  hooks.received = [this](LinkId link, const HostId&, json message) {
    boost::asio::post(loop_, [this, link, moved = std::move(message)] {
      OnMessage(link, moved);
    });
  };
  hooks.down = [this](LinkId link, const std::string&) {
    boost::asio::post(loop_, [this, link] { OnDown(link); });
  };
  return hooks;
}

void EntryLink::Start() { Tick(); }

void EntryLink::ScheduleTick(Duration delay) {
  next_tick_at_ = MonotonicNow() + delay;
  timer_.expires_after(delay);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void EntryLink::Tick() {
  const Instant now = MonotonicNow();
  DropOverdueProbes(now);
  if (now >= close_former_at_) CloseFormerLink();
  if (!unanswered_reports_.empty() &&
      selector_.IsHubLost(now, unanswered_reports_.begin()->second,
                          hub_answered_)) {
    LoseHub("a report was not answered");
  }
  StartProbes(now);
  const Duration period = selector_.ReportPeriod(hooks_.leader_update_age(now));
  if (link_ && now - last_report_at_ >= period - kConnectedTick / 2) {
    SendReport(!hub_answered_);
  }
  ConfirmChanges(now);
  const bool is_searching =
      !link_ || !hub_answered_ || !probes_.empty() || selector_.is_searching();
  ScheduleTick(is_searching ? kSearchTick : kConnectedTick);
}

void EntryLink::StartProbes(Instant now) {
  const bool was_searching = selector_.is_searching();
  const Duration age = hooks_.leader_update_age(now);
  while (const auto address = selector_.NextProbe(now, age)) {
    const auto endpoint = EndpointFromString(*address);
    if (!endpoint) {
      log_.Write(LogLevel::kWarning, "hub_address_invalid",
                 {{"hub", *address}, {"cause", endpoint.error().detail}});
      selector_.RecordProbeFailure(now, *address);
      continue;
    }
    probes_[links_.Connect(*endpoint)] = {*address, now};
  }
  if (selector_.is_searching() && !was_searching && link_) {
    log_.Write(LogLevel::kWarning, "hub_search",
               {{"hub", selector_.hub()}, {"age_ms", Milliseconds(age)}});
  }
}

std::vector<std::string> EntryLink::SeedAddresses() const {
  std::vector<std::string> addresses;
  for (const Endpoint& seed : hooks_.seeds()) {
    addresses.push_back(ToString(settings_.FleetEndpoint(seed)));
  }
  return addresses;
}

void EntryLink::DropOverdueProbes(Instant now) {
  for (auto next = probes_.begin(); next != probes_.end();) {
    const auto probe = next++;
    if (now - probe->second.started_at <= selector_.ProbeTimeout()) continue;
    links_.Close(probe->first);
    LogProbeFailure(now, probe->second, "timeout");
    selector_.RecordProbeFailure(now, probe->second.address);
    probes_.erase(probe);
  }
}

void EntryLink::LogProbeFailure(Instant now, const Probe& probe,
                                std::string_view cause) {
  log_.Write(LogLevel::kInfo, "probe_failed",
             {{"hub", probe.address},
              {"cause", cause},
              {"ms", Milliseconds(now - probe.started_at)}});
}

// Handles what a hub says about itself when a link to it is up.
void EntryLink::OnHubState(LinkId link, const json& message) {
  const auto probe = probes_.find(link);
  if (probe == probes_.end()) return;
  const Instant now = MonotonicNow();
  const std::string address = probe->second.address;
  HubState state = {ReadDuration(message.at("age")),
                    message.at("electing").get<bool>()};
  state.is_member = message.value("member", true);
  if (const auto hubs = message.find("hubs"); hubs != message.end()) {
    state.hubs = hubs->get<std::vector<HubHost>>();
    state.entry_hosts = message.at("entry_hosts").get<std::uint32_t>();
  }
  if (selector_.RecordProbe(now, address, state,
                            hooks_.leader_update_age(now))) {
    Adopt(link, state);
    return;
  }
  probes_.erase(probe);
  links_.Close(link);
  log_.Write(LogLevel::kInfo, "hub_not_used",
             {{"hub", address},
              {"is_member", state.is_member},
              {"age_ms", Milliseconds(state.update_age)},
              {"electing", state.is_electing}});
}

// Reports to the probed hub from now on.
void EntryLink::Adopt(LinkId link, const HubState& state) {
  probes_.erase(link);
  for (const auto& [other, probe] : probes_) links_.Close(other);
  probes_.clear();
  KeepFormerLink(MonotonicNow());
  link_ = link;
  hub_answered_ = false;
  unanswered_reports_.clear();
  log_.Write(LogLevel::kInfo, "hub_chosen",
             {{"hub", selector_.hub()},
              {"age_ms", Milliseconds(state.update_age)},
              {"electing", state.is_electing}});
  SendReport(true);
}

// Keeps the link for confirmations of changes only.
void EntryLink::KeepFormerLink(Instant now) {
  CloseFormerLink();
  if (!link_) return;
  const ViewLeaseSettings lease =
      MakeViewLeaseSettings(settings_.change_limits);
  close_former_at_ = now + lease.lease - UngatedLease(lease);
  former_link_ = std::exchange(link_, std::nullopt);
  links_.Send(*former_link_, {{"t", "moved"}});
}

void EntryLink::CloseFormerLink() {
  if (!former_link_) return;
  links_.Close(*former_link_);
  former_link_.reset();
}

void EntryLink::OnDown(LinkId link) {
  if (link == former_link_) {
    former_link_.reset();
    return;
  }
  if (link == link_) {
    LoseHub("the connection ended");
  } else if (const auto probe = probes_.find(link); probe != probes_.end()) {
    const Instant now = MonotonicNow();
    LogProbeFailure(now, probe->second, "the connection ended");
    selector_.RecordProbeFailure(now, probe->second.address);
    probes_.erase(probe);
  } else {
    return;
  }
  StartProbes(MonotonicNow());
  ScheduleTick(kSearchTick);
}

void EntryLink::LoseHub(std::string_view cause) {
  const Instant now = MonotonicNow();
  const Duration waited = unanswered_reports_.empty()
                              ? Duration::zero()
                              : now - unanswered_reports_.begin()->second;
  log_.Write(LogLevel::kWarning, "hub_lost",
             {{"hub", selector_.hub()},
              {"cause", cause},
              {"waited_ms", Milliseconds(waited)},
              {"timer_late_ms", Milliseconds(now - next_tick_at_)},
              {"age_ms", Milliseconds(hooks_.leader_update_age(now))}});
  if (link_) links_.Close(*std::exchange(link_, std::nullopt));
  hub_answered_ = false;
  unanswered_reports_.clear();
  selector_.RecordHubFailure(now);
}

void EntryLink::ReportNow() {
  if (link_ && hub_answered_) SendReport(false);
}

void EntryLink::SendReport(bool first) {
  EntryReport report = hooks_.report(first);
  report.number = next_report_number_++;
  last_report_at_ = MonotonicNow();
  ConfirmToFormerHub(report.applied_changes);
  confirmed_changes_ = report.applied_changes;
  unanswered_reports_[report.number] = last_report_at_;
  links_.Send(*link_, {{"t", "report"}, {"r", report}});
}

// Tells the hub at once that changes are applied here, since acknowledgements
// wait for that.
void EntryLink::ConfirmChanges(Instant now) {
  const std::uint64_t applied = hooks_.applied_changes();
  if (!link_ || !hub_answered_ || applied <= confirmed_changes_) return;
  if (now - last_confirmation_at_ < kMinConfirmationInterval) return;
  last_confirmation_at_ = now;
  ConfirmToFormerHub(applied);
  confirmed_changes_ = applied;
  links_.Send(*link_, {{"t", "applied"}, {"c", applied}});
}

void EntryLink::ConfirmToFormerHub(std::uint64_t applied) {
  if (!former_link_ || applied <= confirmed_changes_) return;
  links_.Send(*former_link_, {{"t", "applied"}, {"c", applied}});
}

bool EntryLink::RequestServer(std::uint64_t number,
                              const DispatchQuery& query) {
  if (!hub_answered_) return false;
  json message = query;
  message["t"] = "ask";
  message["n"] = number;
  message["z"] = settings_.zone.value();
  links_.Send(*link_, message);
  return true;
}

void EntryLink::EndAssignment(std::uint64_t number, AssignmentOutcome outcome) {
  if (!hub_answered_) return;
  json message = {{"t", "end"}, {"n", number}};
  WriteOutcome(outcome, message);
  links_.Send(*link_, message);
}

void EntryLink::OnMessage(LinkId link, const json& message) {
  try {
    const std::string type = message.at("t").get<std::string>();
    if (type == "control") {
      OnHubState(link, message);
    } else if (link != link_) {
      return;
    } else if (type == "use") {
      hooks_.server_assigned(message.at("n").get<std::uint64_t>(),
                             message.get<DispatchChoice>());
    } else if (type == "update") {
      ApplyUpdate(message.at("u").get<FleetUpdate>());
    }
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", selector_.hub()}, {"cause", e.what()}});
  }
}

void EntryLink::ApplyUpdate(const FleetUpdate& update) {
  const Instant now = MonotonicNow();
  std::optional<Instant> asked_at;
  const auto asked = unanswered_reports_.find(update.answered_report);
  if (asked != unanswered_reports_.end()) {
    asked_at = asked->second;
    unanswered_reports_.erase(asked);
    if (now - *asked_at > kLateAnswer) {
      log_.Write(
          LogLevel::kInfo, "report_answered_late",
          {{"hub", selector_.hub()}, {"ms", Milliseconds(now - *asked_at)}});
    }
  }
  if (!hub_answered_) {
    log_.Write(LogLevel::kInfo, "hub_found", {{"hub", selector_.hub()}});
  }
  hub_answered_ = true;
  // An update that is refused leaves the age of this host's information as it
  // is, which ends in a search for another hub.
  hooks_.update(asked_at, update);
  ConfirmChanges(now);
  selector_.RecordHubState(update.is_electing, update.has_newest_update);
  if (update.shared_state) {
    selector_.SetHubs(now, update.hubs, update.entry_hosts);
  }
}

}  // namespace sapphirebank
