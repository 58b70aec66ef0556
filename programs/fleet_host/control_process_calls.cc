#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "programs/fleet_host/control_process.h"
#include "sapphirebank/core/cbor.h"
#include "sapphirebank/fleet/control_timing.h"
#include "sapphirebank/transport/await_callback.h"
#include "sapphirebank/transport/process_clock.h"

// Calls of operators, backend servers and callers to a control host.
namespace sapphirebank {
namespace {

using nlohmann::json;

// Maximum age of the confirmed record for a read of the plan. An accepted plan
// must be readable everywhere after 2 s.
constexpr Duration kMaxReadAge = std::chrono::milliseconds(1000);

// Maximum number of addresses in a lookup response.
constexpr std::size_t kMaxAddresses = 64;

// With fewer ready hosts in the caller's zone, hosts of other zones are
// included in a lookup response.
constexpr std::size_t kMinZoneAddresses = 4;

// Returns the name of a change in logs.
std::string ChangeName(const ControlCommand& command) {
  if (const auto* plan = std::get_if<StorePlan>(&command)) {
    return fmt::format("plan {}", plan->version);
  }
  if (const auto* retire = std::get_if<RetireBackend>(&command)) {
    return fmt::format("departure {}", retire->backend.value());
  }
  if (const auto* zone = std::get_if<SetZoneOut>(&command)) {
    return fmt::format("zone {} {}", zone->zone.value(),
                       zone->out ? "out" : "in");
  }
  if (const auto* rollout = std::get_if<StartRollout>(&command)) {
    return fmt::format("rollout {} {}", rollout->service.value(),
                       rollout->target_version);
  }
  return "other";
}

// Returns what is to be known of a change once it is in the log: plans are
// large, and their version names them.
ControlCommand WithoutDocument(const ControlCommand& command) {
  const auto* plan = std::get_if<StorePlan>(&command);
  return plan == nullptr ? command : StorePlan{plan->version, std::string()};
}

// Returns a copy of `call` that has taken its plan's document along.
FleetCall TakeCall(FleetCall& call) {
  auto* plan = std::get_if<StorePlanCall>(&call);
  if (plan == nullptr) return call;
  return StorePlanCall{
      {plan->plan.version, std::exchange(plan->plan.document, {})}};
}

// Returns the length of a body that states one.
std::optional<std::uint64_t> ContentLength(const HeaderFields& fields) {
  const std::string_view text = FieldValue(fields, "content-length");
  std::uint64_t length = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, length);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return length;
}

// Returns whether further calls may come on the connection of one that was
// answered. The age of a connection bounds that of an order, so that callers
// that give orders need a new one for each.
bool MayCarryNextCall(const FleetCall& call, bool succeeded) {
  const auto* heartbeat = std::get_if<HeartbeatCall>(&call);
  if (heartbeat == nullptr) return false;
  return succeeded || !heartbeat->server.leaving;
}

}  // namespace

Result<std::uint64_t> ControlProcess::AcceptCallHead(
    const HttpRequestHead& head) const {
  const std::uint64_t limit = settings_.MaxPlanBytes();
  const auto length = ContentLength(head.fields);
  if (!length || *length <= limit) return limit;
  Error error(
      ErrorKind::kBodyTooLarge,
      fmt::format("the call has {} bytes; a control host with {} MB of memory "
                  "accepts up to {}",
                  *length, settings_.memory_mb, limit));
  log_.Write(LogLevel::kInfo, "call_refused",
             {{"target", head.target}, {"cause", error.detail}});
  return tl::unexpected(std::move(error));
}

boost::asio::awaitable<HttpAnswer> ControlProcess::Serve(HttpRequest request) {
  Result<FleetCall> call = codec_.read_call(request);
  // A plan is large, and the call has a copy.
  std::string().swap(request.body);
  if (!call) {
    log_.Write(
        LogLevel::kInfo, "call_refused",
        {{"target", request.head.target}, {"cause", call.error().detail}});
    co_return codec_.refusal(call.error());
  }
  if (const auto* lookup = std::get_if<LookupCall>(&*call)) {
    co_return codec_.addresses(AddressesFor(lookup->caller_zone),
                               std::min<Duration>(settings_.longest_lookup_life,
                                                  std::chrono::seconds(3)));
  }
  const auto hung_up =
      std::make_shared<std::atomic<bool>>(request.watch->hung_up());
  request.watch->set_on_hang_up([hung_up] { *hung_up = true; });
  const CallOrigin origin{request.arrived_at, request.connection_opened_at,
                          hung_up};
  const std::function<void(Callback)> start = [this, &call,
                                               &origin](Callback callback) {
    // Servers announce themselves by the hundred; operators wait for an answer.
    const auto* heartbeat = std::get_if<HeartbeatCall>(&*call);
    const bool is_urgent = heartbeat == nullptr || heartbeat->server.leaving;
    auto execute = [this, is_urgent, taken = TakeCall(*call), origin,
                    callback = std::move(callback)]() mutable {
      Execute(std::move(taken), origin, std::move(callback));
      FlushSoon(is_urgent);
    };
    if (is_urgent) {
      thread_.PostUrgent(std::move(execute));
    } else {
      thread_.Post(std::move(execute));
    }
  };
  const Result<std::string> result =
      co_await AwaitCallback<Result<std::string>>(loop_, start);
  request.watch->set_on_hang_up(nullptr);
  HttpAnswer answer =
      result ? codec_.done(*call, *result) : codec_.refusal(result.error());
  answer.close = !MayCarryNextCall(*call, result.has_value());
  co_return answer;
}

// Returns the ready hosts of the caller's zone, to avoid traffic between zones,
// or those of all zones when its zone has too few.
std::vector<std::string> ControlProcess::AddressesFor(const ZoneId& zone) {
  const auto published = std::atomic_load(&published_addresses_);
  std::vector<std::string_view> addresses;
  const auto same_zone = published->find(zone);
  if (same_zone != published->end()) {
    addresses.assign(same_zone->second.begin(), same_zone->second.end());
  }
  if (addresses.size() < kMinZoneAddresses) {
    for (const auto& [other, hosts] : *published) {
      if (other == zone) continue;
      addresses.insert(addresses.end(), hosts.begin(), hosts.end());
    }
  }
  // Partial Fisher-Yates shuffle, so that callers spread over all hosts.
  for (std::size_t i = 0; i + 1 < addresses.size() && i < kMaxAddresses; ++i) {
    std::swap(addresses[i], addresses[i + random_.Below(addresses.size() - i)]);
  }
  if (addresses.size() > kMaxAddresses) addresses.resize(kMaxAddresses);
  return {addresses.begin(), addresses.end()};
}

void ControlProcess::Execute(FleetCall call, const CallOrigin& origin,
                             Callback callback) {
  if (const auto* heartbeat = std::get_if<HeartbeatCall>(&call)) {
    const ServerAnnouncement& server = heartbeat->server;
    if (server.leaving) {
      EnqueueCall(RetireBackend{server.id, server.incarnation}, origin,
                  std::move(callback));
      return;
    }
    if (!known_leader_) {
      callback(Fail(ErrorKind::kNoQuorum, "no leader is known"));
      return;
    }
    OnServerHeartbeat(server);
    callback(std::string());
  } else if (const auto* leave = std::get_if<LeaveCall>(&call)) {
    EnqueueCall(RetireBackend{leave->server, leave->incarnation.value_or(0)},
                origin, std::move(callback));
  } else if (auto* plan = std::get_if<StorePlanCall>(&call)) {
    EnqueueCall(std::move(plan->plan), origin, std::move(callback));
  } else if (const auto* zone = std::get_if<SetZoneCall>(&call)) {
    EnqueueCall(zone->zone, origin, std::move(callback));
  } else if (const auto* rollout = std::get_if<StartRolloutCall>(&call)) {
    EnqueueCall(rollout->order, origin, std::move(callback));
  } else if (const auto* read = std::get_if<ReadRolloutCall>(&call)) {
    EnqueueRolloutRead(read->service, std::move(callback));
  } else {
    EnqueueCall(std::nullopt, origin, std::move(callback));
  }
}

void ControlProcess::OnServerHeartbeat(const ServerAnnouncement& server) {
  hub_.ApplyHeartbeat(Now(), server, host_.state().fleet());
}

void ControlProcess::EnqueueCall(std::optional<ControlCommand> command,
                                 const CallOrigin& origin, Callback callback) {
  if (command) callback = LogAcknowledgement(*command, std::move(callback));
  PendingCall pending;
  if (command) {
    const auto* retire = std::get_if<RetireBackend>(&*command);
    if (retire != nullptr) pending.knowledge = KnowledgeOf(retire->backend);
  }
  pending.command = std::move(command);
  pending.origin = origin;
  pending.callback = std::move(callback);
  pending.deadline = Now() + kControlCallTimeout;
  pending_.emplace(next_call_++, std::move(pending));
}

void ControlProcess::EnqueueRolloutRead(const ServiceId& service,
                                        Callback callback) {
  PendingCall pending;
  pending.rollout_of = service;
  pending.callback = std::move(callback);
  pending.deadline = Now() + kControlCallTimeout;
  pending_.emplace(next_call_++, std::move(pending));
}

// Logs that a change was received and returns a callback that logs its
// acknowledgement, or why it has none.
ControlProcess::Callback ControlProcess::LogAcknowledgement(
    const ControlCommand& command, Callback callback) {
  log_.Write(LogLevel::kInfo, "change_received",
             {{"change", ChangeName(command)},
              {"leader", known_leader_ ? known_leader_->value() : ""}});
  return [this, change = ChangeName(command), asked_at = Now(),
          inner = std::move(callback)](Result<std::string> result) {
    if (result) {
      log_.Write(
          LogLevel::kInfo, "change_acknowledged",
          {{"change", change}, {"ms", ToSeconds(Now() - asked_at) * 1e3}});
    } else {
      log_.Write(LogLevel::kInfo, "change_unanswered",
                 {{"change", change},
                  {"cause", result.error().detail},
                  {"ms", ToSeconds(Now() - asked_at) * 1e3}});
    }
    inner(std::move(result));
  };
}

std::string_view ControlProcess::ReasonNotToSend(
    Instant now, const PendingCall& call) const {
  if (!call.command || IsOrderedByVersion(*call.command)) return {};
  return ReasonNotToBegin(now, call.origin, kControlCallTimeout, suspension_);
}

// Sends pending calls to the current leader and fails those past their
// deadline, or all while there is no leader to wait for.
void ControlProcess::ProcessPendingCalls(Instant now) {
  std::vector<std::uint64_t> expired;
  const bool may_find_leader = pending_.empty() || MayFindLeader(now);
  for (auto& [number, call] : pending_) {
    if (now >= call.deadline || !may_find_leader) expired.push_back(number);
    const bool is_sent = call.sent_to && call.sent_to == known_leader_;
    if (!known_leader_ || is_sent || now < call.not_before) continue;
    if (now >= call.deadline) continue;
    if (const auto reason = ReasonNotToSend(now, call); !reason.empty()) {
      call.failure = reason;
      expired.push_back(number);
      continue;
    }
    if (ConcernsRollouts(call) && !LeaderKnowsRollouts()) {
      call.failure = "the leading control host has a build without rollouts";
      continue;
    }
    if (is_leader_) {
      call.sent_to = known_leader_;
      const Callback end = [this, id = number](Result<std::string> result) {
        EndAttempt(id, std::move(result));
      };
      const auto* zone =
          call.command ? std::get_if<SetZoneOut>(&*call.command) : nullptr;
      if (call.rollout_of) {
        ReadRollout(*call.rollout_of, end);
      } else if (zone != nullptr) {
        const FleetRecord& record = host_.state().fleet();
        OrderZone({*zone, record.KnownZoneChange(zone->zone)}, end);
      } else {
        ExecuteAsLeader(call.command, call.knowledge, end);
      }
      FlushSoon(true);
      break;  // The call may have completed, invalidating the iterator.
    }
    const auto link = LinkTo(*known_leader_);
    if (!link) continue;
    call.sent_to = known_leader_;
    json message = {{"t", "call"}, {"call", number}};
    if (call.command) {
      message["command"] = CborBinary(EncodeCommand(*call.command));
      message["known_start"] = call.knowledge.known_start;
      message["latest_start"] = call.knowledge.latest_start;
      if (const auto* zone = std::get_if<SetZoneOut>(&*call.command)) {
        message["zone_change"] =
            host_.state().fleet().KnownZoneChange(zone->zone);
      }
    }
    if (call.rollout_of) message["rollout"] = call.rollout_of->value();
    links_.Send(*link, message);
  }
  for (const std::uint64_t number : expired) {
    const auto call = pending_.extract(number);
    if (call.empty()) continue;
    const auto& command = call.mapped().command;
    const bool is_accepted = command && AppliedChange(*command).has_value();
    call.mapped().callback(
        Fail(ErrorKind::kNoQuorum,
             is_accepted ? "the change is accepted and not in force everywhere"
             : !is_member_      ? "this control host is outside the group"
             : !may_find_leader ? "no majority of control hosts is in contact"
             : !call.mapped().failure.empty()
                 ? call.mapped().failure
                 : "no quorum of control hosts within the call timeout"));
  }
}

// Schedules another attempt until the deadline, as the leader may have changed.
void ControlProcess::RetryLater(PendingCall& call) {
  call.sent_to.reset();
  call.not_before = Now() + kControlCallRetry;
}

void ControlProcess::EndAttempt(std::uint64_t number,
                                Result<std::string> result) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) return;
  PendingCall& call = found->second;
  const bool is_refusal =
      !result && ConcernsRollouts(call) && IsRefusal(result.error().kind);
  if (!result && !is_refusal) {
    if (ConcernsRollouts(call)) call.failure = result.error().detail;
    RetryLater(call);
    return;
  }
  const Callback done = std::move(call.callback);
  pending_.erase(found);
  done(std::move(result));
}

std::optional<std::uint64_t> ControlProcess::AppliedChange(
    const ControlCommand& command) const {
  const FleetRecord& record = host_.state().fleet();
  if (const auto* plan = std::get_if<StorePlan>(&command)) {
    return record.PlanChange(plan->version);
  }
  if (const auto* retire = std::get_if<RetireBackend>(&command)) {
    return record.RetirementChange(retire->backend, retire->incarnation);
  }
  if (const auto* zone = std::get_if<SetZoneOut>(&command)) {
    if (record.zones_out().contains(zone->zone) != zone->out) {
      return std::nullopt;
    }
    return record.ZoneChange(zone->zone);
  }
  if (const auto* order = std::get_if<StartRollout>(&command)) {
    const Rollout* last = record.FindRollout(order->service);
    if (last == nullptr || last->target_version != order->target_version ||
        last->duration != order->duration) {
      return std::nullopt;
    }
    return last->order;
  }
  return record.changes();
}

Duration ControlProcess::BoundFor(const ControlCommand& command) const {
  const ViewLeaseSettings& settings = gate_.settings();
  if (std::holds_alternative<StorePlan>(command)) return settings.plan_bound;
  if (std::holds_alternative<StartRollout>(command)) return settings.plan_bound;
  if (std::holds_alternative<SetZoneOut>(command)) return settings.zone_bound;
  return settings.departure_bound;
}

// Acknowledges a command that the record contains once no host may act without
// it for longer than its bound.
void ControlProcess::AcknowledgeWhenSafe(const ControlCommand& command,
                                         Callback callback) {
  HeldAcknowledgement held;
  held.name = ChangeName(command);
  held.change =
      AppliedChange(command).value_or(host_.state().fleet().changes());
  held.bound = BoundFor(command);
  held.asked_at = Now();
  held.callback = std::move(callback);
  held_acknowledgements_.push_back(std::move(held));
}

void ControlProcess::ReleaseAcknowledgements(Instant now) {
  if (held_acknowledgements_.empty()) return;
  std::vector<HeldAcknowledgement> waiting;
  for (HeldAcknowledgement& held : std::exchange(held_acknowledgements_, {})) {
    if (!is_leader_) {
      // The next leader decides on it when the call is sent there.
      held.callback(Fail(ErrorKind::kNotLeader,
                         "this control host is no longer the leader"));
      continue;
    }
    const std::vector<HostId> behind =
        gate_.HoldersBehind(now, held.change, held.bound);
    if (!gate_.MayAcknowledge(now, held.change, held.bound)) {
      held.waited_for = behind.empty() ? "" : behind.front().value();
      waiting.push_back(std::move(held));
      continue;
    }
    log_.Write(LogLevel::kInfo, "change_released",
               {{"change", held.name},
                {"changes", held.change},
                {"ms", ToSeconds(now - held.asked_at) * 1e3},
                {"behind", behind.size()},
                {"waited_for", held.waited_for}});
    held.callback(std::string());
  }
  held_acknowledgements_.insert(held_acknowledgements_.end(),
                                std::make_move_iterator(waiting.begin()),
                                std::make_move_iterator(waiting.end()));
}

DepartureKnowledge ControlProcess::KnowledgeOf(const BackendId& server) {
  DepartureKnowledge knowledge;
  const auto& entries = hub_.registry().entries();
  const auto known = entries.find(server);
  if (known != entries.end()) {
    knowledge.known_start = known->second.state.announcement.incarnation;
  }
  knowledge.latest_start = latest_start_.Read(Now(), WallNow());
  return knowledge;
}

// Executes a call on the leader. A read whose confirmation is too old confirms
// the leadership first.
void ControlProcess::ExecuteAsLeader(std::optional<ControlCommand> command,
                                     const DepartureKnowledge& knowledge,
                                     const Callback& callback) {
  const Instant now = Now();
  if (!is_leader_) {
    callback(
        Fail(ErrorKind::kNotLeader, "this control host is not the leader"));
    return;
  }
  if (command) {
    if (const auto* order = std::get_if<StartRollout>(&*command)) {
      OrderRollout(*order, callback);
      return;
    }
  }
  const RequestToken token = next_token_++;
  if (!command && now - confirmed_as_of_ > kMaxReadAge) {
    completions_[token] = [this, now, callback](const Completion& completion) {
      if (!completion.result) {
        callback(tl::unexpected(completion.result.error()));
        return;
      }
      confirmed_as_of_ = std::max(confirmed_as_of_, now);
      ExecuteAsLeader(std::nullopt, {}, callback);
    };
    host_.Read(now, token);
    return;
  }
  if (!command) {
    const FleetRecord& record = host_.state().fleet();
    if (record.version() == 0) {
      callback(
          Fail(ErrorKind::kNoConfiguration, "no plan has been stored yet"));
    } else {
      callback(record.document());
    }
    return;
  }
  ControlCommand complete = std::move(*command);
  json line = {{"change", ChangeName(complete)}};
  if (auto* retire = std::get_if<RetireBackend>(&complete)) {
    const DepartureKnowledge all = knowledge | KnowledgeOf(retire->backend);
    line["names_start"] = retire->incarnation > 0;
    *retire = CompleteDeparture(*retire, host_.state().fleet(), all,
                                settings_.change_limits.departure);
    line["start"] = retire->incarnation;
    line["known_start"] = all.known_start;
  }
  const auto* plan = std::get_if<StorePlan>(&complete);
  const bool joins = plan != nullptr && plan_proposals_.Covers(plan->version);
  if (plan != nullptr) line["joins_proposal"] = joins;
  log_.Write(LogLevel::kInfo, "change_at_leader", std::move(line));
  if (AppliedChange(complete)) {
    AcknowledgeWhenSafe(complete, callback);
  } else if (joins) {
    plan_proposals_.Join({plan->version, callback});
  } else {
    Propose(now, complete, callback);
  }
}

// Replicates a command and acknowledges it when it is committed and safe.
void ControlProcess::Propose(Instant now, const ControlCommand& command,
                             const Callback& callback) {
  const RequestToken token = next_token_++;
  if (const auto* order = std::get_if<SetZoneOut>(&command)) {
    zone_orders_.RecordProposal(order->zone);
  }
  if (const auto* plan = std::get_if<StorePlan>(&command)) {
    plan_proposals_.Begin(plan->version);
  }
  completions_[token] =
      [this, callback, now,
       change = WithoutDocument(command)](const Completion& completion) {
        EndProposal(change, now, completion, callback);
      };
  host_.Propose(now, command, token);
}

void ControlProcess::EndProposal(const ControlCommand& change,
                                 Instant proposed_at,
                                 const Completion& completion,
                                 const Callback& callback) {
  const bool is_committed = completion.result.has_value();
  if (const auto* order = std::get_if<SetZoneOut>(&change)) {
    const bool may_be_committed =
        !is_committed && completion.result.error().kind == ErrorKind::kNoQuorum;
    zone_orders_.RecordEnd(Now(), order->zone, may_be_committed);
  }
  if (is_committed) {
    log_.Write(LogLevel::kInfo, "change_committed",
               {{"change", ChangeName(change)},
                {"changes", host_.state().fleet().changes()},
                {"ms", ToSeconds(Now() - proposed_at) * 1e3}});
    AcknowledgeWhenSafe(change, callback);
  } else {
    callback(tl::unexpected(completion.result.error()));
  }
  if (const auto* plan = std::get_if<StorePlan>(&change)) {
    EndPlanProposal(plan->version, completion);
  }
}

// Answers the calls that waited for a proposal as it was answered itself.
void ControlProcess::EndPlanProposal(PlanVersion version,
                                     const Completion& completion) {
  for (PlanProposals::WaitingCall& call : plan_proposals_.End(version)) {
    if (completion.result) {
      AcknowledgeWhenSafe(StorePlan{call.version, std::string()},
                          std::move(call.callback));
    } else {
      call.callback(tl::unexpected(completion.result.error()));
    }
  }
}

// Decides on an order behind a round of a majority: by an outdated record a
// late one could pass for new.
void ControlProcess::OrderZone(const ZoneOrder& order,
                               const Callback& callback) {
  if (!is_leader_) {
    callback(
        Fail(ErrorKind::kNotLeader, "this control host is not the leader"));
    return;
  }
  const RequestToken token = next_token_++;
  completions_[token] = [this, order, callback](const Completion& completion) {
    if (completion.result) {
      DecideZoneOrder(order, callback);
    } else {
      callback(tl::unexpected(completion.result.error()));
    }
  };
  host_.Read(Now(), token);
}

void ControlProcess::DecideZoneOrder(const ZoneOrder& order,
                                     const Callback& callback) {
  const Instant now = Now();
  const FleetRecord& record = host_.state().fleet();
  const std::uint64_t zone_change = record.KnownZoneChange(order.change.zone);
  const ZoneOrderStep step = zone_orders_.Decide(now, order, record);
  json line = {{"change", ChangeName(order.change)},
               {"zone_change", zone_change},
               {"passes", step != ZoneOrderStep::kReject}};
  if (order.known_change) line["known_change"] = *order.known_change;
  log_.Write(LogLevel::kInfo, "change_at_leader", std::move(line));
  switch (step) {
    case ZoneOrderStep::kAcknowledge:
      AcknowledgeWhenSafe(order.change, callback);
      return;
    case ZoneOrderStep::kReject:
      callback(Fail(ErrorKind::kNoQuorum,
                    "the zone may have changed since the order was given"));
      return;
    case ZoneOrderStep::kPropose:
      break;
  }
  Propose(now, order.change, callback);
  FlushSoon(true);
}

}  // namespace sapphirebank
