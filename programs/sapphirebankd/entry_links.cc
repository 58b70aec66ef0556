#include <utility>

#include "programs/sapphirebankd/entry_daemon.h"
#include "programs/sapphirebankd/process.h"
#include "sapphirebank/config/zone_plans.h"
#include "sapphirebank/entry/host_contact.h"

// The parts of EntryDaemon that run on the control thread and exchange messages
// with control hosts and fetch the configuration.

namespace sapphirebank {
namespace {

using nlohmann::json;

}  // namespace

FleetLink::Hooks EntryDaemon::LinkHooks() {
  FleetLink::Hooks hooks;
  hooks.up = [this](FleetLink::LinkId link, const HostId& peer) {
    control_thread_.Post([this, link, peer] { OnLinkUp(link, peer); });
  };
  hooks.received = [this](FleetLink::LinkId link, const HostId& peer,
                          json message) {
    control_thread_.Post([this, link, peer, moved = std::move(message)] {
      OnLinkMessage(link, peer, moved);
    });
  };
  hooks.down = [this](FleetLink::LinkId link, const std::string& reason) {
    control_thread_.Post([this, link, reason] { OnLinkDown(link, reason); });
  };
  return hooks;
}

void EntryDaemon::ConnectToControl() {
  for (const PeerSettings& peer : settings_.control_hosts) {
    if (outgoing_links_.contains(peer.id)) continue;
    outgoing_links_[peer.id] = links_.Connect(peer.endpoint);
  }
  const bool behind = [&] {
    const std::lock_guard<std::mutex> lock(freshness_mutex_);
    return freshness_.behind();
  }();
  if (control_links_.empty() &&
      (configuration_follower_.revision() == 0 || behind)) {
    ConnectToPeer();
  }
}

// Connects to another entry host to fetch the configuration from it. Successive
// calls try the live members in turn.
void EntryDaemon::ConnectToPeer() {
  std::vector<Member> others;
  for (const Member& member : membership_.LiveMembers()) {
    if (member.id != settings_.host_id) others.push_back(member);
  }
  if (others.empty() || peer_link_ != 0) return;
  const Member& peer = others[next_peer_++ % others.size()];
  const auto contact = HostContactFromMetadata(peer.details.metadata);
  if (contact) peer_link_ = links_.Connect(contact->links);
}

void EntryDaemon::OnLinkUp(FleetLink::LinkId link, const HostId& peer) {
  if (link == peer_link_) {
    links_.Send(link, configuration_follower_.Subscribe());
    return;
  }
  const auto wanted = outgoing_links_.find(peer);
  if (wanted == outgoing_links_.end() || wanted->second != link) return;
  control_links_[peer] = link;
  links_.Send(link, configuration_follower_.Subscribe());
  ExecuteEffects(control_client_.OnUp(MonotonicNow(), peer));
}

void EntryDaemon::OnLinkDown(FleetLink::LinkId link,
                             const std::string& reason) {
  if (link == peer_link_) peer_link_ = 0;
  const auto is_link = [&](const auto& item) { return item.second == link; };
  for (const auto& [host, id] : control_links_) {
    if (id != link) continue;
    control_client_.OnDown(host);
    stamp_echo_times_.erase(host);
  }
  std::erase_if(control_links_, is_link);
  std::erase_if(outgoing_links_, is_link);
  if (!reason.empty()) {
    log_.Write(LogLevel::kWarning, "link_refused", {{"cause", reason}});
  }
}

void EntryDaemon::OnLinkMessage(FleetLink::LinkId link, const HostId& from,
                                const json& message) {
  try {
    HandleLinkMessage(link, from, message);
  } catch (const json::exception& e) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"from", from.value()}, {"cause", e.what()}});
  }
}

void EntryDaemon::HandleLinkMessage(FleetLink::LinkId link, const HostId& from,
                                    const json& message) {
  const std::string type =
      message.is_object() ? message.value("t", std::string()) : std::string();
  if (type == "snapshot" || type == "patches") {
    OnConfiguration(message);
    if (link == peer_link_) links_.Close(link);
  } else if (type == "reply") {
    ExecuteEffects(control_client_.OnReply(MonotonicNow(), from, message));
  } else if (type == "stamp") {
    OnStamp(from, message);
  } else if (type == "subscribe" && configuration_follower_.revision() > 0) {
    // Sent by another entry host that cannot reach the control hosts.
    links_.Send(link, configuration_follower_.Snapshot());
  }
}

void EntryDaemon::OnConfiguration(const json& message) {
  auto received = configuration_follower_.Receive(message);
  if (!received) {
    log_.Write(LogLevel::kError, "configuration_refused",
               {{"cause", received.error().detail}});
    for (const auto& [host, link] : control_links_) {
      links_.Send(link, configuration_follower_.Subscribe());
    }
    return;
  }
  if (*received) {
    configuration_ = std::move(**received);
    ApplyConfiguration();
  }
  PollControl();
}

// Puts the configuration in force. Whether an availability zone is in service
// follows from its plan and the current time.
void EntryDaemon::ApplyConfiguration() {
  const WallTime wall = WallNow();
  Declarations declarations = configuration_.declarations;
  for (ZoneDeclaration& zone : declarations.zones) {
    zone.in_service = InServiceAt(zone, wall);
    metrics_->SetZoneInService(zone.id, zone.in_service);
  }
  next_zone_plan_ = NextZonePlan(configuration_.declarations, wall);
  const auto table =
      RouteTable::Create(configuration_.revision, std::move(declarations));
  control_.SetConfiguration(MonotonicNow(), table);
  std::atomic_store(&table_, table);
  traffic_thread_.Post([this, table] { traffic_.SetConfiguration(table); });
  metrics_->SetConfigurationRevision(table->revision());
  {
    const std::lock_guard<std::mutex> lock(freshness_mutex_);
    freshness_.SetRevision(table->revision());
  }
  log_.Write(LogLevel::kInfo, "configuration_in_force",
             {{"revision", table->revision()}});
}

void EntryDaemon::ExecuteEffects(ControlClient::Effects effects) {
  for (const ControlClient::Message& message : effects.messages) {
    const auto link = control_links_.find(message.to);
    if (link != control_links_.end()) links_.Send(link->second, message.body);
  }
  for (ControlClient::Answer& answer : effects.answers) {
    const auto callback = pending_claims_.extract(answer.token);
    if (callback.empty()) continue;
    if (!answer.result) {
      callback.mapped()(tl::unexpected(answer.result.error()));
    } else if (auto* claim = std::get_if<ClaimResult>(&*answer.result)) {
      callback.mapped()(std::move(*claim));
    } else {
      callback.mapped()(
          Fail(ErrorKind::kIdempotencyUnavailable,
               "unexpected result type in the response to a claim"));
    }
  }
}

}  // namespace sapphirebank
