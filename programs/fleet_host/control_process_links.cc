#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "programs/fleet_host/control_process.h"
#include "sapphirebank/core/cbor.h"
#include "sapphirebank/core/json_read.h"
#include "sapphirebank/fleet/election_state.h"

// Links of a control host to the other control hosts and to entry hosts.
namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr Duration kConnectPeriod = std::chrono::milliseconds(300);

// Control hosts ping each other with this period and close a link on which
// nothing arrives for the timeout: a connection may fail without a reset.
constexpr Duration kPingPeriod = std::chrono::milliseconds(500);
constexpr Duration kControlLinkTimeout = std::chrono::milliseconds(1600);

// The same for links to entry hosts, which report at least twice a second.
constexpr Duration kEntryLinkTimeout = std::chrono::seconds(4);

// A message that waits longer for the decision thread is logged, at most one in
// each period.
constexpr Duration kLateHandling = std::chrono::milliseconds(150);
constexpr Duration kLateLogPeriod = std::chrono::milliseconds(250);

// Time after a start, which may be that of the whole fleet, from which the
// number of ready entry hosts tells how many there are.
constexpr Duration kReadyHostsKnownAfter = std::chrono::seconds(10);

// Period of log lines of a control host outside the group.
constexpr Duration kOutsideLogPeriod = std::chrono::seconds(2);

}  // namespace

FleetLink::Hooks ControlProcess::LinkHooks() {
  FleetLink::Hooks hooks;
  // Messages between control hosts never wait behind those of entry hosts,
  // which come by the hundred when all of them search a hub.
  hooks.up = [this](LinkId link, const HostId& host) {
    thread_.PostUrgent([this, link, host] { OnUp(link, host); });
  };
  hooks.received = [this](LinkId link, const HostId& from, json message) {
    const Instant arrived_at = Now();
    const auto type = message.find("t");
    if (type != message.end() && *type == "control") {
      control_links_.insert(link);
    }
    auto handle = [this, link, from, arrived_at, moved = std::move(message)] {
      LogLateHandling(from, arrived_at);
      OnMessage(link, from, moved);
    };
    if (control_links_.contains(link)) {
      thread_.PostUrgent(std::move(handle));
    } else {
      thread_.Post(std::move(handle));
    }
  };
  hooks.down = [this](LinkId link, const std::string& reason) {
    control_links_.erase(link);
    thread_.PostUrgent([this, link, reason] { OnDown(link, reason); });
  };
  return hooks;
}

void ControlProcess::OnUp(LinkId link, const HostId& host) {
  const Instant now = Now();
  Peer& peer = peers_[link];
  peer.host = host;
  peer.heard_at = now;
  links_.Send(link, {{"t", "control"},
                     {"zone", settings_.zone.value()},
                     {"gates", true},
                     {"rollouts", true},
                     {"age", StateAge(now).count()},
                     {"electing", IsElectingLeader(now)},
                     {"member", is_member_},
                     {"hubs", hub_.hubs()},
                     {"entry_hosts", now - started_at_ < kReadyHostsKnownAfter
                                         ? 0
                                         : ready_hosts_.size()}});
}

// Follows whether this host belongs to the control group.
void ControlProcess::UpdateMembership(Instant now) {
  const GroupMembership& membership = host_.raft().membership();
  if (membership == known_membership_ && now < next_outside_log_at_) return;
  const bool was_member = is_member_;
  known_membership_ = membership;
  is_member_ = host_.IsMember();
  metrics_->metrics().SetControlGroupMember(is_member_);
  UpdateHubList();
  if (is_member_) {
    next_outside_log_at_ = Instant::max();
    if (!was_member) {
      log_.Write(LogLevel::kInfo, "group_joined",
                 {{"members", membership.members().size()},
                  {"after_ms", ToSeconds(now - started_at_) * 1e3}});
    }
    return;
  }
  if (!was_member && now < next_outside_log_at_) return;
  next_outside_log_at_ = now + kOutsideLogPeriod;
  const auto linked =
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& item) { return item.second.is_control; });
  log_.Write(LogLevel::kWarning, "outside_group",
             {{"cause", linked == 0 ? "no control host is linked"
                                    : "no leader has admitted this host yet"},
              {"linked_control_hosts", linked},
              {"after_ms", ToSeconds(now - started_at_) * 1e3}});
}

// Closes the link of an entry host to a control host that is no hub, and
// returns whether it did. The entry host turns to another one.
bool ControlProcess::TurnAway(LinkId link, const Peer& peer) {
  if (is_member_ || peer.is_control) return false;
  log_.Write(LogLevel::kInfo, "entry_host_turned_away",
             {{"peer", peer.host.value()},
              {"cause", "this control host is outside the group"}});
  links_.Close(link);
  return true;
}

bool ControlProcess::IsElectingLeader(Instant now) const {
  // It does not vote, and other hubs have newer updates.
  if (host_.HasFailed()) return false;
  if (LeaderIsSettled(now, known_leader_.has_value(), leader_changed_at_)) {
    return false;
  }
  return MayElect(VotersInContact(now), host_.raft().membership().Quorum());
}

bool ControlProcess::MayFindLeader(Instant now) const {
  if (known_leader_) return true;
  return MayAwaitLeader(now, started_at_, VotersInContact(now),
                        host_.raft().membership().Quorum());
}

std::size_t ControlProcess::VotersInContact(Instant now) const {
  std::set<HostId> heard = {self_};
  for (const auto& [link, peer] : peers_) {
    const bool is_recent = now - peer.heard_at < kVoterContactTime;
    if (peer.is_control && is_recent) heard.insert(peer.host);
  }
  const auto& members = host_.raft().membership().members();
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const GroupMember& member) {
        return member.voter && heard.contains(member.host);
      }));
}

// Returns whether this host's leader update is old and no other control host
// has a recent one.
bool ControlProcess::HasNewestUpdate(Instant now) const {
  if (StateAge(now) <= kRecentUpdateAge) return false;
  const GroupMembership& membership = host_.raft().membership();
  std::map<HostId, std::optional<ReportedUpdateAge>> latest;
  for (const auto& [link, peer] : peers_) {
    if (peer.is_control) latest[peer.host] = peer.update_age;
  }
  std::vector<std::optional<ReportedUpdateAge>> others;
  for (const GroupMember& member : membership.members()) {
    const auto found = latest.find(member.host);
    if (member.voter && found != latest.end()) others.push_back(found->second);
  }
  return NoneHasRecentUpdate(now, others, membership.Quorum());
}

void ControlProcess::OnDown(LinkId link, const std::string& reason) {
  std::erase_if(connecting_,
                [&](const auto& item) { return item.second == link; });
  const auto found = peers_.find(link);
  if (found != peers_.end()) {
    const Peer peer = found->second;
    peers_.erase(found);
    if (!LinkTo(peer.host)) hub_.RemoveReporter(peer.host);
    if (peer.is_control) UpdateHubList();
    log_.Write(LogLevel::kInfo, "link_lost",
               {{"peer", peer.host.value()}, {"cause", reason}});
    FlushSoon(peer.is_control);
  } else if (!reason.empty()) {
    log_.Write(LogLevel::kWarning, "link_refused", {{"cause", reason}});
  }
}

std::optional<FleetLink::LinkId> ControlProcess::LinkTo(
    const HostId& host) const {
  // The newest link is used, as an older one may have failed without a reset.
  for (auto peer = peers_.rbegin(); peer != peers_.rend(); ++peer) {
    if (peer->second.host == host) return peer->first;
  }
  return std::nullopt;
}

void ControlProcess::Send(const std::vector<PeerEnvelope>& messages) {
  for (const PeerEnvelope& envelope : messages) {
    const auto link = LinkTo(envelope.host);
    if (!link) continue;
    links_.Send(*link,
                {{"t", "raft"},
                 {"m", CborBinary(EncodePeerMessage(envelope.message))}});
  }
}

void ControlProcess::SendToControl(const json& message) {
  for (const auto& [link, peer] : peers_) {
    if (peer.is_control) links_.Send(link, message);
  }
}

void ControlProcess::ConnectToOthers(Instant now) {
  if (now >= next_ping_) {
    next_ping_ = now + kPingPeriod;
    SendToControl({{"t", "ping"}, {"age", StateAge(now).count()}});
    for (const auto& [link, peer] : peers_) {
      const Duration limit =
          peer.is_control ? kControlLinkTimeout : kEntryLinkTimeout;
      if (now - peer.heard_at > limit) links_.Close(link);
    }
  }
  if (now < next_connect_) return;
  next_connect_ = now + kConnectPeriod;
  const std::vector<HostId> known = host_.HostsToContact(now);
  std::vector<HostId> hosts;
  hosts.reserve(settings_.seeds.size() + known.size());
  for (const Endpoint& seed : settings_.seeds) {
    hosts.emplace_back(ToString(settings_.FleetEndpoint(seed)));
  }
  for (const HostId& host : known) hosts.push_back(host);
  for (const HostId& host : hosts) {
    if (host == self_ || connecting_.contains(host.value()) || LinkTo(host)) {
      continue;
    }
    const auto endpoint = EndpointFromString(host.value());
    if (endpoint) connecting_[host.value()] = links_.Connect(*endpoint);
  }
}

// Logs a message that waited for the decision thread, once for each period.
void ControlProcess::LogLateHandling(const HostId& from, Instant arrived_at) {
  const Instant now = Now();
  if (now - arrived_at < kLateHandling || now < next_late_log_at_) return;
  next_late_log_at_ = now + kLateLogPeriod;
  log_.Write(
      LogLevel::kInfo, "message_waited",
      {{"from", from.value()}, {"ms", ToSeconds(now - arrived_at) * 1e3}});
}

void ControlProcess::OnMessage(LinkId link, const HostId& from,
                               const json& message) {
  const auto found = peers_.find(link);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.heard_at = Now();
  try {
    const std::string type = message.at("t").get<std::string>();
    if (type == "raft") {
      const auto decoded = DecodePeerMessage(CborBytes(message.at("m")));
      if (decoded) host_.Receive(peer.heard_at, from, *decoded);
    } else if (type == "ask") {
      if (!TurnAway(link, peer)) OnServerRequest(link, from, message);
      return;
    } else if (type == "end") {
      hub_.EndAssignment(peer.heard_at,
                         {from, message.at("n").get<std::uint64_t>()},
                         ReadOutcome(message));
      return;
    } else if (type == "report") {
      if (TurnAway(link, peer)) return;
      OnReport(link, from, message);
    } else if (type == "applied") {
      gate_.RecordApplied(from, message.at("c").get<std::uint64_t>());
    } else if (type == "moved") {
      // The host reports to another hub and goes on confirming changes here.
      if (LinkTo(from) == link) hub_.RemoveReporter(from);
    } else if (type == "update") {
      OnUpdate(from, message);
    } else if (type == "control") {
      OnControlHello(link, peer, message);
    } else if (type == "call") {
      OnPeerCall(link, message);
    } else if (type == "done") {
      OnCallDone(message);
    } else if (type == "ping") {
      // Earlier builds send no age.
      if (const auto age = message.find("age"); age != message.end()) {
        peer.update_age = ReportedUpdateAge{ReadDuration(*age), peer.heard_at};
      }
      return;
    } else if (type == "ready" && !is_leader_) {
      ready_hosts_ = message.at("list").get<std::vector<ReadyHost>>();
      hub_.SetFleetHosts(ready_hosts_);
    } else {
      return;
    }
    FlushSoon(peer.is_control);
  } catch (const std::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", from.value()}, {"cause", e.what()}});
  }
}

void ControlProcess::OnControlHello(LinkId link, Peer& peer,
                                    const json& message) {
  peer.is_control = true;
  peer.zone = ZoneId(message.at("zone").get<std::string>());
  peer.gates_changes = message.value("gates", false);
  peer.knows_rollouts = message.value("rollouts", false);
  host_.AddHost(peer.host);
  UpdateHubList();
  if (is_leader_) links_.Send(link, {{"t", "ready"}, {"list", ready_hosts_}});
}

std::vector<HostId> ControlProcess::ControlPeers() const {
  std::vector<HostId> hosts;
  for (const auto& [link, peer] : peers_) {
    if (peer.is_control) hosts.push_back(peer.host);
  }
  return hosts;
}

bool ControlProcess::IsMemberHost(const HostId& host) const {
  const auto& members = known_membership_.members();
  return std::any_of(
      members.begin(), members.end(),
      [&](const GroupMember& member) { return member.host == host; });
}

void ControlProcess::UpdateHubList() {
  std::vector<HubHost> hubs;
  for (const auto& [link, peer] : peers_) {
    // A host outside the group has nothing to tell entry hosts.
    if (!peer.is_control || !IsMemberHost(peer.host)) continue;
    const HubHost hub = {peer.host.value(), peer.zone};
    if (std::find(hubs.begin(), hubs.end(), hub) == hubs.end()) {
      hubs.push_back(hub);
    }
  }
  hub_.SetHubs(std::move(hubs),
               known_leader_ ? known_leader_->value() : std::string());
}

void ControlProcess::OnReport(LinkId link, const HostId& from,
                              const json& message) {
  const Instant now = Now();
  const auto report = message.at("r").get<EntryReport>();
  const bool is_relay = peers_.at(link).is_control;
  // The relay does not know the new leader yet; it repeats the report to that
  // one.
  if (is_relay && !is_leader_) return;
  FleetUpdate update =
      hub_.HandleReport(now, from, is_relay, report, host_.state().fleet());
  gate_.RecordApplied(from, report.applied_changes);
  if (report.ends_without_contact) {
    gate_.RecordContact(now, from, confirmed_as_of_, update.record_changes);
  } else {
    gate_.RecordConfirmation(now, from, confirmed_as_of_,
                             update.record_changes);
  }
  SendUpdate(link, std::move(update), now);
}

bool ControlProcess::AllHubsGateChanges() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
    return !item.second.is_control || item.second.gates_changes;
  });
}

// Applies an update of the leader on a relay.
void ControlProcess::OnUpdate(const HostId& from, const json& message) {
  if (is_leader_ || from != known_leader_) return;
  const Instant now = Now();
  const auto update = message.at("u").get<FleetUpdate>();
  hub_.ApplyLeaderUpdate(now, update, host_.state().fleet());
  const auto asked = unanswered_reports_.find(update.answered_report);
  if (asked == unanswered_reports_.end()) return;
  leader_gates_changes_ = update.gates_changes;
  const Instant as_of = asked->second - update.quorum_age;
  unanswered_reports_.erase(unanswered_reports_.begin(), std::next(asked));
  if (host_.state().fleet().changes() >= update.record_changes) {
    confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
  } else {
    pending_confirmation_ = PendingConfirmation{update.record_changes, as_of};
  }
}

void ControlProcess::OnServerRequest(LinkId link, const HostId& from,
                                     const json& message) {
  const auto query = message.get<DispatchQuery>();
  const auto number = message.at("n").get<std::uint64_t>();
  hub_.RecordConfirmation(confirmed_as_of_);
  const DispatchChoice choice =
      hub_.Assign(Now(), {from, number}, query).value_or(DispatchChoice());
  json answer = choice;
  answer["t"] = "use";
  answer["n"] = number;
  links_.Send(link, answer);
}

void ControlProcess::OnCallDone(const json& message) {
  const auto number = message.at("call").get<std::uint64_t>();
  std::string text = message.at("text").get<std::string>();
  if (message.at("ok").get<bool>()) {
    EndAttempt(number, std::move(text));
    return;
  }
  // Earlier builds do not tell.
  const auto kind = ErrorKindFromName(message.value("kind", std::string()));
  EndAttempt(number,
             Fail(kind.value_or(ErrorKind::kNotLeader), std::move(text)));
}

void ControlProcess::OnPeerCall(LinkId link, const json& message) {
  const auto number = message.at("call").get<std::uint64_t>();
  std::optional<ControlCommand> command;
  if (message.contains("command")) {
    auto decoded = DecodeCommand(CborBytes(message.at("command")));
    if (!decoded) return;
    command = std::move(*decoded);
  }
  // Earlier builds do not tell.
  const DepartureKnowledge knowledge = {
      message.value("known_start", Incarnation{0}),
      message.value("latest_start", Incarnation{0})};
  const Callback answer = [this, link,
                           number](const Result<std::string>& result) {
    json done = {{"t", "done"},
                 {"call", number},
                 {"ok", result.has_value()},
                 {"text", result ? *result : result.error().detail}};
    if (!result) done["kind"] = AnswerFor(result.error().kind).name;
    links_.Send(link, done);
  };
  if (const auto service = message.find("rollout"); service != message.end()) {
    ReadRollout(ServiceId(service->get<std::string>()), answer);
    return;
  }
  if (const auto* zone = command ? std::get_if<SetZoneOut>(&*command) : nullptr;
      zone != nullptr) {
    ZoneOrder order = {*zone, std::nullopt};
    // Earlier builds do not tell.
    if (const auto change = message.find("zone_change");
        change != message.end()) {
      order.known_change = change->get<std::uint64_t>();
    }
    OrderZone(order, answer);
    return;
  }
  ExecuteAsLeader(std::move(command), knowledge, answer);
}

}  // namespace sapphirebank
