// Property tests of RateOwner and RateClient over seeded schedules of delayed
// and lost messages, process freezes, network cuts, restarts, lease moves and
// changes of the limit.

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <tuple>

#include "sapphirebank/core/random.h"
#include "sapphirebank/rate/rate_admission.h"
#include "sapphirebank/rate/rate_owner.h"

namespace sapphirebank {
namespace {

constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kSecond = 1000 * kMillisecond;
constexpr std::int64_t kStep = kMillisecond;

// Checks whether any window admits more than rate x window + burst. It suffices
// to track the excess over the rate since the worst start of a window.
class AdmissionMeter {
 public:
  explicit AdmissionMeter(RateLimit limit) : limit_(limit) {}

  void Admit(std::int64_t now) {
    const double elapsed = static_cast<double>(now - last_) / kSecond;
    excess_ = std::max(0.0, excess_ - elapsed * limit_.rate) + 1;
    last_ = now;
    overshoot_ = std::max(overshoot_, excess_ - limit_.burst);
  }

  // Returns the number of tokens above the bound in the worst window; not
  // positive if the bound holds.
  double overshoot() const { return overshoot_; }

 private:
  RateLimit limit_;
  double excess_ = 0;
  std::int64_t last_ = 0;
  double overshoot_ = -1;
};

struct Options {
  double loss = 0.02;
  double duplicate = 0.05;
  double late = 0.03;  // Share of messages that take up to 1 s.
  double freeze = 0.0004;
  double cut = 0.0004;
  double restart = 0.0002;
  double move = 0.0003;  // Lease moves per step.
  double burst_chance = 0.0004;
  double reserve = 0;
  // With a long horizon, hosts hold most tokens between bursts.
  Duration horizon = RateSettings{}.horizon;
  RateLimit limit{.rate = 200, .burst = 20};
  // Limit in force from the middle of the run.
  RateLimit changed_limit{.rate = 200, .burst = 20};
};

class Fleet {
 public:
  static constexpr std::size_t kHosts = 6;
  // Average number of requests of a host per step.
  static constexpr double kIdleLoad = 0.008;
  static constexpr double kBurstLoad = 3;

  Fleet(std::uint64_t seed, const Options& options)
      : random_(seed), options_(options), limit_(options.limit) {
    settings_.max_drift = 0.01;
    settings_.horizon = options.horizon;
    settings_.reserve = options.reserve;
    settings_.reserve_hosts = kHosts;
    for (std::size_t i = 0; i < kHosts; ++i) {
      Host& host = hosts_.emplace_back();
      host.offset = static_cast<std::int64_t>(random_.Below(1000 * kSecond));
      host.drift = (random_.Unit() * 2 - 1) * settings_.max_drift;
      StartHost(i);
    }
  }

  void Run(std::int64_t length) {
    const std::int64_t change = length / 2;
    RateLimit wider{
        .rate = std::max(options_.limit.rate, options_.changed_limit.rate),
        .burst = std::max(options_.limit.burst, options_.changed_limit.burst)};
    // Grants under the former limit may be outstanding for two grant lifetimes.
    const std::int64_t settled = change + 2 * settings_.grant_ttl.count();
    AdmissionMeter whole(wider);
    AdmissionMeter after(options_.changed_limit);
    while (now_ < length) {
      if (now_ >= change) limit_ = options_.changed_limit;
      MoveLease();
      UpdateLoad();
      for (std::size_t i = 0; i < kHosts; ++i) InjectRandomFault(i);
      Deliver(now_ + kStep);
      for (std::size_t i = 0; i < kHosts; ++i) Step(i);
      for (const std::int64_t at : admitted_) {
        whole.Admit(at);
        if (at >= settled) after.Admit(at);
      }
      admissions += static_cast<int>(admitted_.size());
      admitted_.clear();
    }
    overshoot = std::max(whole.overshoot(), after.overshoot());
  }

  int admissions = 0;
  int moves = 0;
  double overshoot = 0;

 private:
  struct Host {
    std::int64_t offset = 0;
    double drift = 0;
    std::int64_t frozen_until = 0;
    Incarnation incarnation = 0;
    double load = 0;
    std::unique_ptr<RateOwner> owner;
    std::unique_ptr<RateAdmission> admission;
    std::optional<Owner> known_owner;
  };

  struct Delivery {
    std::int64_t at;
    std::uint64_t order;
    std::size_t from;
    std::size_t to;
    RateMessage message;
    bool operator<(const Delivery& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  static HostId Name(std::size_t index) {
    return HostId("host-" + std::to_string(index));
  }

  Instant Clock(const Host& host) const {
    const double local = static_cast<double>(now_) * (1 + host.drift);
    return Instant(Duration(host.offset + static_cast<std::int64_t>(local)));
  }

  void StartHost(std::size_t index) {
    Host& host = hosts_[index];
    ++host.incarnation;
    host.owner = std::make_unique<RateOwner>(
        settings_, [this](const WorkspaceId&) { return limit_; },
        [this, index](Instant, std::uint32_t) -> std::optional<Term> {
          if (lease_host_ != index || now_ < lease_start_) return std::nullopt;
          return lease_term_;
        });
    host.admission = std::make_unique<RateAdmission>(
        settings_, host.incarnation,
        [&host](Instant, std::string_view) { return host.known_owner; });
  }

  // Idle periods leave tokens unspent, which simultaneous bursts on all hosts
  // then spend.
  void UpdateLoad() {
    if (random_.Chance(options_.burst_chance)) {
      burst_until_ =
          now_ + static_cast<std::int64_t>(random_.Below(100 * kMillisecond));
    }
  }

  // The lease moves at once or after a gap; the former term has ended by then.
  void MoveLease() {
    // A lost owner is replaced within about 0.1 s.
    const double chance = lease_host_ == kHosts ? 0.01 : options_.move;
    if (!random_.Chance(chance)) return;
    lease_host_ = random_.Below(kHosts);
    lease_term_ += 1;
    lease_start_ = now_ + static_cast<std::int64_t>(random_.Below(2) *
                                                    random_.Below(3 * kSecond));
    ++moves;
  }

  void InjectRandomFault(std::size_t index) {
    Host& host = hosts_[index];
    if (random_.Chance(options_.freeze)) {
      host.frozen_until =
          now_ + static_cast<std::int64_t>(random_.Below(2 * kSecond));
    }
    if (random_.Chance(options_.cut)) {
      cuts_[{index, random_.Below(kHosts)}] =
          now_ + static_cast<std::int64_t>(random_.Below(3 * kSecond));
    }
    if (random_.Chance(options_.restart)) {
      if (lease_host_ == index) lease_host_ = kHosts;
      host.frozen_until = 0;
      StartHost(index);
    }
    if (random_.Chance(0.005)) host.load = random_.Unit() * kIdleLoad;
    if (random_.Chance(0.02)) host.known_owner = Owner{Name(lease_host_), 0};
  }

  void Step(std::size_t index) {
    Host& host = hosts_[index];
    if (now_ < host.frozen_until) return;
    const Instant now = Clock(host);
    if (lease_host_ == index && now_ >= lease_start_) {
      host.owner->OnAcquired(now, RateBucket(workspace_, settings_),
                             lease_term_);
    }
    const double load = now_ < burst_until_ ? kBurstLoad : host.load;
    for (double left = load; left > 0; left -= 1) {
      if (!random_.Chance(left)) continue;
      Count(host.admission->Submit(now, ++request_, workspace_, limit_));
    }
    for (const auto& decision : host.admission->Tick(now)) Count(decision);
    for (const RateEffect& effect : host.admission->Flush(now)) {
      Send(index, effect);
    }
    if (random_.Chance(0.001)) host.owner->Tick(now);
  }

  void Count(const std::optional<RateAdmission::Decision>& decision) {
    if (decision && decision->outcome == AcquireOutcome::kAdmitted) {
      admitted_.push_back(now_);
    }
  }

  void Send(std::size_t from, const RateEffect& effect) {
    const std::size_t to = std::stoul(effect.to.value().substr(5));
    if (to >= kHosts) return;
    const auto cut = cuts_.find({from, to});
    if (cut != cuts_.end() && now_ < cut->second) return;
    if (random_.Chance(options_.loss)) return;
    const int copies = random_.Chance(options_.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool late = random_.Chance(options_.late);
      const auto spread =
          static_cast<std::uint64_t>(late ? kSecond : kMillisecond);
      const std::int64_t at =
          now_ + 300 + static_cast<std::int64_t>(random_.Below(spread));
      deliveries_.push({at, ++order_, from, to, effect.message});
    }
  }

  void Deliver(std::int64_t until) {
    while (!deliveries_.empty() && deliveries_.top().at < until) {
      Delivery delivery = deliveries_.top();
      deliveries_.pop();
      now_ = std::max(now_, delivery.at);
      Host& host = hosts_[delivery.to];
      if (now_ < host.frozen_until) {
        delivery.at = host.frozen_until;
        deliveries_.push(std::move(delivery));
        continue;
      }
      const Instant now = Clock(host);
      if (const auto* token_request =
              std::get_if<TokenRequest>(&delivery.message)) {
        for (const RateEffect& effect : host.owner->OnTokenRequest(
                 now, Name(delivery.from), *token_request)) {
          Send(delivery.to, effect);
        }
      }
      if (const auto* recall = std::get_if<TokenRecall>(&delivery.message)) {
        host.admission->OnRecall(now, *recall);
      }
      if (const auto* response =
              std::get_if<TokenResponse>(&delivery.message)) {
        for (const auto& decision :
             host.admission->OnTokenResponse(now, *response)) {
          Count(decision);
        }
      }
    }
    now_ = until;
  }

  Random random_;
  Options options_;
  RateSettings settings_;
  RateLimit limit_;
  WorkspaceId workspace_{"malanad"};
  std::deque<Host> hosts_;
  std::size_t lease_host_ = kHosts;
  Term lease_term_ = 0;
  std::int64_t lease_start_ = 0;
  std::int64_t burst_until_ = 0;
  std::priority_queue<Delivery> deliveries_;
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> cuts_;
  std::vector<std::int64_t> admitted_;
  std::uint64_t order_ = 0;
  RateAdmission::RequestNumber request_ = 0;
  std::int64_t now_ = 0;
};

TEST_CASE("no window admits more requests than its rate and burst allow",
          "[rate]") {
  const Duration long_horizon = std::chrono::seconds(5);
  Options long_prefetch{.horizon = long_horizon,
                        .limit = {.rate = 50, .burst = 100},
                        .changed_limit = {.rate = 50, .burst = 100}};
  Options lowered = long_prefetch;
  lowered.changed_limit = {.rate = 20, .burst = 10};
  Options raised = long_prefetch;
  raised.changed_limit = {.rate = 500, .burst = 200};
  Options reserve = long_prefetch;
  reserve.reserve = 0.5;
  Options moving = long_prefetch;
  moving.move = 0.001;
  Options restarting = long_prefetch;
  restarting.restart = 0.001;
  Options frequent_bursts;
  frequent_bursts.burst_chance = 0.0015;
  Options cuts = long_prefetch;
  cuts.cut = 0.004;
  Options late = cuts;
  late.late = 0.3;
  Options calm;
  calm.move = calm.freeze = calm.cut = calm.restart = 0;
  calm.loss = calm.late = 0;
  struct Row {
    const char* name;
    Options options;
  };
  const Row rows[] = {{"default", {}},
                      {"long horizon", long_prefetch},
                      {"limit lowered", lowered},
                      {"limit raised", raised},
                      {"reserve", reserve},
                      {"lease moves often", moving},
                      {"frequent restarts", restarting},
                      {"frequent cuts", cuts},
                      {"frequent bursts", frequent_bursts},
                      {"many late messages", late},
                      {"no fault", calm}};
  for (const Row& row : rows) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      INFO(row.name << ", seed " << seed);
      Fleet fleet(seed, row.options);
      fleet.Run(20 * kSecond);
      CHECK(fleet.admissions > 0);
      // Rounding errors amount to at most a millionth of a token.
      CHECK(fleet.overshoot <= 1e-6);
    }
  }
}

}  // namespace
}  // namespace sapphirebank
