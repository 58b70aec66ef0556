#include "programs/fleet_host/entry_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "sapphirebank/fleet/hub_assignment.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// A hub that does not answer a report within this time is dropped.
constexpr Duration kReportTimeout = std::chrono::milliseconds(500);

// The same for the first report to a hub: its answer may carry the whole plan
// and all servers, for which the link of a small host needs most of a second.
constexpr Duration kFirstReportTimeout = std::chrono::milliseconds(2000);

// Timeout for establishing a link: hosts are a few milliseconds apart.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

// Timer periods with and without a hub.
constexpr Duration kConnectedTick = std::chrono::milliseconds(125);
constexpr Duration kSearchTick = std::chrono::milliseconds(100);

// A hub that failed is avoided for this time.
constexpr Duration kHubBackoff = std::chrono::seconds(2);

// A host that is not connected to the hub that it belongs to retries that one
// with this period.
constexpr Duration kHubSwitchPeriod = std::chrono::seconds(3);

}  // namespace

EntryLink::EntryLink(boost::asio::io_context& loop,
                     const FleetSettings& settings, Hooks hooks, LogWriter& log)
    : loop_(loop),
      settings_(settings),
      hooks_(std::move(hooks)),
      log_(log),
      random_(RandomSeed()),
      timer_(loop),
      links_(settings.host, FleetSecret(settings.fleet_secret), LinkHooks()) {}

FleetLink::Hooks EntryLink::LinkHooks() {
  FleetLink::Hooks hooks;
  hooks.up = [this](LinkId link, const HostId&) {
    boost::asio::post(loop_, [this, link] { OnUp(link); });
  };
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
  timer_.expires_after(delay);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void EntryLink::Tick() {
  const Instant now = MonotonicNow();
  if (!link_) {
    ConnectNext();
  } else if (!is_connected_ && now - connect_started_ > kConnectTimeout) {
    CloseLink("the link was not established in time");
    ConnectNext();
  } else if (!unanswered_reports_.empty() &&
             now - unanswered_reports_.begin()->second >
                 (hub_answered_ ? kReportTimeout : kFirstReportTimeout)) {
    CloseLink("a report was not answered");
    ConnectNext();
  } else if (ShouldSwitchHub(now)) {
    CloseLink("");
    ConnectNext();
  } else if (is_connected_ &&
             now - last_report_at_ >= kReportPeriod - kConnectedTick / 2) {
    SendReport(!hub_answered_);
  }
  ScheduleTick(hub_answered_ ? kConnectedTick : kSearchTick);
}

bool EntryLink::IsBackedOff(const std::string& address, Instant now) const {
  const auto backoff = backoff_until_.find(address);
  return backoff != backoff_until_.end() && backoff->second > now;
}

// Returns the hub of this zone that this host belongs to, of those that did not
// fail recently; empty without any.
std::string EntryLink::AssignedHubAddress(Instant now) const {
  std::vector<HubHost> available = hooks_.hubs();
  std::erase_if(available, [&](const HubHost& hub) {
    return hub.zone == settings_.zone && IsBackedOff(hub.address, now);
  });
  return AssignedHub(
      ActiveHubs(available, settings_.zone, hooks_.entry_hosts()),
      settings_.host.value());
}

// Returns whether to switch from a different hub to the assigned one.
bool EntryLink::ShouldSwitchHub(Instant now) const {
  if (!hub_answered_ || now < next_switch_) return false;
  const std::string assigned = AssignedHubAddress(now);
  return !assigned.empty() && assigned != hub_address_;
}

// Returns the hosts to connect to: the assigned hub and the others of this
// zone; without any, the other hubs and seeds; and without these, the hosts
// that failed recently. ConnectNext() takes the first hub of this zone, but a
// random one of the others.
std::vector<std::string> EntryLink::Candidates() const {
  const Instant now = MonotonicNow();
  std::vector<std::string> same_zone;
  std::vector<std::string> others;
  std::vector<std::string> backed_off;
  const auto add = [&](const std::string& address, bool is_same_zone) {
    (IsBackedOff(address, now) ? backed_off
     : is_same_zone            ? same_zone
                               : others)
        .push_back(address);
  };
  const std::string assigned = AssignedHubAddress(now);
  if (!assigned.empty()) same_zone.push_back(assigned);
  for (const HubHost& hub : hooks_.hubs()) {
    if (hub.address != assigned) add(hub.address, hub.zone == settings_.zone);
  }
  for (const Endpoint& seed : hooks_.seeds()) {
    const std::string address = ToString(settings_.FleetEndpoint(seed));
    const auto& hubs = hooks_.hubs();
    const bool is_listed =
        std::any_of(hubs.begin(), hubs.end(),
                    [&](const HubHost& hub) { return hub.address == address; });
    if (!is_listed) add(address, false);
  }
  return !same_zone.empty() ? same_zone : !others.empty() ? others : backed_off;
}

void EntryLink::ConnectNext() {
  const std::vector<std::string> candidates = Candidates();
  if (candidates.empty()) return;
  const auto& hubs = hooks_.hubs();
  const bool is_same_zone =
      std::any_of(hubs.begin(), hubs.end(), [&](const HubHost& hub) {
        return hub.address == candidates.front() && hub.zone == settings_.zone;
      });
  const std::size_t index = is_same_zone ? 0 : random_.Below(candidates.size());
  const auto endpoint = EndpointFromString(candidates[index]);
  if (!endpoint) return;
  hub_address_ = candidates[index];
  connect_started_ = MonotonicNow();
  is_connected_ = false;
  hub_answered_ = false;
  unanswered_reports_.clear();
  link_ = links_.Connect(*endpoint);
}

void EntryLink::OnUp(LinkId link) {
  if (link != link_) return;
  is_connected_ = true;
  SendReport(true);
}

void EntryLink::OnDown(LinkId link) {
  if (link != link_) return;
  CloseLink("the connection ended");
  ConnectNext();
  ScheduleTick(kSearchTick);
}

// Closes the link. A hub that failed, which `cause` describes, is avoided for a
// while; `cause` is empty for a voluntary switch.
void EntryLink::CloseLink(std::string_view cause) {
  if (link_) links_.Close(*link_);
  link_.reset();
  is_connected_ = false;
  unanswered_reports_.clear();
  const Instant now = MonotonicNow();
  if (!cause.empty()) backoff_until_[hub_address_] = now + kHubBackoff;
  if (hub_answered_) {
    log_.Write(LogLevel::kWarning, "hub_lost",
               {{"hub", hub_address_},
                {"cause", cause},
                {"hubs_listed", hooks_.hubs().size()}});
  }
  hub_answered_ = false;
}

void EntryLink::ReportNow() {
  if (is_connected_ && hub_answered_) SendReport(false);
}

void EntryLink::SendReport(bool first) {
  EntryReport report = hooks_.report(first);
  report.number = next_report_number_++;
  last_report_at_ = MonotonicNow();
  unanswered_reports_[report.number] = last_report_at_;
  links_.Send(*link_, {{"t", "report"}, {"r", report}});
}

bool EntryLink::RequestServer(std::uint64_t number,
                              const DispatchQuery& query) {
  if (!hub_answered_) return false;
  json names = json::array();
  for (const BackendId& id : query.excluded) names.push_back(id.value());
  json message = {{"t", "ask"},
                  {"n", number},
                  {"s", query.service.value()},
                  {"z", settings_.zone.value()},
                  {"r", query.repeatable},
                  {"again", query.is_retry},
                  {"o", query.latency_objective.count()},
                  {"d", query.time_left.count()},
                  {"x", std::move(names)}};
  if (!query.workspace.empty()) message["w"] = query.workspace.value();
  links_.Send(*link_, message);
  return true;
}

void EntryLink::EndAssignment(std::uint64_t number, AssignmentOutcome outcome) {
  if (!hub_answered_) return;
  links_.Send(*link_, {{"t", "end"}, {"n", number}, {"end", outcome}});
}

void EntryLink::OnMessage(LinkId link, const json& message) {
  if (link != link_) return;
  try {
    const std::string type = message.at("t").get<std::string>();
    if (type == "use") {
      hooks_.server_assigned(
          message.at("n").get<std::uint64_t>(),
          {BackendId(message.at("id").get<std::string>()),
           message.at("busy").get<bool>(), message.at("token").get<bool>()});
    } else if (type == "update") {
      ApplyUpdate(message.at("u").get<FleetUpdate>());
    }
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", hub_address_}, {"cause", e.what()}});
  }
}

void EntryLink::ApplyUpdate(const FleetUpdate& update) {
  const Instant now = MonotonicNow();
  std::optional<Instant> asked_at;
  const auto asked = unanswered_reports_.find(update.answered_report);
  if (asked != unanswered_reports_.end()) {
    asked_at = asked->second;
    unanswered_reports_.erase(asked);
  }
  if (!hub_answered_) {
    next_switch_ = now + kHubSwitchPeriod;
    log_.Write(LogLevel::kInfo, "hub_found",
               {{"hub", hub_address_},
                {"age_ms", ToSeconds(update.quorum_age) * 1e3}});
  }
  hub_answered_ = true;
  const Result<void> applied = hooks_.update(asked_at, update);
  const bool grace_period_over = now - connect_started_ > kHubGracePeriod;
  const bool is_behind = !applied &&
                         applied.error().kind == ErrorKind::kNotLeader &&
                         grace_period_over;
  const bool is_outdated = update.answered_report != 0 &&
                           update.quorum_age > kMaxHubUpdateAge &&
                           grace_period_over;
  if (!is_behind && !is_outdated) return;
  CloseLink(is_outdated ? "its leader update is too old"
                        : "it is behind this host");
  ConnectNext();
}

}  // namespace sapphirebank
