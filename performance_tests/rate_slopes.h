#pragma once

// Slopes of rate_bench: processor time, bytes and memory of leases and rate
// shares as the number of keys and workspaces grows. Processor time is that of
// this machine, with encoding and decoding.

#include <malloc.h>

#include <ctime>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "performance_tests/rate_policies.h"
#include "sapphirebank/lease/lease_codec.h"
#include "sapphirebank/lease/lease_holder.h"
#include "sapphirebank/lease/lease_voter.h"
#include "sapphirebank/lease/ownership_planner.h"

namespace sapphirebank::rate_bench {

// Sizes of the lease slope.
constexpr std::size_t kHosts = 44;
constexpr std::size_t kVoters = 5;
constexpr int kLeaseSeconds = 9;
constexpr int kTicksPerSecond = 10;

// Sizes of the rate slope. Requests are those of one workspace.
constexpr int kRateSeconds = 5;
constexpr int kStepsPerSecond = 500;
constexpr double kRequestsPerSecond = 2;

// Adds up the processor time of this thread.
class CpuMeter {
 public:
  void Start() { start_ = Now(); }
  void Stop() { total_ += Now() - start_; }
  double total_seconds() const { return total_; }

 private:
  static double Now() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }
  double start_ = 0;
  double total_ = 0;
};

inline double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks);
}

// Leases of `keys` keys, held by 44 hosts, with five voters.
inline void LeaseSlope(std::size_t keys) {
  const auto name = [](std::size_t i) {
    return HostId("host-" + std::to_string(i));
  };
  VoterSet set;
  for (std::size_t i = 0; i < kVoters; ++i) set.hosts.push_back(name(i));
  Instant now;
  const double heap_before = HeapBytes();
  std::vector<LeaseVoter> voters;
  voters.reserve(set.hosts.size());
  for (const HostId& host : set.hosts) {
    voters.push_back(*LeaseVoter::Create(host, {}, set, 0, now));
  }
  std::vector<LeaseHolder> holders;
  holders.reserve(kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    holders.push_back(*LeaseHolder::Create(name(i), {}, set, i));
  }
  now += std::chrono::seconds(4);
  for (std::size_t i = 0; i < kHosts; ++i) {
    std::vector<std::string> wanted;
    for (std::size_t key = i; key < keys; key += kHosts) {
      wanted.push_back("backend:service-" + std::to_string(key) + ":kochi");
    }
    holders[i].SetDesiredKeys(now, wanted);
  }
  CpuMeter holder_cpu;
  CpuMeter voter_cpu;
  double holder_bytes = 0;
  double voter_bytes = 0;
  const auto exchange = [&](std::size_t i,
                            std::vector<OutgoingLeaseMessage> effects) {
    while (!effects.empty()) {
      std::vector<OutgoingLeaseMessage> next;
      for (const OutgoingLeaseMessage& effect : effects) {
        holder_cpu.Start();
        const auto bytes =
            nlohmann::json::to_cbor(EncodeLeaseMessage(effect.message));
        holder_cpu.Stop();
        const auto voter =
            static_cast<std::size_t>(std::stoul(effect.to.value().substr(5)));
        voter_cpu.Start();
        const auto request =
            DecodeLeaseMessage(nlohmann::json::from_cbor(bytes));
        const OutgoingLeaseMessage answer = voters[voter].OnRequest(
            now, name(i), std::get<LeaseRequest>(*request));
        const auto back =
            nlohmann::json::to_cbor(EncodeLeaseMessage(answer.message));
        voter_cpu.Stop();
        holder_bytes += static_cast<double>(bytes.size() + kDatagramOverhead);
        voter_bytes += static_cast<double>(back.size() + kDatagramOverhead);
        holder_cpu.Start();
        const auto read = DecodeLeaseMessage(nlohmann::json::from_cbor(back));
        LeaseEffects output = holders[i].OnResponse(
            now, effect.to, std::get<LeaseResponse>(*read));
        holder_cpu.Stop();
        for (OutgoingLeaseMessage& more : output.messages) {
          next.push_back(std::move(more));
        }
      }
      effects = std::move(next);
    }
  };
  const auto play = [&](int seconds) {
    for (int tick = 0; tick < seconds * kTicksPerSecond; ++tick) {
      now += std::chrono::milliseconds(100);
      for (std::size_t i = 0; i < kHosts; ++i) {
        holder_cpu.Start();
        LeaseEffects output = holders[i].Tick(now);
        holder_cpu.Stop();
        exchange(i, std::move(output.messages));
      }
    }
  };
  play(3);
  holder_cpu = CpuMeter();
  voter_cpu = CpuMeter();
  holder_bytes = voter_bytes = 0;
  play(kLeaseSeconds);
  const double heap = HeapBytes() - heap_before;
  std::size_t held = 0;
  for (const LeaseHolder& holder : holders) held += holder.HeldKeys(now).size();
  const nlohmann::ordered_json line = {
      {"slope", "leases"},
      {"keys", keys},
      {"held", held},
      {"hosts", kHosts},
      {"voters", kVoters},
      {"holder_cpu_share", holder_cpu.total_seconds() / kLeaseSeconds / kHosts},
      {"voter_cpu_share", voter_cpu.total_seconds() / kLeaseSeconds / kVoters},
      {"holder_bytes_per_second", holder_bytes / kLeaseSeconds / kHosts},
      {"voter_bytes_per_second", voter_bytes / kLeaseSeconds / kVoters},
      {"heap_bytes_per_key_all_hosts", heap / static_cast<double>(keys)}};
  std::cout << line.dump() << std::endl;
}

// The plan of one host for `keys` keys over `hosts` hosts.
inline void PlannerSlope(std::size_t keys, std::size_t hosts) {
  std::vector<LiveHost> live;
  for (std::size_t i = 0; i < hosts; ++i) {
    live.push_back({HostId("host-" + std::to_string(i)),
                    ZoneId("zone-" + std::to_string(i % 16)), Instant()});
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < keys; ++i) {
    names.push_back("backend:service-" + std::to_string(i / 16) + ":zone-" +
                    std::to_string(i % 16));
  }
  const Instant now = Instant() + std::chrono::hours(1);
  const OwnerDirectory owners(std::chrono::seconds(9));
  OwnershipPlanner planner(live[0].id, std::chrono::seconds(10));
  const auto timed = [](const auto& call) {
    CpuMeter meter;
    meter.Start();
    call();
    meter.Stop();
    return meter.total_seconds();
  };
  planner.SetHosts(now, live);
  const double whole = timed([&] { planner.SetKeys(now, names); });
  std::vector<LiveHost> fewer(live.begin(), live.end() - 1);
  const double leave = timed([&] { planner.SetHosts(now, fewer); });
  const double join = timed([&] { planner.SetHosts(now, live); });
  const double wanted = timed([&] { planner.DesiredKeys(now, owners); });
  const nlohmann::ordered_json line = {{"slope", "planner"},
                                       {"keys", keys},
                                       {"hosts", hosts},
                                       {"first_plan_seconds", whole},
                                       {"host_leaves_seconds", leave},
                                       {"host_joins_seconds", join},
                                       {"wanted_seconds", wanted}};
  std::cout << line.dump() << std::endl;
}

// One host that spends of `active` workspaces, two requests a second each, and
// one owner of them all, which also knows `active` x 5.7 declared ones.
inline void RateSlope(std::size_t active) {
  const RateSettings settings;
  const RateLimit limit{.rate = 20, .burst = 40};
  Instant now = Instant() + std::chrono::hours(1);
  std::vector<WorkspaceId> names;
  for (std::size_t i = 0; i < active; ++i) {
    names.emplace_back("workspace-" + std::to_string(i));
  }
  const double heap_start = HeapBytes();
  RateOwner owner(
      settings, [&](const WorkspaceId&) { return std::optional(limit); },
      [](Instant, std::uint32_t) { return std::optional<Term>(1); });
  RateAdmission admission(settings, 1, [](Instant, std::string_view) {
    return std::optional<Owner>(Owner{HostId("o"), 1});
  });
  for (std::uint32_t i = 0; i < settings.buckets; ++i) {
    owner.OnAcquired(Instant(), i, 1);
  }
  const double heap_idle = HeapBytes();
  CpuMeter owner_cpu;
  CpuMeter spender_cpu;
  double asked_bytes = 0;
  double answered_bytes = 0;
  double messages = 0;
  Random random(1);
  const auto flush = [&] {
    spender_cpu.Start();
    std::vector<std::vector<std::uint8_t>> sent;
    for (const RateEffect& effect : admission.Flush(now)) {
      sent.push_back(
          nlohmann::json::to_cbor(EncodeRateMessage(effect.message)));
    }
    spender_cpu.Stop();
    for (const auto& bytes : sent) {
      owner_cpu.Start();
      const auto ask = DecodeRateMessage(nlohmann::json::from_cbor(bytes));
      const auto effects =
          owner.OnTokenRequest(now, HostId("a"), std::get<TokenRequest>(*ask));
      const auto back =
          nlohmann::json::to_cbor(EncodeRateMessage(effects[0].message));
      owner_cpu.Stop();
      asked_bytes += static_cast<double>(bytes.size() + kDatagramOverhead);
      answered_bytes += static_cast<double>(back.size() + kDatagramOverhead);
      messages += 2;
      spender_cpu.Start();
      const auto answer = DecodeRateMessage(nlohmann::json::from_cbor(back));
      admission.OnTokenResponse(now, std::get<TokenResponse>(*answer));
      spender_cpu.Stop();
    }
  };
  RateAdmission::RequestNumber number = 0;
  for (int step = 0; step < kRateSeconds * kStepsPerSecond; ++step) {
    now += std::chrono::microseconds(1'000'000 / kStepsPerSecond);
    const double due =
        static_cast<double>(active) * kRequestsPerSecond / kStepsPerSecond;
    for (double left = due; left > 0; left -= 1) {
      if (!random.Chance(left)) continue;
      const WorkspaceId& workspace = names[random.Below(active)];
      spender_cpu.Start();
      admission.Submit(now, ++number, workspace, limit);
      spender_cpu.Stop();
    }
    spender_cpu.Start();
    admission.Tick(now);
    spender_cpu.Stop();
    flush();
    if (step % kStepsPerSecond == 0) owner.Tick(now);
  }
  const double heap = HeapBytes() - heap_idle;
  const nlohmann::ordered_json line = {
      {"slope", "rates"},
      {"active_workspaces", active},
      {"requests_per_second", static_cast<double>(active) * kRequestsPerSecond},
      {"spender_cpu_share", spender_cpu.total_seconds() / kRateSeconds},
      {"owner_cpu_share", owner_cpu.total_seconds() / kRateSeconds},
      {"spender_bytes_per_second", asked_bytes / kRateSeconds},
      {"owner_bytes_per_second", answered_bytes / kRateSeconds},
      {"messages_per_second", messages / kRateSeconds},
      {"heap_bytes_idle_owner_and_spender", heap_idle - heap_start},
      {"heap_bytes_per_active_workspace", heap / static_cast<double>(active)}};
  std::cout << line.dump() << std::endl;
}

}  // namespace sapphirebank::rate_bench
