#pragma once

// Scaling measurements of rate_bench: processor time, network bytes and memory
// of leases and token shares as the number of keys and workspaces grows.
// Processor time is measured on this machine and includes encoding and
// decoding.

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

// Parameters of MeasureLeaseScaling.
constexpr std::size_t kHosts = 44;
constexpr std::size_t kVoters = 5;
constexpr int kLeaseSeconds = 9;
constexpr int kTicksPerSecond = 10;

// Parameters of MeasureRateScaling. Requests are per active workspace.
constexpr int kRateSeconds = 5;
constexpr int kStepsPerSecond = 500;
constexpr double kRequestsPerSecond = 2;

// Sums up the processor time of the calling thread between Start and Stop.
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

// Returns the bytes that are allocated on the heap.
inline double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks);
}

// Measures leases of `keys` keys, held by kHosts hosts and granted by kVoters
// voters. Three seconds in which the leases are acquired are left out.
inline void MeasureLeaseScaling(std::size_t keys) {
  const auto host_id = [](std::size_t i) {
    return HostId("host-" + std::to_string(i));
  };
  VoterSet voter_set;
  for (std::size_t i = 0; i < kVoters; ++i)
    voter_set.hosts.push_back(host_id(i));
  Instant now;
  const double heap_before = HeapBytes();
  std::vector<LeaseVoter> voters;
  voters.reserve(voter_set.hosts.size());
  for (const HostId& host : voter_set.hosts) {
    voters.push_back(*LeaseVoter::Create(host, {}, voter_set, 0, now));
  }
  std::vector<LeaseHolder> holders;
  holders.reserve(kHosts);
  for (std::size_t i = 0; i < kHosts; ++i) {
    holders.push_back(*LeaseHolder::Create(host_id(i), {}, voter_set, i));
  }
  now += std::chrono::seconds(4);
  for (std::size_t i = 0; i < kHosts; ++i) {
    std::vector<std::string> desired_keys;
    for (std::size_t key = i; key < keys; key += kHosts) {
      desired_keys.push_back("backend:service-" + std::to_string(key) +
                             ":kochi");
    }
    holders[i].SetDesiredKeys(now, desired_keys);
  }
  CpuMeter holder_cpu;
  CpuMeter voter_cpu;
  double holder_bytes = 0;
  double voter_bytes = 0;
  const auto exchange_messages =
      [&](std::size_t i, std::vector<OutgoingLeaseMessage> effects) {
        while (!effects.empty()) {
          std::vector<OutgoingLeaseMessage> next_messages;
          for (const OutgoingLeaseMessage& effect : effects) {
            holder_cpu.Start();
            const auto request_bytes =
                nlohmann::json::to_cbor(EncodeLeaseMessage(effect.message));
            holder_cpu.Stop();
            const auto voter = static_cast<std::size_t>(
                std::stoul(effect.to.value().substr(5)));
            voter_cpu.Start();
            const auto lease_request =
                DecodeLeaseMessage(nlohmann::json::from_cbor(request_bytes));
            const OutgoingLeaseMessage response = voters[voter].OnRequest(
                now, host_id(i), std::get<LeaseRequest>(*lease_request));
            const auto response_bytes =
                nlohmann::json::to_cbor(EncodeLeaseMessage(response.message));
            voter_cpu.Stop();
            holder_bytes +=
                static_cast<double>(request_bytes.size() + kDatagramOverhead);
            voter_bytes +=
                static_cast<double>(response_bytes.size() + kDatagramOverhead);
            holder_cpu.Start();
            const auto lease_response =
                DecodeLeaseMessage(nlohmann::json::from_cbor(response_bytes));
            LeaseEffects lease_effects = holders[i].OnResponse(
                now, effect.to, std::get<LeaseResponse>(*lease_response));
            holder_cpu.Stop();
            for (OutgoingLeaseMessage& message : lease_effects.messages) {
              next_messages.push_back(std::move(message));
            }
          }
          effects = std::move(next_messages);
        }
      };
  const auto run_for = [&](int seconds) {
    for (int tick = 0; tick < seconds * kTicksPerSecond; ++tick) {
      now += std::chrono::milliseconds(100);
      for (std::size_t i = 0; i < kHosts; ++i) {
        holder_cpu.Start();
        LeaseEffects lease_effects = holders[i].Tick(now);
        holder_cpu.Stop();
        exchange_messages(i, std::move(lease_effects.messages));
      }
    }
  };
  run_for(3);
  holder_cpu = CpuMeter();
  voter_cpu = CpuMeter();
  holder_bytes = voter_bytes = 0;
  run_for(kLeaseSeconds);
  const double heap_growth = HeapBytes() - heap_before;
  std::size_t held_keys = 0;
  for (const LeaseHolder& holder : holders)
    held_keys += holder.HeldKeys(now).size();
  const nlohmann::ordered_json line = {
      {"slope", "leases"},
      {"keys", keys},
      {"held", held_keys},
      {"hosts", kHosts},
      {"voters", kVoters},
      {"holder_cpu_share", holder_cpu.total_seconds() / kLeaseSeconds / kHosts},
      {"voter_cpu_share", voter_cpu.total_seconds() / kLeaseSeconds / kVoters},
      {"holder_bytes_per_second", holder_bytes / kLeaseSeconds / kHosts},
      {"voter_bytes_per_second", voter_bytes / kLeaseSeconds / kVoters},
      {"heap_bytes_per_key_all_hosts",
       heap_growth / static_cast<double>(keys)}};
  std::cout << line.dump() << std::endl;
}

// Measures how long one host takes to plan the ownership of `keys` keys over
// `hosts` hosts, and to update the plan when a host leaves or joins.
inline void MeasurePlannerScaling(std::size_t keys, std::size_t hosts) {
  std::vector<LiveHost> live_hosts;
  for (std::size_t i = 0; i < hosts; ++i) {
    live_hosts.push_back({HostId("host-" + std::to_string(i)),
                          ZoneId("zone-" + std::to_string(i % 16)), Instant()});
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < keys; ++i) {
    names.push_back("backend:service-" + std::to_string(i / 16) + ":zone-" +
                    std::to_string(i % 16));
  }
  const Instant now = Instant() + std::chrono::hours(1);
  const OwnerDirectory owners(std::chrono::seconds(9));
  OwnershipPlanner planner(live_hosts[0].id, std::chrono::seconds(10));
  const auto measure_cpu_seconds = [](const auto& operation) {
    CpuMeter meter;
    meter.Start();
    operation();
    meter.Stop();
    return meter.total_seconds();
  };
  planner.SetHosts(now, live_hosts);
  const double first_plan_seconds =
      measure_cpu_seconds([&] { planner.SetKeys(now, names); });
  std::vector<LiveHost> without_last_host(live_hosts.begin(),
                                          live_hosts.end() - 1);
  const double host_leaves_seconds =
      measure_cpu_seconds([&] { planner.SetHosts(now, without_last_host); });
  const double host_joins_seconds =
      measure_cpu_seconds([&] { planner.SetHosts(now, live_hosts); });
  const double desired_keys_seconds =
      measure_cpu_seconds([&] { planner.DesiredKeys(now, owners); });
  const nlohmann::ordered_json line = {
      {"slope", "planner"},
      {"keys", keys},
      {"hosts", hosts},
      {"first_plan_seconds", first_plan_seconds},
      {"host_leaves_seconds", host_leaves_seconds},
      {"host_joins_seconds", host_joins_seconds},
      {"wanted_seconds", desired_keys_seconds}};
  std::cout << line.dump() << std::endl;
}

// Measures one host that admits requests of `active` workspaces, at
// kRequestsPerSecond each, and one owner of the buckets of all of them.
inline void MeasureRateScaling(std::size_t active) {
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
  CpuMeter admission_cpu;
  double total_request_bytes = 0;
  double total_response_bytes = 0;
  double messages = 0;
  Random random(1);
  const auto flush = [&] {
    admission_cpu.Start();
    std::vector<std::vector<std::uint8_t>> encoded_requests;
    for (const RateEffect& effect : admission.Flush(now)) {
      encoded_requests.push_back(
          nlohmann::json::to_cbor(EncodeRateMessage(effect.message)));
    }
    admission_cpu.Stop();
    for (const auto& request_bytes : encoded_requests) {
      owner_cpu.Start();
      const auto token_request =
          DecodeRateMessage(nlohmann::json::from_cbor(request_bytes));
      const auto effects = owner.OnTokenRequest(
          now, HostId("a"), std::get<TokenRequest>(*token_request));
      const auto response_bytes =
          nlohmann::json::to_cbor(EncodeRateMessage(effects[0].message));
      owner_cpu.Stop();
      total_request_bytes +=
          static_cast<double>(request_bytes.size() + kDatagramOverhead);
      total_response_bytes +=
          static_cast<double>(response_bytes.size() + kDatagramOverhead);
      messages += 2;
      admission_cpu.Start();
      const auto token_response =
          DecodeRateMessage(nlohmann::json::from_cbor(response_bytes));
      admission.OnTokenResponse(now, std::get<TokenResponse>(*token_response));
      admission_cpu.Stop();
    }
  };
  RateAdmission::RequestNumber request_number = 0;
  for (int step = 0; step < kRateSeconds * kStepsPerSecond; ++step) {
    now += std::chrono::microseconds(1'000'000 / kStepsPerSecond);
    const double expected_requests =
        static_cast<double>(active) * kRequestsPerSecond / kStepsPerSecond;
    for (double remaining = expected_requests; remaining > 0; remaining -= 1) {
      if (!random.Chance(remaining)) continue;
      const WorkspaceId& workspace = names[random.Below(active)];
      admission_cpu.Start();
      admission.Submit(now, ++request_number, workspace, limit);
      admission_cpu.Stop();
    }
    admission_cpu.Start();
    admission.Tick(now);
    admission_cpu.Stop();
    flush();
    if (step % kStepsPerSecond == 0) owner.Tick(now);
  }
  const double heap_growth = HeapBytes() - heap_idle;
  const nlohmann::ordered_json line = {
      {"slope", "rates"},
      {"active_workspaces", active},
      {"requests_per_second", static_cast<double>(active) * kRequestsPerSecond},
      {"spender_cpu_share", admission_cpu.total_seconds() / kRateSeconds},
      {"owner_cpu_share", owner_cpu.total_seconds() / kRateSeconds},
      {"spender_bytes_per_second", total_request_bytes / kRateSeconds},
      {"owner_bytes_per_second", total_response_bytes / kRateSeconds},
      {"messages_per_second", messages / kRateSeconds},
      {"heap_bytes_idle_owner_and_spender", heap_idle - heap_start},
      {"heap_bytes_per_active_workspace",
       heap_growth / static_cast<double>(active)}};
  std::cout << line.dump() << std::endl;
}

}  // namespace sapphirebank::rate_bench
