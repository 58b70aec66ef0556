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

// A leader that leaves a report unanswered for this time is given up.
constexpr Duration kAnswerTime = std::chrono::milliseconds(900);

// Time for a connection to come up: hosts are a few milliseconds apart.
constexpr Duration kConnectTime = std::chrono::milliseconds(400);

// Wake-ups with and without a leader.
constexpr Duration kQuietTick = std::chrono::milliseconds(250);
constexpr Duration kSearchTick = std::chrono::milliseconds(100);

// A leader whose own proof is older than this may have lost its followers.
constexpr Duration kOldestAge = std::chrono::milliseconds(1500);

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
  } else if (is_up_ && now - last_report_ >= kReportPeriod - kQuietTick / 2) {
    SendReport(!leader_answered_);
  }
  ScheduleTick(in_reach_ ? kQuietTick : kSearchTick);
}

std::vector<std::string> EntryLink::Candidates() const {
  std::vector<std::string> candidates = learned_;
  for (const Endpoint& seed : hooks_.seeds()) {
    candidates.push_back(ToString(settings_.FleetEndpoint(seed)));
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  return candidates;
}

void EntryLink::ConnectNext() {
  std::string next;
  if (hint_) {
    next = *std::exchange(hint_, std::nullopt);
  } else {
    std::vector<std::string> candidates = Candidates();
    if (candidates.size() > 1) std::erase(candidates, last_tried_);
    if (candidates.empty()) return;
    next = candidates[random_.Below(candidates.size())];
  }
  const auto endpoint = EndpointFromString(next);
  if (!endpoint) return;
  last_tried_ = next;
  link_host_ = next;
  connect_started_ = MonotonicNow();
  is_up_ = false;
  leader_answered_ = false;
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

void EntryLink::Drop(std::string_view cause) {
  if (link_) links_.Close(*link_);
  link_.reset();
  is_up_ = false;
  unanswered_.clear();
  if (in_reach_) {
    log_.Write(LogLevel::kWarning, "leader_lost",
               {{"leader", link_host_}, {"cause", cause}});
  }
  SetInReach(false);
}

void EntryLink::SetInReach(bool in_reach) {
  if (in_reach_ == in_reach) return;
  in_reach_ = in_reach;
  hooks_.in_reach(in_reach);
}

void EntryLink::ReportNow() {
  if (is_up_ && leader_answered_) SendReport(false);
}

void EntryLink::SendReport(bool first) {
  EntryReport report = hooks_.report(first);
  report.number = next_report_++;
  last_report_ = MonotonicNow();
  unanswered_[report.number] = last_report_;
  links_.Send(*link_, {{"t", "report"}, {"r", report}});
}

void EntryLink::OnMessage(LinkId link, const json& message) {
  if (link != link_) return;
  try {
    const std::string type = message.at("t").get<std::string>();
    if (type == "redirect") {
      learned_ = message.at("hosts").get<std::vector<std::string>>();
      const auto leader = message.at("leader").get<std::string>();
      Drop("the host does not lead");
      if (!leader.empty() && leader != link_host_) {
        hint_ = leader;
        ConnectNext();
      }
      ScheduleTick(kSearchTick);
      return;
    }
    if (type != "update") return;
    const auto update = message.at("u").get<FleetUpdate>();
    std::optional<Instant> asked_at;
    const auto asked = unanswered_.find(update.answers);
    if (asked != unanswered_.end()) {
      asked_at = asked->second;
      unanswered_.erase(asked);
    }
    if (update.answers != 0 && update.age > kOldestAge) {
      Drop("the leader cannot prove that it leads");
      ConnectNext();
      return;
    }
    if (!leader_answered_) {
      log_.Write(LogLevel::kInfo, "leader_found",
                 {{"leader", link_host_}, {"epoch", update.epoch}});
    }
    leader_answered_ = true;
    SetInReach(true);
    hooks_.update(asked_at, update);
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", link_host_}, {"cause", e.what()}});
  }
}

}  // namespace sapphirebank
