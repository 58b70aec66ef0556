#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/change_chain.h"
#include "sapphirebank/fleet/change_gate.h"
#include "sapphirebank/fleet/control_timing.h"
#include "sapphirebank/fleet/departure_start.h"
#include "sapphirebank/fleet/entry_view.h"
#include "unit_tests/consensus/control_group.h"
#include "unit_tests/fleet/fleet_fixtures.h"
#include "unit_tests/fleet/request_traffic.h"

namespace sapphirebank {

// What goes wrong in a run, in the time of calm that a change has to be
// acknowledged in.
enum class ChainTrouble {
  kNone,
  kLeaderDisk,    // The leader stands still, as its disk does.
  kFollowerDisk,  // Another control host does.
  kSlowLeader,    // The leader stands still for a moment, again and again.
  kEntryHosts,    // Entry hosts stand still, one after the other.
  kLoad,          // Links of entry hosts are full for most of a second.
  kLostAnswers,   // Half of the answers to the operator.
  kEnds,  // Leaderships, control hosts and entry hosts end at any moment.
};

struct ChainSettings {
  std::size_t hubs = 5;
  std::size_t hosts = 40;
  ChainTrouble trouble = ChainTrouble::kNone;
  Duration trouble_time = std::chrono::seconds(3);
  ViewLeaseSettings lease = MakeViewLeaseSettings({});
  // Whether a new leader counts leases of the former one from the end of its
  // last round, or from the election as earlier builds do.
  bool uses_former_rounds_end = true;
  // Whether acknowledgements wait for the leases of hosts.
  bool holds_acknowledgements = true;
  // Whether the changes are departures of servers, to which the entry hosts
  // send requests. They name no start, and some of the servers started just
  // before, known to one control host.
  bool has_departures = false;
  // Whether such a departure covers starts that the leader does not know.
  bool covers_unknown_starts = true;
  RequestGuards guards;
  // An entry host of an earlier build counts on the whole lease, and leaves the
  // bytes of requests alone.
  bool has_old_host = false;
};

// An operator, a control group, its hubs and their entry hosts, with the links
// between them, by simulated time. The control group, the gates of changes and
// the views are those of the product.
class ChangeChainSimulation {
 public:
  struct Outcome {
    int changes = 0;
    int answered = 0;
    int overdue = 0;  // Requests that were handled without a due change.
    int arrived = 0;  // Requests at servers.
    int late = 0;     // Those at servers whose departure was due.
    Duration longest_order{};
    std::map<ChangeHop, Duration> longest_hops;
  };

  ChangeChainSimulation(const ChainSettings& settings, std::uint64_t seed)
      : settings_(settings),
        random_(seed),
        group_(settings.hubs, seed, [](ControlHostSettings& host) {
          host.dynamic_membership = true;
          host.founders = host.control_hosts;
          host.raft.heartbeat_interval = kControlHeartbeat;
          host.raft.election_timeout = kControlElectionTimeout;
          host.raft.first_election_timeout = kFirstElectionTimeout;
        }) {
    group_.set_network({0, 0, std::chrono::milliseconds(5)});
    for (std::size_t i = 0; i < settings.hubs; ++i) {
      hubs_.emplace_back(settings.lease, group_.now());
    }
    for (std::size_t i = 0; i < settings.hosts; ++i) {
      Host& host = hosts_.emplace_back(LeaseOf(i), RequestsOf(i));
      host.name = HostId("entry-" + std::to_string(i));
      host.hub = i % settings.hubs;
      host.next_report_at = group_.now() + Between(0, 500);
    }
  }

  Outcome Run() {
    group_.AwaitLeader();
    // Leases of the start are over then.
    RunUntil(group_.now() + std::chrono::seconds(5));
    is_sending_ = true;
    next_order_at_ = group_.now();
    trouble_at_ = group_.now() + Between(500, 2500);
    RunUntil(group_.now() + std::chrono::seconds(8));
    is_sending_ = false;
    RunUntil(group_.now() + std::chrono::seconds(5));
    return outcome_;
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kOrderPeriod = std::chrono::milliseconds(700);
  static constexpr Duration kReportTime = std::chrono::milliseconds(500);
  static constexpr Duration kRelayReportTime = std::chrono::milliseconds(100);
  static constexpr Duration kConfirmTime = std::chrono::milliseconds(150);
  // A host whose hub leaves a report unanswered turns to another one then.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(1500);

  struct Hub {
    Hub(const ViewLeaseSettings& settings, Instant start)
        : gate(settings, start) {}

    ChangeGate gate;
    bool leads = false;
    Instant leads_since;
    Instant former_rounds_end;
    Instant away_until;
    // Servers that it knows, by their numbers.
    std::set<PlanVersion> known;
    std::uint64_t record = 0;
    std::uint64_t told = 0;
    Instant confirmed_as_of;
    std::optional<RequestToken> read;
    Instant read_at;
    Instant next_read_at;
    Instant next_report_at;
  };
  struct Server {
    Instant started_at;
    Instant next_ping_at;
  };
  struct Host {
    Host(const ViewLeaseSettings& lease, RequestTraffic traffic)
        : view(NewView(lease)), requests(std::move(traffic)) {}
    static EntryView NewView(const ViewLeaseSettings& lease) {
      return {[](std::string_view) { return MakePlan(MakePlanParts()); },
              lease};
    }

    HostId name;
    std::size_t hub = 0;
    EntryView view;
    Instant next_report_at;
    std::optional<Instant> asked_at;
    std::uint64_t told = 0;
    Instant suspended_until;
    int starts = 0;
    // Its links to hubs are cut off.
    Instant cut_until;
    // Machines that stood still or started are not judged for a while.
    Instant judged_from;
    RequestTraffic requests;
  };
  struct Order {
    PlanVersion version = 0;
    Instant first_sent_at;
    Instant next_call_at;
    std::optional<Instant> call_at;
    std::size_t called = 0;
    int calls = 0;
    std::optional<std::size_t> leader;  // That has the change.
    std::optional<RequestToken> proposal;
    std::optional<Instant> proposed_at;
    std::optional<Instant> committed_at;
    std::uint64_t committed_change = 0;
    std::optional<Instant> released_at;
    bool waits_for_former_leader = false;
    std::optional<Instant> acknowledged_at;
    std::optional<std::uint64_t> change;
    bool answer_is_lost = false;
    bool is_done = false;
  };

  Duration Between(std::uint64_t low_ms, std::uint64_t high_ms) {
    return std::chrono::milliseconds(low_ms +
                                     random_.Below(high_ms - low_ms + 1));
  }
  // The first host is the one of an earlier build.
  bool IsOld(std::size_t host) const {
    return settings_.has_old_host && host == 0;
  }
  ViewLeaseSettings LeaseOf(std::size_t host) const {
    ViewLeaseSettings lease = settings_.lease;
    if (IsOld(host)) lease.contact_lease = lease.lease;
    return lease;
  }
  RequestTraffic RequestsOf(std::size_t host) const {
    RequestGuards guards = settings_.guards;
    if (!IsOld(host)) {
      return {settings_.lease, guards, std::chrono::seconds(3)};
    }
    guards.cuts_with_lease = guards.cuts_after_departure = false;
    return {LeaseOf(host), guards, settings_.lease.way / 2};
  }
  bool IsAway(std::size_t hub) const {
    return !group_.IsUp(hub) || group_.IsSuspended(hub);
  }
  bool MayAcknowledge(Instant now, std::size_t hub,
                      std::uint64_t change) const {
    return !settings_.holds_acknowledgements ||
           hubs_[hub].gate.MayAcknowledge(now, change,
                                          settings_.lease.plan_bound);
  }
  // More servers than leave, so that some always stay.
  static constexpr PlanVersion kServers = 16;
  static Incarnation Milliseconds(Instant at) {
    return static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            at.time_since_epoch())
            .count());
  }
  static BackendId ServerOf(PlanVersion number) {
    return BackendId("server-" + std::to_string(number));
  }
  static HostId NameOf(std::size_t hub) { return ControlGroup::HostIdOf(hub); }
  const FleetRecord& RecordOf(std::size_t hub) {
    return group_.at(hub).state().fleet();
  }

  void RunUntil(Instant end) {
    while (group_.now() < end) {
      UpdateTrouble(group_.now());
      group_.Run(kStep);
      const Instant now = group_.now();
      for (std::size_t i = 0; i < hubs_.size(); ++i) {
        if (!IsAway(i)) RunHub(now, i);
      }
      Deliver(now);
      if (settings_.has_departures) RunServers(now);
      for (std::size_t i = 0; i < hosts_.size(); ++i) RunHost(now, i);
      RunOperator(now);
    }
  }

  // Messages on a link keep their order; those to a control host that stands
  // still wait.
  void Send(Instant now, const std::string& link, Duration delay,
            std::optional<std::size_t> to_hub,
            std::function<void(Instant)> action) {
    Instant at = std::max(now + delay, last_arrival_[link]);
    last_arrival_[link] = at;
    messages_.emplace(at, Message{to_hub, std::move(action)});
  }

  void Deliver(Instant now) {
    for (auto next = messages_.begin();
         next != messages_.end() && next->first <= now;) {
      const auto message = next++;
      const auto hub = message->second.to_hub;
      if (hub && group_.IsUp(*hub) && group_.IsSuspended(*hub)) continue;
      const auto action = std::move(message->second.action);
      messages_.erase(message);
      if (!hub || group_.IsUp(*hub)) action(now);
    }
  }

  void UpdateTrouble(Instant now) {
    const bool is_on = trouble_at_ && now >= *trouble_at_ &&
                       now < *trouble_at_ + settings_.trouble_time;
    const auto leader = group_.Leader();
    switch (settings_.trouble) {
      case ChainTrouble::kLeaderDisk:
      case ChainTrouble::kFollowerDisk:
        if (is_on && !victim_ && leader) {
          const bool hits_leader =
              settings_.trouble == ChainTrouble::kLeaderDisk;
          victim_ = hits_leader ? *leader : (*leader + 1) % settings_.hubs;
          group_.Suspend(*victim_);
          if (hits_leader) leader_lost_at_ = now;
        } else if (!is_on && victim_ && trouble_at_ && now >= *trouble_at_) {
          group_.Suspend(*victim_, false);
        }
        break;
      case ChainTrouble::kSlowLeader:
        for (std::size_t i = 0; i < settings_.hubs; ++i) {
          group_.Suspend(i, is_on && i == leader && random_.Chance(0.6));
        }
        break;
      case ChainTrouble::kEntryHosts:
        if (is_on && random_.Chance(0.05)) {
          hosts_[random_.Below(hosts_.size())].suspended_until =
              now + Between(200, 3000);
        }
        break;
      case ChainTrouble::kEnds:
        if (is_sending_) EndSomething(now);
        break;
      default:
        break;
    }
    is_loaded_ = is_on && settings_.trouble == ChainTrouble::kLoad;
  }

  void EndSomething(Instant now) {
    ReturnHubs(now);
    const double kind = random_.Unit();
    if (kind < 0.01) {
      EndHub(now);
    } else if (kind < 0.014) {
      const auto leader = group_.Leader();
      if (leader && !IsAway(*leader))
        group_.at(*leader).TransferLeadership(now);
    } else if (kind < 0.07) {
      EndHost(now);
    }
  }

  // Crashes, suspends or isolates a control host, the leader as often as not.
  void EndHub(Instant now) {
    const auto away = std::count_if(hubs_.begin(), hubs_.end(), [&](Hub& hub) {
      return now < hub.away_until;
    });
    const auto leader = group_.Leader();
    const std::size_t hub =
        leader && random_.Chance(0.5) ? *leader : random_.Below(hubs_.size());
    if (away >= static_cast<long>(hubs_.size() / 2) || IsAway(hub) ||
        now < hubs_[hub].away_until) {
      return;
    }
    hubs_[hub].away_until = now + Between(100, 5000);
    switch (random_.Below(3)) {
      case 0:
        group_.Crash(hub);
        hubs_[hub].leads = false;
        for (Order& order : orders_) {
          if (order.leader == hub) order.leader.reset();
        }
        break;
      case 1:
        group_.Suspend(hub);
        break;
      default:
        group_.Isolate(hub);
        isolated_.insert(hub);
    }
  }

  void ReturnHubs(Instant now) {
    for (std::size_t i = 0; i < hubs_.size(); ++i) {
      if (now < hubs_[i].away_until) continue;
      if (isolated_.erase(i) > 0) {
        for (std::size_t other = 0; other < hubs_.size(); ++other) {
          group_.BlockLink(i, other, isolated_.contains(other));
          group_.BlockLink(other, i, isolated_.contains(other));
        }
      }
      if (!group_.IsUp(i)) {
        group_.Start(i);
        hubs_[i] = Hub(settings_.lease, now);
      }
      if (group_.IsSuspended(i)) group_.Suspend(i, false);
    }
  }

  // Restarts, suspends, cuts off or sends on an entry host.
  void EndHost(Instant now) {
    constexpr Duration kContact = std::chrono::seconds(3);
    const std::size_t index = random_.Below(hosts_.size());
    Host& host = hosts_[index];
    if (now < host.suspended_until) return;
    switch (random_.Below(4)) {
      case 0:
        for (Host& other : hosts_) other.requests.ForgetView(&host.view);
        host.view = Host::NewView(LeaseOf(index));
        host.requests.Clear();
        host.told = 0;
        host.asked_at.reset();
        host.next_report_at = now;
        host.hub = random_.Below(hubs_.size());
        ++host.starts;
        host.judged_from = now + kContact;
        break;
      case 1: {
        const Duration time = Between(100, 3000);
        host.suspended_until = now + time;
        host.judged_from = host.suspended_until + kContact;
        host.requests.Delay(time);
        break;
      }
      case 2:
        host.cut_until = now + Between(500, 4000);
        break;
      default:
        host.hub = random_.Below(hubs_.size());
        host.asked_at.reset();
        host.next_report_at = now;
    }
  }

  Duration LinkDelay() {
    return is_loaded_ && random_.Chance(0.2) ? Between(100, 600)
                                             : Between(2, 20);
  }

  void RunHub(Instant now, std::size_t index) {
    Hub& hub = hubs_[index];
    ControlHost& host = group_.at(index);
    if (host.IsLeader() != hub.leads) {
      hub.leads = host.IsLeader();
      if (hub.leads) {
        if (leader_lost_at_) {
          Longest(ChangeHop::kElection, now - *leader_lost_at_);
          leader_lost_at_.reset();
        }
        hub.leads_since = now;
        hub.former_rounds_end = host.raft().former_rounds_end();
        hub.gate.BecomeLeader(
            now, RecordOf(index).changes(),
            settings_.uses_former_rounds_end ? hub.former_rounds_end : now);
      } else {
        std::vector<HostId> others;
        for (std::size_t i = 0; i < hubs_.size(); ++i) {
          if (i != index) others.push_back(NameOf(i));
        }
        hub.gate.EndLeadership(others);
      }
      hub.read.reset();
      hub.next_read_at = now;
    }
    if (RecordOf(index).changes() > hub.record) {
      hub.record = RecordOf(index).changes();
      if (hub.leads) hub.gate.RecordCommit(now, hub.record);
      Push(now, index);
    }
    if (hub.leads) {
      Confirm(now, index);
      Release(now, index);
    } else {
      Report(now, index);
    }
  }

  void Confirm(Instant now, std::size_t index) {
    Hub& hub = hubs_[index];
    if (hub.read) {
      const Completion* done = group_.Find(*hub.read);
      if (done == nullptr) return;
      if (done->result) {
        hub.confirmed_as_of = std::max(hub.confirmed_as_of, hub.read_at);
      }
      hub.read.reset();
    }
    if (now < hub.next_read_at) return;
    hub.next_read_at = now + kConfirmTime;
    hub.read_at = now;
    hub.read = group_.Read(index);
  }

  // A relay's report to the leader, and its confirmation of changes.
  void Report(Instant now, std::size_t index) {
    Hub& hub = hubs_[index];
    const std::uint64_t applied = hub.gate.AppliedByAll(now, hub.record);
    if (now < hub.next_report_at && applied <= hub.told) return;
    const auto leader = group_.at(index).leader();
    if (!leader) return;
    const std::size_t to = ControlGroup::IndexOf(*leader);
    if (isolated_.contains(index) || isolated_.contains(to)) return;
    hub.next_report_at = now + kRelayReportTime;
    hub.told = applied;
    const std::string link = NameOf(index).value() + NameOf(to).value();
    Send(now, link, Between(1, 10), to,
         [this, index, to, applied, link, sent = now,
          known = hub.known](Instant at) {
           Hub& at_leader = hubs_[to];
           if (!at_leader.leads) return;
           at_leader.known.insert(known.begin(), known.end());
           at_leader.gate.RecordApplied(NameOf(index), applied);
           at_leader.gate.RecordConfirmation(
               at, NameOf(index), at_leader.confirmed_as_of, at_leader.record);
           const Instant as_of = sent - (at - at_leader.confirmed_as_of);
           Send(at, link + "back", Between(1, 10), index,
                [this, index, as_of, record = at_leader.record,
                 all = at_leader.known](Instant) {
                  Hub& relay = hubs_[index];
                  relay.known.insert(all.begin(), all.end());
                  if (relay.record < record) return;
                  relay.confirmed_as_of =
                      std::max(relay.confirmed_as_of, as_of);
                });
         });
  }

  void RunHost(Instant now, std::size_t index) {
    Host& host = hosts_[index];
    if (now < host.suspended_until) return;
    if (settings_.has_departures) RunRequests(now, host);
    if (host.view.IsCurrent(now) &&
        host.view.applied_changes() < DueChange(now)) {
      ++outcome_.overdue;
    }
    if (host.asked_at && now - *host.asked_at > kReportTimeout) {
      host.hub =
          (host.hub + 1 + random_.Below(hubs_.size() - 1)) % hubs_.size();
      host.asked_at.reset();
      host.next_report_at = now;
    }
    const bool has_news = host.view.applied_changes() > host.told;
    if (now < host.next_report_at && !has_news) return;
    host.next_report_at = now + kReportTime;
    host.told = host.view.applied_changes();
    if (!host.asked_at) host.asked_at = now;
    if (now < host.cut_until) return;
    const std::size_t to = host.hub;
    const std::string link = host.name.value() + NameOf(to).value();
    Send(now, link, LinkDelay(), to,
         [this, index, to, link, sent = now, applied = host.told,
          starts = host.starts](Instant at) {
           Hub& hub = hubs_[to];
           const HostId& name = hosts_[index].name;
           hub.gate.RecordApplied(name, applied);
           if (IsOld(index)) {
             hub.gate.RecordConfirmation(at, name, hub.confirmed_as_of,
                                         hub.record);
           } else {
             hub.gate.RecordContact(at, name, hub.confirmed_as_of, hub.record);
           }
           const FleetUpdate update = MakeUpdate(at, to);
           Send(at, link + "back", LinkDelay(), std::nullopt,
                [this, index, to, sent, starts, update](Instant back) {
                  Host& asked = hosts_[index];
                  if (asked.hub != to || back < asked.suspended_until) return;
                  if (asked.starts != starts || back < asked.cut_until) return;
                  asked.asked_at.reset();
                  asked.view.Apply(back, sent, update);
                });
         });
  }

  // Advances the requests of a host.
  void RunRequests(Instant now, Host& host) {
    if (random_.Chance(0.1)) {
      host.requests.Start(now, host.view, random_, [&]() -> const EntryView* {
        Host& other = hosts_[random_.Below(hosts_.size())];
        // The machine that sends a request to the server is judged too.
        const bool is_sound =
            now >= other.judged_from && now >= other.suspended_until;
        return is_sound ? &other.view : nullptr;
      });
    }
    host.requests.Run(now, random_, [&](const BackendId& server) {
      ++outcome_.arrived;
      const auto departure = departures_.find(server);
      if (departure == departures_.end() || now < host.judged_from) return;
      if (now > departure->second + settings_.lease.plan_bound +
                    settings_.lease.way) {
        ++outcome_.late;
      }
    });
  }

  FleetUpdate MakeUpdate(Instant now, std::size_t hub) {
    FleetUpdate update;
    update.record_changes = hubs_[hub].record;
    update.quorum_age = now - hubs_[hub].confirmed_as_of;
    update.gates_changes = true;
    update.full_registry = true;
    if (!settings_.has_departures) return update;
    for (const PlanVersion number : hubs_[hub].known) {
      const std::string server = ServerOf(number).value();
      const Incarnation start = Milliseconds(servers_[number].started_at);
      if (RecordOf(hub).IsRetired(BackendId(server), start)) continue;
      update.servers.push_back({MakeServer(server, "kochi", start)});
    }
    return update;
  }

  // Servers announce themselves to any control host until they leave. Every
  // second one starts a short time before that.
  void RunServers(Instant now) {
    for (PlanVersion number = 1; number <= kServers; ++number) {
      if (number <= last_version_) continue;
      const bool is_new = !servers_.contains(number);
      if (is_new && number % 2 == 0) {
        const Duration until_order =
            next_order_at_ - now + kOrderPeriod * (number - last_version_ - 1);
        if (!is_sending_ || until_order > Between(100, 3000)) continue;
      }
      Server& server = servers_[number];
      if (is_new) server.started_at = now;
      if (now < server.next_ping_at) continue;
      server.next_ping_at = now + std::chrono::milliseconds(1500);
      const std::size_t hub = random_.Below(hubs_.size());
      if (!IsAway(hub)) hubs_[hub].known.insert(number);
    }
  }

  // Returns the departure as the leader stores it.
  RetireBackend DepartureAt(Instant now, const Order& order,
                            std::size_t leader) {
    const RetireBackend departure = {ServerOf(order.version), 0};
    const auto knowledge_of = [&](std::size_t hub) {
      const bool is_known = hubs_[hub].known.contains(order.version);
      const Instant start = servers_[order.version].started_at;
      return DepartureKnowledge{is_known ? Milliseconds(start) : 0,
                                Milliseconds(now)};
    };
    if (!settings_.covers_unknown_starts) {
      return {departure.backend, knowledge_of(leader).known_start};
    }
    return CompleteDeparture(departure, RecordOf(leader),
                             knowledge_of(order.called) | knowledge_of(leader),
                             settings_.lease.plan_bound + settings_.lease.way);
  }

  // Sends a hub's hosts the changes that it has got.
  void Push(Instant now, std::size_t index) {
    const FleetUpdate update = MakeUpdate(now, index);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i].hub != index) continue;
      Send(now, hosts_[i].name.value() + NameOf(index).value() + "back",
           LinkDelay(), std::nullopt, [this, i, index, update](Instant at) {
             Host& host = hosts_[i];
             if (host.hub != index || at < host.suspended_until ||
                 at < host.cut_until) {
               return;
             }
             host.view.Apply(at, std::nullopt, update);
           });
    }
  }

  // Records when the leader may acknowledge the changes that it has.
  void Release(Instant now, std::size_t leader) {
    const Hub& hub = hubs_[leader];
    for (Order& order : orders_) {
      if (order.released_at || !order.committed_at) continue;
      if (!hub.gate.MayAcknowledge(now, order.committed_change,
                                   settings_.lease.plan_bound)) {
        // Nobody that the leader knows of is waited for.
        order.waits_for_former_leader =
            hub.gate
                .HoldersBehind(now, order.committed_change,
                               settings_.lease.plan_bound)
                .empty();
        continue;
      }
      order.released_at = now;
      const Instant since = std::max(*order.committed_at, hub.leads_since);
      Longest(ChangeHop::kControlHosts, now - since);
      if (order.waits_for_former_leader) {
        Longest(ChangeHop::kFormerLeader, now - hub.former_rounds_end);
      }
    }
  }

  // Returns the last change that no host may act without any more.
  std::uint64_t DueChange(Instant now) {
    for (const Order& order : orders_) {
      if (order.acknowledged_at && order.change &&
          now > *order.acknowledged_at + settings_.lease.plan_bound) {
        due_change_ = std::max(due_change_, *order.change);
      }
    }
    return due_change_;
  }

  void RunOperator(Instant now) {
    if (is_sending_ && now >= next_order_at_) {
      next_order_at_ = now + kOrderPeriod;
      Order& order = orders_.emplace_back();
      order.version = ++last_version_;
      order.first_sent_at = order.next_call_at = now;
      ++outcome_.changes;
    }
    for (Order& order : orders_) {
      if (!order.is_done) RunOrder(now, order);
    }
  }

  void RunOrder(Instant now, Order& order) {
    if (!order.call_at) {
      if (now < order.next_call_at) return;
      order.call_at = now;
      order.called = random_.Below(hubs_.size());
      order.answer_is_lost = false;
      ++order.calls;
      order.leader.reset();
    }
    const Duration waited = now - *order.call_at;
    const bool is_silent = IsAway(order.called) || order.answer_is_lost;
    if (waited >= kOperatorCallTime ||
        (waited >= kControlCallTimeout && !is_silent)) {
      Longest(ChangeHop::kCall, waited);
      order.call_at.reset();
      order.next_call_at =
          now + std::min<Duration>(std::chrono::milliseconds(65) *
                                       (1 << std::min(order.calls, 2)),
                                   kOperatorPause);
      return;
    }
    if (is_silent) return;
    // A control host passes the call on to the leader that it knows.
    const auto known = group_.at(order.called).leader();
    if (!known) return;
    const std::size_t leader = ControlGroup::IndexOf(*known);
    if (order.leader != leader) {
      order.leader = leader;
      order.proposal.reset();
    }
    if (IsAway(leader) || !hubs_[leader].leads) return;
    RetireBackend departure;
    if (settings_.has_departures) {
      departure = DepartureAt(now, order, leader);
      order.change = RecordOf(leader).RetirementChange(departure.backend,
                                                       departure.incarnation);
    } else {
      order.change = RecordOf(leader).PlanChange(order.version);
    }
    if (!order.change) {
      if (!order.proposal) {
        order.proposal =
            settings_.has_departures
                ? group_.Propose(leader, departure)
                : group_.Propose(leader, StorePlan{order.version, "{}"});
        order.proposed_at = now;
      }
      return;
    }
    if (!order.committed_at) {
      order.committed_at = now;
      order.committed_change = *order.change;
      if (order.proposal) {
        Longest(ChangeHop::kCommit, now - *order.proposed_at);
      }
    }
    if (!MayAcknowledge(now, leader, *order.change)) return;
    if (!order.acknowledged_at) {
      order.acknowledged_at = now;
      if (settings_.has_departures) {
        departures_[ServerOf(order.version)] = now;
      }
      if (settings_.trouble == ChainTrouble::kLostAnswers &&
          random_.Chance(0.5)) {
        order.answer_is_lost = true;
        return;
      }
    }
    order.is_done = true;
    ++outcome_.answered;
    outcome_.longest_order =
        std::max(outcome_.longest_order, now - order.first_sent_at);
  }

  void Longest(ChangeHop hop, Duration time) {
    Duration& longest = outcome_.longest_hops[hop];
    longest = std::max(longest, time);
  }

  struct Message {
    std::optional<std::size_t> to_hub;
    std::function<void(Instant)> action;
  };

  ChainSettings settings_;
  Random random_;
  ControlGroup group_;
  std::deque<Hub> hubs_;
  std::deque<Host> hosts_;
  std::multimap<Instant, Message> messages_;
  std::map<std::string, Instant> last_arrival_;
  std::deque<Order> orders_;
  bool is_sending_ = false;
  Instant next_order_at_;
  std::optional<Instant> trouble_at_;
  std::set<std::size_t> isolated_;
  std::map<PlanVersion, Server> servers_;
  // When the departures of servers were acknowledged first.
  std::map<BackendId, Instant> departures_;
  std::optional<std::size_t> victim_;
  std::optional<Instant> leader_lost_at_;
  bool is_loaded_ = false;
  PlanVersion last_version_ = 0;
  std::uint64_t due_change_ = 0;
  Outcome outcome_;
};

}  // namespace sapphirebank
