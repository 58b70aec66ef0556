#include "unit_tests/consensus/control_group.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kConnectPeriod = std::chrono::milliseconds(300);
constexpr Duration kRunUntilTimeout = std::chrono::minutes(1);
constexpr WallTime kWallClockStart{std::chrono::hours(24 * 365 * 50)};

}  // namespace

ControlGroup::ControlGroup(std::size_t hosts, std::uint64_t seed,
                           Configure configure)
    : seed_(seed), random_(seed), configure_(std::move(configure)) {
  hosts_.resize(hosts);
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_[i].files = std::make_unique<MemoryFileSystem>();
  }
  for (std::size_t i = 0; i < hosts; ++i) Start(i);
}

HostId ControlGroup::HostIdOf(std::size_t host) {
  return HostId(fmt::format("control-{}", host));
}

std::size_t ControlGroup::IndexOf(const HostId& host) {
  const std::string& id = host.value();
  return std::stoul(id.substr(id.rfind('-') + 1));
}

void ControlGroup::Start(std::size_t host) {
  ControlHostSettings settings;
  settings.host = HostIdOf(host);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    settings.control_hosts.push_back(HostIdOf(i));
  }
  if (configure_) configure_(settings);
  const std::uint64_t failures = hosts_[host].files->failed_operations();
  auto created = ControlHost::Create(settings, *hosts_[host].files, now_,
                                     seed_ + random_.Below(1UL << 40U));
  if (!created) {
    if (hosts_[host].files->failed_operations() > failures) return Crash(host);
    violations_.push_back("host did not start: " + created.error().detail);
    return;
  }
  hosts_[host].host.emplace(std::move(*created));
  hosts_[host].seeds = settings.control_hosts;
  hosts_[host].checked = at(host).raft().log().base().index;
}

void ControlGroup::Crash(std::size_t host) {
  hosts_[host].host.reset();
  hosts_[host].files->Crash(random_);
}

void ControlGroup::LoseDisk(std::size_t host) {
  hosts_[host].host.reset();
  hosts_[host].files->Wipe();
}

void ControlGroup::BlockLink(std::size_t from, std::size_t to,
                             bool is_blocked) {
  if (is_blocked) {
    blocked_links_.insert({from, to});
  } else {
    blocked_links_.erase({from, to});
  }
}

void ControlGroup::Isolate(std::size_t host) {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    BlockLink(host, i);
    BlockLink(i, host);
  }
}

void ControlGroup::Run(Duration duration) {
  const Instant end = now_ + duration;
  while (now_ < end) Step();
}

bool ControlGroup::RunUntil(const std::function<bool()>& done) {
  const Instant end = now_ + kRunUntilTimeout;
  while (!done()) {
    if (now_ >= end) return false;
    Step();
  }
  return true;
}

// Connects a host to those that it knows, as ControlProcess does.
void ControlGroup::Connect(std::size_t from) {
  std::vector<HostId> hosts = at(from).HostsToContact(now_);
  const std::vector<HostId>& seeds = hosts_[from].seeds;
  hosts.insert(hosts.end(), seeds.begin(), seeds.end());
  for (const HostId& host : hosts) {
    const std::size_t to = IndexOf(host);
    if (to == from || !IsUp(to) || HasLink(from, to)) continue;
    links_.insert(std::minmax(from, to));
    at(from).AddHost(host);
    at(to).AddHost(HostIdOf(from));
  }
}

void ControlGroup::DropLostLinks() {
  std::erase_if(links_, [&](const auto& link) {
    const auto [a, b] = link;
    return !IsUp(a) || !IsUp(b) || blocked_links_.contains({a, b}) ||
           blocked_links_.contains({b, a});
  });
}

void ControlGroup::Step() {
  now_ += kStep;
  if (uses_links_) {
    if (now_ >= next_connect_) {
      next_connect_ = now_ + kConnectPeriod;
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (IsUp(i)) Connect(i);
      }
    }
    DropLostLinks();
  }
  std::vector<Packet> due;
  std::erase_if(packets_, [&](Packet& packet) {
    const bool is_due = packet.due <= now_ && !IsSuspended(packet.to);
    if (is_due) due.push_back(std::move(packet));
    return is_due;
  });
  std::stable_sort(
      due.begin(), due.end(),
      [](const Packet& a, const Packet& b) { return a.due < b.due; });
  for (const Packet& packet : due) {
    if (!IsUp(packet.to)) continue;
    const auto message = DecodePeerMessage(packet.bytes);
    if (!message) {
      violations_.push_back(message.error().detail);
      continue;
    }
    at(packet.to).Receive(now_, HostIdOf(packet.from), *message);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!IsUp(i) || IsSuspended(i)) continue;
    at(i).Tick(now_, kWallClockStart + now_.time_since_epoch());
    Send(i, at(i).TakeEarlyMessages(now_));
    Flush(i);
  }
}

void ControlGroup::Flush(std::size_t host) {
  ControlEffects effects = at(host).Flush(now_);
  for (Completion& completion : effects.completions) {
    const RequestToken token = completion.token;
    if (!completions_.emplace(token, std::move(completion)).second) {
      violations_.push_back(fmt::format("token {} was completed twice", token));
    }
  }
  if (effects.stamp) {
    stamps_.push_back(*effects.stamp);
    for (const auto& [term, end] : former_rounds_ends_) {
      CheckStamp(*effects.stamp, term, end);
    }
  }
  if (effects.failure && crashes_with_disk_) {
    Crash(host);
    return;
  }
  Send(host, effects.messages);
  CheckInvariants(host);
}

void ControlGroup::Send(std::size_t from,
                        const std::vector<PeerEnvelope>& envelopes) {
  for (const PeerEnvelope& envelope : envelopes) {
    const std::size_t to = IndexOf(envelope.host);
    if (uses_links_ && !HasLink(from, to)) continue;
    if (blocked_links_.contains({from, to}) || random_.Chance(network_.loss))
      continue;
    const int copies = random_.Chance(network_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const auto span = static_cast<std::uint64_t>(network_.max_delay.count());
      packets_.push_back({now_ + Duration(random_.Below(span + 1)), from, to,
                          EncodePeerMessage(envelope.message)});
    }
  }
}

void ControlGroup::CheckInvariants(std::size_t host) {
  Host& checked = hosts_[host];
  const RaftNode& raft = at(host).raft();
  if (raft.role() == ControlRole::kLeader) {
    const auto leader = leaders_.emplace(raft.term(), raft.self()).first;
    if (leader->second != raft.self()) {
      violations_.push_back(
          fmt::format("more than one leader in term {}", raft.term()));
    }
    const Instant end = raft.former_rounds_end();
    if (former_rounds_ends_.emplace(raft.term(), end).second) {
      for (const FreshnessStamp& stamp : stamps_) {
        CheckStamp(stamp, raft.term(), end);
      }
    }
  }
  checked.checked = std::max(checked.checked, raft.log().base().index);
  for (; checked.checked < raft.commit(); ++checked.checked) {
    const LogEntry& entry = raft.log().At(checked.checked + 1);
    const auto known = committed_.emplace(entry.position.index, entry).first;
    if (known->second != entry) {
      violations_.push_back(
          fmt::format("host {} committed a different entry at index {}", host,
                      entry.position.index));
    }
  }
}

void ControlGroup::CheckStamp(const FreshnessStamp& stamp, Term leader_term,
                              Instant former_rounds_end) {
  if (stamp.term >= leader_term) return;
  const WallTime end = kWallClockStart + former_rounds_end.time_since_epoch();
  if (stamp.issued_at <= end) return;
  violations_.push_back(
      fmt::format("the leader of term {} confirmed a round after the end that "
                  "the leader of term {} stated",
                  stamp.term, leader_term));
}

std::optional<std::size_t> ControlGroup::Leader() const {
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_[i].host || !hosts_[i].host->IsLeader()) continue;
    const Term term = hosts_[i].host->raft().term();
    if (!leader || term > hosts_[*leader].host->raft().term()) leader = i;
  }
  return leader;
}

std::size_t ControlGroup::AwaitLeader() {
  std::optional<std::size_t> leader;
  const bool found = RunUntil([&] {
    leader = Leader();
    if (!leader) return false;
    const RequestToken token = Read(*leader);
    RunUntil([&] { return Find(token) != nullptr || !IsUp(*leader); });
    const Completion* read = Find(token);
    return read != nullptr && read->result.has_value();
  });
  if (!found) violations_.push_back("no leader within one minute");
  return leader.value_or(0);
}

bool ControlGroup::IsComplete() const {
  const auto leader = Leader();
  if (!leader) return false;
  const RaftNode& raft = hosts_[*leader].host->raft();
  if (!raft.CanChangeMembership()) return false;
  if (raft.membership().members().size() != hosts_.size()) return false;
  return std::all_of(hosts_.begin(), hosts_.end(), [&](const Host& host) {
    return host.host && raft.membership().IsVoter(host.host->raft().self());
  });
}

RequestToken ControlGroup::Propose(std::size_t host,
                                   const ControlCommand& command) {
  at(host).Propose(now_, command, ++last_token_);
  return last_token_;
}

RequestToken ControlGroup::Read(std::size_t host) {
  at(host).Read(now_, ++last_token_);
  return last_token_;
}

const Completion* ControlGroup::Find(RequestToken token) const {
  const auto found = completions_.find(token);
  return found == completions_.end() ? nullptr : &found->second;
}

Completion ControlGroup::Call(const ControlCommand& command) {
  Completion last{0, Fail(ErrorKind::kNoQuorum, "no result yet"), 0, {}};
  RunUntil([&] {
    const auto leader = Leader();
    if (!leader) return false;
    const RequestToken token = Propose(*leader, command);
    RunUntil([&] { return Find(token) != nullptr || !IsUp(*leader); });
    const Completion* completion = Find(token);
    if (completion == nullptr) return false;
    last = *completion;
    if (last.result) return true;
    const ErrorKind kind = last.result.error().kind;
    return kind != ErrorKind::kNoQuorum && kind != ErrorKind::kNotLeader &&
           kind != ErrorKind::kStorageFailed;
  });
  return last;
}

void UseSmallLogs(ControlHostSettings& settings) {
  settings.retention.snapshot_log_bytes = 2000;
  settings.retention.trailing_entries = 5;
  settings.segment_bytes = 1000;
  settings.raft.snapshot_chunk_bytes = 500;
}

void MakeChanges(ControlGroup& group, Revision from, Revision count) {
  for (Revision i = from; i < from + count; ++i) {
    const Completion change =
        group.Call(ChangeOf(i, "c" + std::to_string(i), "x", i));
    REQUIRE(change.result);
    REQUIRE(*change.result == CommandResult(ChangeResult{i + 1}));
  }
}

bool AllHaveRevision(ControlGroup& group, Revision revision) {
  return group.RunUntil([&] {
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.IsUp(i)) continue;
      if (group.at(i).state().declarations().revision() != revision) {
        return false;
      }
    }
    return true;
  });
}

bool AwaitComplete(ControlGroup& group) {
  return group.RunUntil([&] { return group.IsComplete(); });
}

ApplyChange ChangeOf(Revision base, const std::string& change_id,
                     const std::string& field, const nlohmann::json& value) {
  nlohmann::json operation = {
      {"op", "add"}, {"path", "/" + field}, {"value", value}};
  return {base, change_id, "operator-1",
          nlohmann::json::array({std::move(operation)})};
}

Claim ClaimOf(const std::string& key, const std::string& request,
              const std::string& host, Incarnation incarnation) {
  return {{WorkspaceId("permits"), key},
          "fingerprint of " + key,
          {RequestId(request), HostId(host), incarnation}};
}

CompleteClaim CompletionOf(const Claim& claim, ClaimOutcome outcome,
                           std::string answer) {
  return {claim.key, claim.holder, outcome, std::move(answer)};
}

ClaimState ClaimStateOf(const Completion& completion) {
  if (!completion.result) return ClaimState::kUnknown;
  const auto* answer = std::get_if<ClaimResult>(&*completion.result);
  return answer == nullptr ? ClaimState::kUnknown : answer->state;
}

}  // namespace sapphirebank
