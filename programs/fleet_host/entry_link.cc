#include "programs/fleet_host/entry_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Time between reports while nothing is needed. It bounds, with the age of the
// leader's proof, how old an entry host's word on keys is.
constexpr Duration kReportPeriod = std::chrono::milliseconds(500);

// A hub that leaves a report unanswered for this time is given up.
constexpr Duration kAnswerTime = std::chrono::milliseconds(400);

// Time for a connection to come up: hosts are a few milliseconds apart.
constexpr Duration kConnectTime = std::chrono::milliseconds(400);

// Wake-ups with and without a hub.
constexpr Duration kQuietTick = std::chrono::milliseconds(125);
constexpr Duration kSearchTick = std::chrono::milliseconds(100);

// A hub whose word is older than this may be cut off from the leader. An
// election may take as long, so the next hub is given some time as well.
constexpr Duration kOldestAge = std::chrono::milliseconds(1200);
constexpr Duration kTimeForHub = std::chrono::milliseconds(800);

// A hub that failed is passed over for this time.
constexpr Duration kPassOver = std::chrono::seconds(2);

// A host that is not at the first hub of its zone tries that one this often.
constexpr Duration kMovePeriod = std::chrono::seconds(3);

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
  } else if (!is_up_ && now - connect_started_ > kConnectTime) {
    Drop("the connection did not come up");
    ConnectNext();
  } else if (!unanswered_.empty() &&
             now - unanswered_.begin()->second > kAnswerTime) {
    Drop("a report was not answered");
    ConnectNext();
  } else if (ShouldMove(now)) {
    Drop("");
    ConnectNext();
  } else if (is_up_ && now - last_report_ >= kReportPeriod - kQuietTick / 2) {
    SendReport(!hub_answered_);
  }
  ScheduleTick(hub_answered_ ? kQuietTick : kSearchTick);
}

// Returns whether the first hub of this zone may be had in place of the present
// one.
bool EntryLink::ShouldMove(Instant now) const {
  if (!hub_answered_ || now < next_move_) return false;
  for (const HubHost& hub : hooks_.hubs()) {
    if (hub.zone != settings_.zone) continue;
    const auto passed = passed_over_.find(hub.address);
    if (passed != passed_over_.end() && passed->second > now) continue;
    return hub.address != link_host_;
  }
  return false;
}

// Returns the hosts to try, the best ones first: hubs of this zone in the order
// that all hosts are told, so that they meet at one; then others at random.
std::vector<std::string> EntryLink::Candidates() const {
  const Instant now = MonotonicNow();
  std::vector<std::string> near;
  std::vector<std::string> others;
  std::vector<std::string> failed;
  const auto add = [&](const std::string& address, bool is_near) {
    const auto passed = passed_over_.find(address);
    const bool has_failed =
        passed != passed_over_.end() && passed->second > now;
    (has_failed ? failed : is_near ? near : others).push_back(address);
  };
  for (const HubHost& hub : hooks_.hubs()) {
    add(hub.address, hub.zone == settings_.zone);
  }
  for (const Endpoint& seed : hooks_.seeds()) {
    const std::string address = ToString(settings_.FleetEndpoint(seed));
    const auto& hubs = hooks_.hubs();
    const bool is_listed =
        std::any_of(hubs.begin(), hubs.end(),
                    [&](const HubHost& hub) { return hub.address == address; });
    if (!is_listed) add(address, false);
  }
  return !near.empty() ? near : !others.empty() ? others : failed;
}

void EntryLink::ConnectNext() {
  const std::vector<std::string> candidates = Candidates();
  if (candidates.empty()) return;
  const auto& hubs = hooks_.hubs();
  const bool is_near =
      std::any_of(hubs.begin(), hubs.end(), [&](const HubHost& hub) {
        return hub.address == candidates.front() && hub.zone == settings_.zone;
      });
  const std::size_t index = is_near ? 0 : random_.Below(candidates.size());
  const auto endpoint = EndpointFromString(candidates[index]);
  if (!endpoint) return;
  link_host_ = candidates[index];
  connect_started_ = MonotonicNow();
  is_up_ = false;
  hub_answered_ = false;
  unanswered_.clear();
  link_ = links_.Connect(*endpoint);
}

void EntryLink::OnUp(LinkId link) {
  if (link != link_) return;
  is_up_ = true;
  SendReport(true);
}

void EntryLink::OnDown(LinkId link) {
  if (link != link_) return;
  Drop("the connection ended");
  ConnectNext();
  ScheduleTick(kSearchTick);
}

// Gives the hub up; with a cause it is passed over for a while.
void EntryLink::Drop(std::string_view cause) {
  if (link_) links_.Close(*link_);
  link_.reset();
  is_up_ = false;
  unanswered_.clear();
  const Instant now = MonotonicNow();
  if (!cause.empty()) passed_over_[link_host_] = now + kPassOver;
  if (hub_answered_) {
    log_.Write(LogLevel::kWarning, "hub_lost",
               {{"hub", link_host_}, {"cause", cause}});
  }
  hub_answered_ = false;
}

void EntryLink::ReportNow() {
  if (is_up_ && hub_answered_) SendReport(false);
}

void EntryLink::SendReport(bool first) {
  EntryReport report = hooks_.report(first);
  report.number = next_report_++;
  last_report_ = MonotonicNow();
  unanswered_[report.number] = last_report_;
  links_.Send(*link_, {{"t", "report"}, {"r", report}});
}

bool EntryLink::Ask(std::uint64_t number, const DispatchQuery& query) {
  if (!hub_answered_) return false;
  json names = json::array();
  for (const BackendId& id : query.excluded) names.push_back(id.value());
  links_.Send(*link_, {{"t", "ask"},
                       {"n", number},
                       {"s", query.service.value()},
                       {"z", settings_.zone.value()},
                       {"r", query.repeatable},
                       {"again", query.is_retry},
                       {"x", std::move(names)}});
  return true;
}

void EntryLink::End(std::uint64_t number, AssignmentOutcome end) {
  if (!hub_answered_) return;
  links_.Send(*link_, {{"t", "end"}, {"n", number}, {"end", end}});
}

void EntryLink::OnMessage(LinkId link, const json& message) {
  if (link != link_) return;
  try {
    const std::string type = message.at("t").get<std::string>();
    if (type == "use") {
      hooks_.use(message.at("n").get<std::uint64_t>(),
                 {BackendId(message.at("id").get<std::string>()),
                  message.at("busy").get<bool>()});
    } else if (type == "update") {
      TakeUpdate(message.at("u").get<FleetUpdate>());
    }
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", link_host_}, {"cause", e.what()}});
  }
}

void EntryLink::TakeUpdate(const FleetUpdate& update) {
  const Instant now = MonotonicNow();
  std::optional<Instant> asked_at;
  const auto asked = unanswered_.find(update.answered_report);
  if (asked != unanswered_.end()) {
    asked_at = asked->second;
    unanswered_.erase(asked);
  }
  if (!hub_answered_) {
    next_move_ = now + kMovePeriod;
    log_.Write(LogLevel::kInfo, "hub_found", {{"hub", link_host_}});
  }
  hub_answered_ = true;
  const Result<void> taken = hooks_.update(asked_at, update);
  const bool had_time = now - connect_started_ > kTimeForHub;
  const bool is_behind =
      !taken && taken.error().kind == ErrorKind::kNotLeader && had_time;
  const bool is_old =
      update.answered_report != 0 && update.quorum_age > kOldestAge && had_time;
  if (!is_behind && !is_old) return;
  Drop(is_old ? "its word is old" : "it is behind this host");
  ConnectNext();
}

}  // namespace sapphirebank
