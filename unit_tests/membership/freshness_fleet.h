#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/membership/freshness_monitor.h"
#include "sapphirebank/membership/in_force_tracker.h"

namespace sapphirebank {

// Several hosts, each with a FreshnessMonitor, and one control leader, with a
// simulated clock and a network whose links can be cut in one direction. Hosts
// poll control, request stamps and configurations from peers as gossip does,
// and query the witnesses.
class FreshnessFleet {
 public:
  static constexpr int kHosts = 7;
  static constexpr int kWitnesses = 5;
  static constexpr int kControl = kHosts;  // Node number of the control leader.
  static constexpr Duration kStep = std::chrono::milliseconds(50);

  explicit FreshnessFleet(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) Restart(i);
    RestartControl();
  }

  // Replaces the process of a host by one without state.
  void Restart(int host) {
    auto created = FreshnessMonitor::Create(SettingsOf(host), now_);
    if (!created) throw std::runtime_error(created.error().detail);
    hosts_[host].freshness.emplace(*std::move(created));
    hosts_[host].incarnation += 1;
    hosts_[host].echo.reset();
    hosts_[host].suspended = false;
    hosts_[host].backlog.clear();
  }

  // Starts a control leader that has the accepted revisions but no reports of
  // witnesses.
  void RestartControl() {
    tracker_.emplace(
        *InForceTracker::Create(SettingsOf(0).witnesses, kMaxReportAge));
    control_running_ = true;
  }

  void StopControl() { control_running_ = false; }
  void Suspend(int host) { hosts_[host].suspended = true; }
  void Resume(int host) {
    hosts_[host].suspended = false;
    for (const Message& message : std::exchange(hosts_[host].backlog, {})) {
      Deliver(message);
    }
  }
  void CutLink(int from, int to) { cut_links_[{from, to}] = true; }
  void HealLinks() { cut_links_.clear(); }

  // Cuts every link between the nodes of `side` and the others.
  void Partition(const std::vector<int>& side) {
    std::map<int, bool> in_side;
    for (const int node : side) in_side[node] = true;
    for (int from = 0; from <= kControl; ++from) {
      for (int to = 0; to <= kControl; ++to) {
        if (in_side[from] != in_side[to]) CutLink(from, to);
      }
    }
  }

  // Accepts a withdrawal. Returns its revision.
  Revision Withdraw() { return ++accepted_; }

  // Runs for `time` and checks at each step that no host admits a withdrawn key
  // later than the maximum stamp age after the withdrawal came into force.
  // Returns the number of violations.
  int Run(Duration time) {
    int violations = 0;
    for (const Instant end = now_ + time; now_ < end;) {
      now_ += kStep;
      Step();
      violations += CountViolations();
    }
    return violations;
  }

  bool Admits(int host) const {
    return hosts_.at(host).freshness->CheckAdmission(now_).has_value();
  }
  Revision RevisionOf(int host) const {
    return hosts_.at(host).freshness->revision();
  }
  bool IsInForce(Revision revision) const {
    return in_force_at_.count(revision) > 0;
  }
  Random& random() { return random_; }
  void set_max_delay(Duration delay) { max_delay_ = delay; }

  static FreshnessSettings SettingsOf(int host) {
    FreshnessSettings settings;
    settings.self = HostId(std::to_string(host));
    for (int i = 0; i < kWitnesses; ++i) {
      settings.witnesses.emplace_back(std::to_string(i));
    }
    settings.max_report_age = kMaxReportAge;
    return settings;
  }

  static constexpr Duration kMaxReportAge = std::chrono::seconds(5);
  static constexpr Duration kMaxStampAge = std::chrono::seconds(10);

 private:
  enum class Kind {
    kPoll,
    kPollResponse,
    kGossip,
    kGossipResponse,
    kWitnessQuery,
    kWitnessResponse
  };
  struct Message {
    Instant at;
    Kind kind = Kind::kPoll;
    int from = 0;
    int to = 0;
    int incarnation = 0;          // Process of the requester.
    Instant requested_at;         // By the requester's clock.
    std::optional<Instant> echo;  // By control's clock.
    Revision revision = 0;
    std::optional<RevisionStamp> stamp;
    WitnessQuery query;
    WitnessResponse response;

    bool operator<(const Message& other) const { return at > other.at; }
  };
  struct Host {
    std::optional<FreshnessMonitor> freshness;
    int incarnation = 0;
    bool suspended = false;
    std::vector<Message> backlog;
    std::optional<Instant> echo;
    Instant next_poll;
    Instant next_gossip;
  };

  void Step() {
    while (!network_.empty() && network_.top().at <= now_) {
      const Message message = network_.top();
      network_.pop();
      Deliver(message);
    }
    for (int i = 0; i < kHosts; ++i) {
      if (!hosts_[i].suspended) TickHost(i);
    }
    if (!control_running_) return;
    const Revision in_force = tracker_->RevisionInForce(now_);
    for (Revision r = in_force; r > 0 && !IsInForce(r); --r) {
      in_force_at_[r] = now_;
    }
  }

  void TickHost(int index) {
    Host& host = hosts_[index];
    Message message;
    message.from = index;
    message.incarnation = host.incarnation;
    message.requested_at = now_;
    message.revision = host.freshness->revision();
    if (now_ >= host.next_poll) {
      host.next_poll = now_ + std::chrono::seconds(1);
      message.kind = Kind::kPoll;
      message.to = kControl;
      message.echo = host.echo;
      Send(message);
    }
    if (now_ >= host.next_gossip) {
      host.next_gossip = now_ + std::chrono::milliseconds(500);
      message.kind = Kind::kGossip;
      message.to = static_cast<int>(random_.Below(kHosts));
      Send(message);
    }
    for (const OutgoingWitnessQuery& outgoing : host.freshness->Tick(now_)) {
      message.kind = Kind::kWitnessQuery;
      message.to = std::stoi(outgoing.to.value());
      message.query = outgoing.query;
      Send(message);
    }
  }

  void Deliver(const Message& message) {
    if (message.to == kControl) {
      if (control_running_) RespondToPoll(message);
      return;
    }
    Host& host = hosts_[message.to];
    if (host.suspended) {
      host.backlog.push_back(message);
      return;
    }
    const bool response = message.kind == Kind::kPollResponse ||
                          message.kind == Kind::kGossipResponse ||
                          message.kind == Kind::kWitnessResponse;
    if (response) {
      if (message.incarnation == host.incarnation)
        HandleResponse(host, message);
    } else {
      RespondToHost(host, message);
    }
  }

  void RespondToPoll(const Message& poll) {
    if (poll.echo) {
      tracker_->Report(HostId(std::to_string(poll.from)), poll.revision,
                       *poll.echo);
    }
    Message response = ResponseTo(poll, Kind::kPollResponse);
    response.echo = now_;
    response.revision = accepted_;
    response.stamp = RevisionStamp{accepted_, Duration::zero()};
    Send(response);
  }

  void RespondToHost(Host& host, const Message& message) {
    if (message.kind == Kind::kWitnessQuery) {
      Message response = ResponseTo(message, Kind::kWitnessResponse);
      const auto witness_response =
          host.freshness->Receive(now_, message.query);
      if (!witness_response) return;
      response.response = *witness_response;
      Send(response);
      return;
    }
    Message response = ResponseTo(message, Kind::kGossipResponse);
    response.stamp = host.freshness->LatestStamp(now_);
    response.revision = host.freshness->revision();
    Send(response);
  }

  void HandleResponse(Host& host, const Message& message) {
    if (message.kind == Kind::kWitnessResponse) {
      host.freshness->Receive(now_, message.response);
      return;
    }
    if (message.echo) host.echo = message.echo;
    host.freshness->SetRevision(message.revision);
    if (!message.stamp) return;
    const Duration round_trip = now_ - message.requested_at;
    host.freshness->ObserveStamp(
        now_, {message.stamp->revision, message.stamp->age + round_trip});
  }

  static Message ResponseTo(const Message& message, Kind kind) {
    Message response = message;
    response.kind = kind;
    std::swap(response.from, response.to);
    return response;
  }

  void Send(Message message) {
    if (cut_links_[{message.from, message.to}]) return;
    message.at =
        now_ + Duration(random_.Below(
                   static_cast<std::uint64_t>(max_delay_.count()) + 1));
    network_.push(std::move(message));
  }

  int CountViolations() const {
    int violations = 0;
    for (const auto& [index, host] : hosts_) {
      if (host.suspended || !Admits(index)) continue;
      for (const auto& [revision, at] : in_force_at_) {
        const bool lacks_revision = revision > host.freshness->revision();
        if (lacks_revision && now_ > at + kMaxStampAge) ++violations;
      }
    }
    return violations;
  }

  Random random_;
  Instant now_ = Instant(std::chrono::hours(1));
  Duration max_delay_ = std::chrono::milliseconds(100);
  std::map<int, Host> hosts_;
  std::optional<InForceTracker> tracker_;
  bool control_running_ = false;
  Revision accepted_ = 1;
  std::map<Revision, Instant> in_force_at_;
  std::map<std::pair<int, int>, bool> cut_links_;
  std::priority_queue<Message> network_;
};

}  // namespace sapphirebank
