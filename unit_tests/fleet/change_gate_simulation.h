#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/change_gate.h"
#include "sapphirebank/fleet/entry_view.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {

// An operator who sends changes to hubs picked at random, waits a second for
// each answer and sends the change again after a growing pause.
struct SimulatedOperator {
  Duration call_time = std::chrono::seconds(1);
  Duration first_pause = std::chrono::milliseconds(130);
  // A hub ends a call that has no answer by then.
  Duration call_timeout = std::chrono::milliseconds(900);
  // Probability that the first call of a change meets a hub that does not
  // answer, and that the first answer is lost.
  double silent_hubs = 0;
  double lost_answers = 0;
};

struct ChangeGateSimulationSettings {
  int hubs = 19;
  int hosts = 422;
  Duration length = std::chrono::seconds(20);
  Duration change_period = std::chrono::milliseconds(400);
  // Delay of each message up to this, and up to the second one at late hubs.
  Duration max_delay = std::chrono::milliseconds(30);
  Duration max_delay_at_late_hub = std::chrono::milliseconds(2500);
  int late_hubs = 2;
  // From then on some hubs and a part of the links of hosts are cut off for
  // cut_time, and the leader is replaced if it is among them.
  std::optional<Duration> cut_at;
  Duration cut_time = std::chrono::seconds(7);
  int cut_hubs = 9;
  double cut_links = 0.1;
  Duration election_time = std::chrono::milliseconds(1500);
  // With this period one host turns to another hub although its own is sound.
  std::optional<Duration> move_period;
  // Whether hosts go on confirming changes to the hub before.
  bool confirms_to_former_hub = true;
  // Whether acknowledgements wait, and whether leases end the use of a view.
  bool holds_acknowledgements = true;
  bool has_leases = true;
  ViewLeaseSettings lease = DefaultLease();
  // With this period one host loses its hub for outage_time and then turns to
  // another one.
  std::optional<Duration> outage_period;
  Duration outage_time = std::chrono::milliseconds(1500);
  // Sends the changes; otherwise they are committed at once.
  std::optional<SimulatedOperator> sender;

  static ViewLeaseSettings DefaultLease() {
    ChangeLimits limits;
    limits.plan = std::chrono::milliseconds(2500);
    limits.departure = std::chrono::milliseconds(2500);
    return MakeViewLeaseSettings(limits);
  }
};

// A leader, relays and entry hosts that pass on the number of changes of a
// record, with messages that are late or lost, by simulated time. Hub 0 leads
// at first.
class ChangeGateSimulation {
 public:
  struct Outcome {
    int changes = 0;
    int acknowledged = 0;
    // Requests that were handled without a change later than its bound.
    int overdue = 0;
    int handled = 0;
    int refused = 0;
    Duration longest_hold{};
    // Of the changes after the first leases of a start.
    Duration longest_later_hold{};
    // From the operator's first call to the answer that got through, and that
    // where no hub was silent and no answer was lost.
    Duration longest_order{};
    Duration longest_undisturbed_order{};
    int answered_orders = 0;
  };

  ChangeGateSimulation(const ChangeGateSimulationSettings& settings,
                       std::uint64_t seed)
      : settings_(settings), random_(seed) {
    for (int i = 0; i < settings.hubs; ++i) {
      hubs_.emplace_back(settings.lease, kStartTime);
      hubs_.back().is_late = i > 0 && i <= settings.late_hubs;
    }
    for (int i = 0; i < settings.hosts; ++i) {
      Host& host = hosts_.emplace_back(settings.lease);
      host.name = HostId("host-" + std::to_string(i));
      host.hub = i % settings.hubs;
      host.next_report_at =
          kStartTime + FromSeconds(random_.Unit() * ToSeconds(kReportTime));
    }
    hubs_[0].gate.BecomeLeader(kStartTime, 0, kStartTime);
  }

  Outcome Run() {
    const Instant end = kStartTime + settings_.length;
    for (Instant now = kStartTime; now < end; now += kStep) {
      Deliver(now);
      if (settings_.move_period && now >= next_random_move_at_) {
        next_random_move_at_ = now + *settings_.move_period;
        MoveHost(hosts_[random_.Below(hosts_.size())]);
      }
      if (settings_.outage_period) UpdateOutages(now);
      if (settings_.cut_at) UpdateCut(now);
      Lead(now);
      for (int i = 0; i < settings_.hubs; ++i) RunRelay(now, i);
      for (std::size_t i = 0; i < hosts_.size(); ++i) RunHost(now, i);
    }
    return outcome_;
  }

 private:
  static constexpr Instant kStartTime{std::chrono::seconds(1000)};
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kReportTime = std::chrono::milliseconds(500);
  // A host with such a view turns to another hub.
  static constexpr Duration kMoveAge = std::chrono::milliseconds(1500);
  static constexpr Duration kRelayReportTime = std::chrono::milliseconds(100);

  struct Hub {
    Hub(const ViewLeaseSettings& settings, Instant start)
        : gate(settings, start) {}

    ChangeGate gate;
    bool is_late = false;
    bool is_cut = false;
    std::uint64_t record = 0;
    Instant confirmed_as_of;
    Instant next_report_at;
  };
  struct Host {
    explicit Host(const ViewLeaseSettings& lease)
        : view([](std::string_view) { return MakePlan(MakePlanParts()); },
               lease) {}

    HostId name;
    int hub = 0;
    int former_hub = 0;
    bool is_cut = false;
    std::optional<Instant> outage_end;
    EntryView view;
    Instant next_report_at;
    Instant next_move_at;
    std::uint64_t told = 0;
  };
  // A change of the operator, and the call for it that goes on.
  struct Order {
    Instant first_sent_at;
    std::optional<std::uint64_t> number;
    std::optional<Instant> call_started_at;
    Instant next_call_at;
    Instant arrives_at;  // At the leader.
    int calls = 0;
    bool hub_is_silent = false;
    bool answer_is_lost = false;
    bool is_disturbed = false;
    bool is_done = false;
  };
  struct Change {
    std::uint64_t number = 0;
    std::optional<Instant> acknowledged_at;
    Instant committed_at;
  };

  static HostId HubName(int hub) {
    return HostId("hub-" + std::to_string(hub));
  }

  // Runs `action` after the delay of a message of `hub`, in order for each
  // link; never if `is_lost` is set.
  void SendMessage(Instant now, int hub, const std::string& link, bool is_lost,
                   std::function<void(Instant)> action) {
    if (is_lost) return;
    const Duration longest = hubs_[static_cast<std::size_t>(hub)].is_late
                                 ? settings_.max_delay_at_late_hub
                                 : settings_.max_delay;
    Instant at = now + FromSeconds(random_.Unit() * ToSeconds(longest));
    at = std::max(at, last_arrival_[link]);
    last_arrival_[link] = at;
    messages_.emplace(at, std::move(action));
  }

  void Deliver(Instant now) {
    while (!messages_.empty() && messages_.begin()->first <= now) {
      const auto action = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      action(now);
    }
  }

  // The hubs from the first one on are cut off together, the leader with them,
  // and the first of the others is elected.
  void UpdateCut(Instant now) {
    const Instant cut_at = kStartTime + *settings_.cut_at;
    const bool is_cut = now >= cut_at && now < cut_at + settings_.cut_time;
    if (is_cut != was_cut_) {
      was_cut_ = is_cut;
      for (int i = 0; i < settings_.cut_hubs; ++i) {
        hubs_[static_cast<std::size_t>(i)].is_cut = is_cut;
      }
      for (Host& host : hosts_) {
        host.is_cut = is_cut && random_.Unit() < settings_.cut_links;
      }
    }
    const bool elects = is_cut && leader_ < settings_.cut_hubs &&
                        now >= cut_at + settings_.election_time;
    if (!elects) return;
    leader_ = settings_.cut_hubs;
    Hub& hub = hubs_[static_cast<std::size_t>(leader_)];
    hub.record = committed_;
    // Nobody answered the former leader after the cut.
    hub.gate.BecomeLeader(now, committed_, cut_at);
  }

  void UpdateOutages(Instant now) {
    for (Host& host : hosts_) {
      if (!host.outage_end || now < *host.outage_end) continue;
      host.outage_end.reset();
      host.is_cut = false;
      MoveHost(host);
      host.next_report_at = now;
    }
    if (now < next_outage_at_) return;
    next_outage_at_ = now + *settings_.outage_period;
    Host& host = hosts_[random_.Below(hosts_.size())];
    host.is_cut = true;
    host.outage_end = now + settings_.outage_time;
  }

  bool LeaderHasQuorum() const {
    return !hubs_[static_cast<std::size_t>(leader_)].is_cut;
  }

  void Lead(Instant now) {
    Hub& hub = hubs_[static_cast<std::size_t>(leader_)];
    const Duration bound = settings_.lease.plan_bound;
    if (LeaderHasQuorum()) hub.confirmed_as_of = now;
    if (now >= next_change_at_) {
      next_change_at_ = now + settings_.change_period;
      if (settings_.sender) {
        Order& order = orders_.emplace_back();
        order.first_sent_at = order.next_call_at = now;
      } else if (LeaderHasQuorum()) {
        Commit(now);
      }
    }
    for (Order& order : orders_) {
      if (!order.is_done) RunOrder(now, order);
    }
    if (!LeaderHasQuorum()) return;
    for (Change& change : changes_) {
      if (change.acknowledged_at) {
        const Instant due_at = *change.acknowledged_at + bound;
        if (now > due_at) due_change_ = std::max(due_change_, change.number);
        continue;
      }
      if (settings_.sender) continue;
      if (settings_.holds_acknowledgements &&
          !hub.gate.MayAcknowledge(now, change.number, bound)) {
        continue;
      }
      change.acknowledged_at = now;
      ++outcome_.acknowledged;
      if (change.committed_at >= kStartTime + settings_.lease.lease) {
        outcome_.longest_later_hold =
            std::max(outcome_.longest_later_hold, now - change.committed_at);
      }
      outcome_.longest_hold =
          std::max(outcome_.longest_hold, now - change.committed_at);
    }
  }

  std::uint64_t Commit(Instant now) {
    Hub& hub = hubs_[static_cast<std::size_t>(leader_)];
    hub.record = ++committed_;
    hub.gate.RecordCommit(now, committed_);
    changes_.push_back({committed_, std::nullopt, now});
    ++outcome_.changes;
    for (int i = 0; i < settings_.hubs; ++i) {
      if (i == leader_) continue;
      const bool is_lost = hubs_[static_cast<std::size_t>(i)].is_cut;
      SendMessage(now, i, "log-" + std::to_string(i), is_lost,
                  [this, i, number = committed_](Instant) {
                    Hub& relay = hubs_[static_cast<std::size_t>(i)];
                    relay.record = std::max(relay.record, number);
                  });
    }
    return committed_;
  }

  void RunOrder(Instant now, Order& order) {
    const SimulatedOperator& sender = *settings_.sender;
    if (!order.call_started_at) {
      if (now < order.next_call_at) return;
      const bool is_first = order.calls++ == 0;
      order.call_started_at = now;
      order.hub_is_silent = is_first && random_.Unit() < sender.silent_hubs;
      order.answer_is_lost = false;
      order.is_disturbed = order.is_disturbed || order.hub_is_silent;
      order.arrives_at = now + FromSeconds(random_.Unit() * 2 *
                                           ToSeconds(settings_.max_delay));
    }
    const Duration waited = now - *order.call_started_at;
    const bool is_over = waited >= sender.call_time ||
                         (waited >= sender.call_timeout &&
                          !order.hub_is_silent && !order.answer_is_lost);
    if (is_over) {
      order.call_started_at.reset();
      order.next_call_at = now + sender.first_pause * (1 << (order.calls - 1));
      return;
    }
    if (order.hub_is_silent || order.answer_is_lost || now < order.arrives_at ||
        !LeaderHasQuorum()) {
      return;
    }
    if (!order.number) order.number = Commit(now);
    const Hub& hub = hubs_[static_cast<std::size_t>(leader_)];
    if (!hub.gate.MayAcknowledge(now, *order.number,
                                 settings_.lease.plan_bound)) {
      return;
    }
    Change& change = changes_[*order.number - 1];
    if (!change.acknowledged_at) {
      change.acknowledged_at = now;
      ++outcome_.acknowledged;
      if (random_.Unit() < sender.lost_answers) {
        order.answer_is_lost = true;
        order.is_disturbed = true;
        return;
      }
    }
    FinishOrder(now, order);
  }

  void FinishOrder(Instant now, Order& order) {
    order.is_done = true;
    ++outcome_.answered_orders;
    // Until then the leases that were given before the start are not known.
    if (order.first_sent_at < kStartTime + settings_.lease.lease) return;
    const Duration time = now - order.first_sent_at;
    outcome_.longest_order = std::max(outcome_.longest_order, time);
    if (order.is_disturbed) return;
    outcome_.longest_undisturbed_order =
        std::max(outcome_.longest_undisturbed_order, time);
  }

  void RunRelay(Instant now, int index) {
    Hub& relay = hubs_[static_cast<std::size_t>(index)];
    if (index == leader_ || now < relay.next_report_at) return;
    relay.next_report_at = now + kRelayReportTime;
    const std::string link = "relay-" + std::to_string(index);
    const std::uint64_t applied = relay.gate.AppliedByAll(now, relay.record);
    const bool is_lost = relay.is_cut != !LeaderHasQuorum();
    SendMessage(
        now, index, link, is_lost,
        [this, index, applied, link, sent = now, to = leader_](Instant at) {
          Hub& leader = hubs_[static_cast<std::size_t>(to)];
          Hub& from = hubs_[static_cast<std::size_t>(index)];
          if (to != leader_ || from.is_cut || leader.is_cut) return;
          leader.gate.RecordApplied(HubName(index), applied);
          leader.gate.RecordConfirmation(at, HubName(index),
                                         leader.confirmed_as_of, leader.record);
          const Instant as_of = sent - (at - leader.confirmed_as_of);
          const std::uint64_t record = leader.record;
          SendMessage(at, index, link + "-answer", false,
                      [this, index, as_of, record](Instant) {
                        Hub& to_relay = hubs_[static_cast<std::size_t>(index)];
                        if (to_relay.record < record) return;
                        to_relay.confirmed_as_of =
                            std::max(to_relay.confirmed_as_of, as_of);
                      });
        });
  }

  void MoveHost(Host& host) {
    host.former_hub = host.hub;
    host.hub = static_cast<int>(
        random_.Below(static_cast<std::uint64_t>(settings_.hubs)));
  }

  void RunHost(Instant now, std::size_t index) {
    Host& host = hosts_[index];
    HandleRequest(now, host);
    if (now >= host.next_move_at && host.view.LeaderUpdateAge(now) > kMoveAge) {
      host.next_move_at = now + kMoveAge;
      MoveHost(host);
    }
    const bool has_news = host.view.applied_changes() > host.told;
    if (now < host.next_report_at && !has_news) return;
    host.next_report_at = now + kReportTime;
    host.told = host.view.applied_changes();
    if (has_news && settings_.confirms_to_former_hub) {
      SendMessage(now, host.former_hub, LinkName(host, host.former_hub),
                  host.is_cut,
                  [this, hub = host.former_hub, name = host.name,
                   applied = host.told](Instant) {
                    hubs_[static_cast<std::size_t>(hub)].gate.RecordApplied(
                        name, applied);
                  });
    }
    SendMessage(
        now, host.hub, LinkName(host, host.hub), host.is_cut,
        [this, index, to = host.hub, sent = now, applied = host.told](
            Instant at) { AnswerReport(at, index, to, sent, applied); });
  }

  static std::string LinkName(const Host& host, int hub) {
    return host.name.value() + " " + HubName(hub).value();
  }

  void AnswerReport(Instant now, std::size_t index, int to, Instant sent,
                    std::uint64_t applied) {
    const Host& host = hosts_[index];
    Hub& hub = hubs_[static_cast<std::size_t>(to)];
    hub.gate.RecordApplied(host.name, applied);
    hub.gate.RecordContact(now, host.name, hub.confirmed_as_of, hub.record);
    FleetUpdate update;
    update.record_changes = hub.record;
    update.quorum_age = now - hub.confirmed_as_of;
    update.gates_changes = true;
    update.full_registry = true;
    SendMessage(now, to, "to " + LinkName(host, to), host.is_cut,
                [this, index, sent, update](Instant at) {
                  hosts_[index].view.Apply(at, sent, update);
                });
  }

  // A request at each host in each step.
  void HandleRequest(Instant now, const Host& host) {
    if (settings_.has_leases && !host.view.IsCurrent(now)) {
      ++outcome_.refused;
      return;
    }
    ++outcome_.handled;
    if (host.view.applied_changes() < due_change_) ++outcome_.overdue;
  }

  ChangeGateSimulationSettings settings_;
  Random random_;
  std::deque<Hub> hubs_;
  std::deque<Host> hosts_;
  std::multimap<Instant, std::function<void(Instant)>> messages_;
  std::map<std::string, Instant> last_arrival_;
  std::vector<Change> changes_;
  std::vector<Order> orders_;
  int leader_ = 0;
  std::uint64_t committed_ = 0;
  // The last change that no host may act without any more.
  std::uint64_t due_change_ = 0;
  Instant next_change_at_ = kStartTime;
  Instant next_random_move_at_ = kStartTime;
  Instant next_outage_at_ = kStartTime;
  bool was_cut_ = false;
  Outcome outcome_;
};

}  // namespace sapphirebank
