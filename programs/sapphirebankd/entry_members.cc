#include <utility>

#include "programs/sapphirebankd/entry_daemon.h"
#include "programs/sapphirebankd/process.h"
#include "sapphirebank/entry/host_contact.h"
#include "sapphirebank/entry/ownership_keys.h"
#include "sapphirebank/transport/operator_messages.h"

// The parts of EntryDaemon that run on the control thread and track the members
// of the fleet and the freshness of the caller keys.

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::string_view kMembershipType = "m";
constexpr std::string_view kWitnessQueryType = "wq";
constexpr std::string_view kWitnessResponseType = "wa";

}  // namespace

void EntryDaemon::OnDatagram(const HostId& from, const std::string& type,
                             const json& body, const Endpoint& sender) {
  const Instant now = MonotonicNow();
  if (type == kWitnessQueryType || type == kWitnessResponseType) {
    OnWitnessMessage(from, type, body);
    return;
  }
  if (type != kMembershipType) {
    ExecuteEffects(control_.Receive(now, from, type, body));
    return;
  }
  const auto message = MembershipMessageFromJson(body);
  if (!message) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"cause", message.error().detail}});
    return;
  }
  ExecuteEffects(membership_.Receive(now, ToString(sender), *message));
  UpdateMembers();
}

void EntryDaemon::ExecuteEffects(MembershipEffects effects) {
  for (const MemberEvent& event : effects.events) {
    const bool failed = event.kind == MemberEventKind::kFailed;
    log_.Write(failed ? LogLevel::kWarning : LogLevel::kInfo, "member",
               {{"change", MemberEventName(event.kind)},
                {"member", event.member.id.value()},
                {"incarnation", event.member.incarnation}});
  }
  if (effects.messages.empty()) return;
  asio::post(loop_, [this, outgoing = std::move(effects.messages)] {
    for (const OutgoingMembershipMessage& send : outgoing) {
      const auto to = EndpointFromString(send.address);
      if (!to) continue;
      datagrams_->Send(*to, std::string(kMembershipType),
                       MembershipMessageToJson(send.message));
    }
  });
}

// Polls the control hosts for a stamp of the leader. The poll also reports the
// revision in force on this host and echoes the "asked" time of the last stamp.
void EntryDaemon::PollControl() {
  const Instant now = MonotonicNow();
  for (const auto& [host, link] : control_links_) {
    json poll = {{"t", "poll"},
                 {"sent", now.time_since_epoch().count()},
                 {"revision", configuration_follower_.revision()}};
    const auto echo_time = stamp_echo_times_.find(host);
    if (echo_time != stamp_echo_times_.end()) poll["asked"] = echo_time->second;
    links_.Send(link, poll);
  }
}

// Reports this host's backend servers and leases to the control hosts, which
// show them to operators.
void EntryDaemon::ReportToControl() {
  traffic_thread_.Post([this] {
    control_thread_.Post([this, servers = traffic_.Servers()] {
      json backends = json::array();
      for (const ServerStatus& server : servers) {
        backends.push_back(BackendStatus{
            server.backend, server.key.service, server.key.zone,
            settings_.host_id, std::string(BackendStateName(server.state)),
            server.slots, server.slot_limit, server.taken});
      }
      json leases = json::array();
      const auto held = control_.leases()->With(
          [](LeaseHolder& holder) { return holder.HeldKeys(MonotonicNow()); });
      for (const OwnerAnnouncement::Key& key : held) {
        if (RateBucketOf(key.key)) continue;  // Too many to report.
        leases.push_back(LeaseStatus{key.key, settings_.host_id, key.term});
      }
      const json report = {{"t", "report"},
                           {"zone", settings_.zone.value()},
                           {"backends", std::move(backends)},
                           {"leases", std::move(leases)}};
      for (const auto& [host, link] : control_links_) {
        links_.Send(link, report);
      }
    });
  });
}

void EntryDaemon::OnStamp(const HostId& from, const json& message) {
  const Instant now = MonotonicNow();
  const Instant sent{Duration(message.at("sent").get<Duration::rep>())};
  if (sent > now) return;
  const RevisionStamp stamp{message.at("revision").get<Revision>(), now - sent};
  stamp_echo_times_[from] = message.at("asked").get<std::int64_t>();
  membership_.ObserveStamp(now, stamp);
  const std::lock_guard<std::mutex> lock(freshness_mutex_);
  freshness_.ObserveStamp(now, stamp);
}

void EntryDaemon::TickFreshness() {
  const Instant now = MonotonicNow();
  std::vector<OutgoingWitnessQuery> outgoing;
  std::optional<RevisionStamp> newest_stamp;
  {
    const std::lock_guard<std::mutex> lock(freshness_mutex_);
    const auto gossiped = membership_.LatestStamp(now);
    if (gossiped) freshness_.ObserveStamp(now, *gossiped);
    outgoing = freshness_.Tick(now);
    newest_stamp = freshness_.LatestStamp(now);
  }
  if (newest_stamp) {
    membership_.ObserveStamp(now, *newest_stamp);
    metrics_->SetFreshnessAge(newest_stamp->age);
  }
  for (const OutgoingWitnessQuery& send : outgoing) {
    const json body = WitnessQueryToJson(send.query);
    if (send.to == settings_.host_id) {
      OnWitnessMessage(send.to, std::string(kWitnessQueryType), body);
      continue;
    }
    EntryEffects effects;
    effects.messages.push_back({send.to, std::string(kWitnessQueryType), body});
    ExecuteEffects(std::move(effects));
  }
}

void EntryDaemon::OnWitnessMessage(const HostId& from, const std::string& type,
                                   const json& body) {
  const Instant now = MonotonicNow();
  std::optional<WitnessResponse> own_response;
  {
    const std::lock_guard<std::mutex> lock(freshness_mutex_);
    if (type == kWitnessResponseType) {
      const auto response = WitnessResponseFromJson(body);
      if (response) freshness_.Receive(now, *response);
      return;
    }
    const auto query = WitnessQueryFromJson(body);
    if (query) own_response = freshness_.Receive(now, *query);
  }
  if (!own_response) return;
  const json reply = WitnessResponseToJson(*own_response);
  if (from == settings_.host_id) {
    OnWitnessMessage(from, std::string(kWitnessResponseType), reply);
    return;
  }
  EntryEffects effects;
  effects.messages.push_back({from, std::string(kWitnessResponseType), reply});
  ExecuteEffects(std::move(effects));
}

void EntryDaemon::UpdateMembers() {
  if (view_version_ == membership_.view_version()) return;
  view_version_ = membership_.view_version();
  const Instant now = MonotonicNow();
  std::vector<LiveHost> live;
  std::map<HostId, Endpoint> addresses;
  std::vector<LookupHost> lookup;
  std::map<HostId, Instant> since;
  for (const Member& member : membership_.LiveMembers()) {
    const auto known = live_since_.find(member.id);
    since[member.id] = known == live_since_.end() ? now : known->second;
    live.push_back({member.id, member.details.zone, since[member.id]});
    const auto address = EndpointFromString(member.details.address);
    if (address) addresses[member.id] = *address;
    const auto contact = HostContactFromMetadata(member.details.metadata);
    if (contact) {
      lookup.push_back({member.id, member.details.zone, contact->callers});
    }
  }
  for (const auto& [host, instant] : live_since_) {
    if (since.contains(host)) continue;
    traffic_thread_.Post([this, gone = host] { traffic_.ForgetHost(gone); });
  }
  live_since_ = std::move(since);
  control_.SetHosts(now, std::move(live));
  MemberCounts counts;
  counts.alive = membership_.CountOf(MemberState::kAlive);
  counts.suspect = membership_.CountOf(MemberState::kSuspect);
  counts.failed = membership_.CountOf(MemberState::kFailed);
  counts.left = membership_.CountOf(MemberState::kLeft);
  metrics_->SetMembers(counts);
  asio::post(loop_, [this, addresses = std::move(addresses),
                     lookup = std::move(lookup)] {
    datagram_addresses_ = addresses;
    lookup_hosts_ = lookup;
  });
}

}  // namespace sapphirebank
