#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/membership/membership.h"

namespace sapphirebank {

struct FakeNetworkSettings {
  // Fraction of datagrams that are lost.
  double loss = 0;
  Duration min_delay = std::chrono::microseconds(300);
  Duration max_delay = std::chrono::milliseconds(2);
};

// Runs the Membership of several hosts in one thread, connected by a simulated
// datagram network with a simulated clock. The address of a host is its id
// unless its settings name another.
class FakeFleet {
 public:
  struct Host {
    std::optional<Membership> membership;
    bool suspended = false;
    std::vector<std::pair<std::string, std::vector<std::uint8_t>>> backlog;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    // Time of the scheduled tick.
    Instant tick;
  };
  // Returns whether datagrams are delivered from one host to another.
  using Passes = std::function<bool(const std::string&, const std::string&)>;
  using OnEvent = std::function<void(const std::string&, const MemberEvent&)>;

  explicit FakeFleet(std::uint64_t seed, FakeNetworkSettings network = {})
      : random_(seed), network_(network) {}

  // Starts a host. It replaces one with the same address.
  void Start(const std::string& name, MembershipSettings settings) {
    settings.id = HostId(name);
    if (settings.address.empty()) settings.address = name;
    if (settings.zone.empty()) settings.zone = ZoneId("zone");
    const std::string address = settings.address;
    auto created =
        Membership::Create(std::move(settings), random_.Below(~0ULL), now_);
    if (!created) throw std::runtime_error(created.error().detail);
    Host& host = hosts_[address];
    host.membership.emplace(*std::move(created));
    host.suspended = false;
    Schedule(address, now_);
  }

  // Starts hosts h0000, h0001, and so on.
  void StartMany(int count, const MembershipSettings& settings) {
    for (int i = 0; i < count; ++i) Start(Name(i), settings);
  }

  static std::string Name(std::uint64_t index) {
    std::string digits = std::to_string(index);
    return digits.insert(0, 4 - digits.size(), '0').insert(0, 1, 'h');
  }

  static std::vector<std::string> Seeds() {
    return {Name(0), Name(1), Name(2)};
  }

  void Kill(const std::string& name) { hosts_[name].membership.reset(); }

  void Suspend(const std::string& name) { hosts_[name].suspended = true; }

  // Resumes a suspended host. It runs its timers first, and then handles the
  // messages that arrived in the meantime.
  void Resume(const std::string& name) {
    Host& host = hosts_[name];
    host.suspended = false;
    Tick(name);
    for (auto& [from, bytes] : std::exchange(host.backlog, {})) {
      Deliver(from, name, bytes);
    }
  }

  void Leave(const std::string& name) {
    ApplyEffects(name, hosts_[name].membership->Leave(now_));
  }

  void Run(Duration time) {
    const Instant end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
      Item item = queue_.top();
      queue_.pop();
      now_ = item.at;
      if (item.from.empty()) {
        if (item.at == hosts_[item.to].tick) Tick(item.to);
      } else {
        Deliver(item.from, item.to, item.bytes);
      }
    }
    now_ = end;
  }

  // Delivers an encoded message to a host.
  void Deliver(const std::string& from, const std::string& to,
               const std::vector<std::uint8_t>& bytes) {
    Host& host = hosts_[to];
    if (host.suspended) host.backlog.emplace_back(from, bytes);
    if (!host.membership || host.suspended) return;
    host.received_bytes += bytes.size();
    const auto message = DecodeMembershipMessage(bytes);
    if (!message) throw std::runtime_error(message.error().detail);
    ApplyEffects(to, host.membership->Receive(now_, from, *message));
  }

  // Returns the ids of the members that a host considers live, each followed by
  // a space.
  std::string View(const std::string& name) {
    std::string view;
    for (const Member& member : hosts_[name].membership->LiveMembers()) {
      view += member.id.value() + ' ';
    }
    return view;
  }

  // Returns whether every running host considers exactly `count` hosts live.
  bool AllHostsSee(std::size_t count) {
    for (auto& [name, host] : hosts_) {
      if (!host.membership || host.suspended) continue;
      if (host.membership->LiveMembers().size() != count) return false;
    }
    return true;
  }

  Membership& operator[](const std::string& name) {
    return *hosts_[name].membership;
  }

  std::map<std::string, Host>& hosts() { return hosts_; }
  Instant now() const { return now_; }
  std::size_t largest_packet() const { return largest_packet_; }
  void set_passes(Passes passes) { passes_ = std::move(passes); }
  void set_on_event(OnEvent on_event) { on_event_ = std::move(on_event); }
  void set_loss(double loss) { network_.loss = loss; }

 private:
  struct Item {
    Instant at;
    std::uint64_t order = 0;
    std::string from;  // Empty for a tick.
    std::string to;
    std::vector<std::uint8_t> bytes;

    bool operator<(const Item& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Tick(const std::string& name) {
    Host& host = hosts_[name];
    if (!host.membership || host.suspended) return;
    ApplyEffects(name, host.membership->Tick(now_));
  }

  void ApplyEffects(const std::string& name, const MembershipEffects& effects) {
    for (const MemberEvent& event : effects.events) {
      if (on_event_) on_event_(name, event);
    }
    for (const OutgoingMembershipMessage& send : effects.messages)
      Send(name, send);
    Schedule(name, hosts_[name].membership->next_tick());
  }

  void Send(const std::string& name, const OutgoingMembershipMessage& send) {
    std::vector<std::uint8_t> bytes = EncodeMembershipMessage(send.message);
    largest_packet_ = std::max(largest_packet_, bytes.size());
    hosts_[name].sent_bytes += bytes.size();
    if (passes_ && !passes_(name, send.address)) return;
    if (random_.Chance(network_.loss)) return;
    const auto spread = static_cast<std::uint64_t>(
        (network_.max_delay - network_.min_delay).count());
    const Duration delay =
        network_.min_delay + Duration(random_.Below(spread + 1));
    queue_.push({now_ + delay, ++order_, name, send.address, std::move(bytes)});
  }

  void Schedule(const std::string& name, Instant at) {
    Host& host = hosts_[name];
    host.tick = std::max(at, now_);
    queue_.push({host.tick, ++order_, "", name, {}});
  }

  Random random_;
  FakeNetworkSettings network_;
  Instant now_ = Instant(std::chrono::hours(1));
  std::uint64_t order_ = 0;
  std::priority_queue<Item> queue_;
  std::map<std::string, Host> hosts_;
  std::size_t largest_packet_ = 0;
  Passes passes_;
  OnEvent on_event_;
};

}  // namespace sapphirebank
