#include <algorithm>
#include <utility>

#include "programs/fleet_host/control_process.h"
#include "sapphirebank/core/cbor.h"
#include "sapphirebank/transport/await_callback.h"

// The calls of operators, backend servers and callers at a control host.
namespace sapphirebank {
namespace {

using nlohmann::json;

// A call that waits for the leader is given up after this time: callers go on
// to another host after a second without an answer.
constexpr Duration kCallTime = std::chrono::milliseconds(900);

// The word of a leader on the newest plan may be this old. An accepted plan is
// to be read everywhere after 2 s.
constexpr Duration kOldestProof = std::chrono::milliseconds(1000);

// Addresses that one answer of the directory names at most.
constexpr std::size_t kMostAddresses = 64;

// With fewer ready hosts in the caller's zone, those of others are named too.
constexpr std::size_t kFewestNear = 4;

}  // namespace

boost::asio::awaitable<HttpAnswer> ControlProcess::Serve(HttpRequest request) {
  const Result<FleetCall> call = dialect_.read_call(request);
  if (!call) {
    log_.Write(
        LogLevel::kInfo, "call_refused",
        {{"target", request.head.target}, {"cause", call.error().detail}});
    co_return dialect_.refusal(call.error());
  }
  if (const auto* lookup = std::get_if<LookupCall>(&*call)) {
    co_return dialect_.addresses(
        AddressesFor(lookup->caller_zone),
        std::min<Duration>(settings_.longest_lookup_life,
                           std::chrono::seconds(3)));
  }
  const std::function<void(Callback)> start = [this, &call](Callback callback) {
    thread_.Post([this, moved = *call, callback = std::move(callback)] {
      Execute(moved, callback);
      FlushSoon();
    });
  };
  const Result<std::string> result =
      co_await AwaitCallback<Result<std::string>>(loop_, start);
  if (result) co_return dialect_.done(*call, *result);
  co_return dialect_.refusal(result.error());
}

// Names the hosts of the caller's zone, so that its bytes stay there, or all
// while its zone has too few.
std::vector<std::string> ControlProcess::AddressesFor(const ZoneId& zone) {
  const auto ready = std::atomic_load(&published_);
  std::vector<std::string> addresses;
  std::vector<std::string> others;
  for (const ReadyHost& host : *ready) {
    (host.zone == zone ? addresses : others).push_back(host.address);
  }
  if (addresses.size() < kFewestNear) {
    addresses.insert(addresses.end(), others.begin(), others.end());
  }
  // A random part, so that callers spread over all hosts.
  for (std::size_t i = 0; i + 1 < addresses.size() && i < kMostAddresses; ++i) {
    std::swap(addresses[i], addresses[i + random_.Below(addresses.size() - i)]);
  }
  if (addresses.size() > kMostAddresses) addresses.resize(kMostAddresses);
  return addresses;
}

void ControlProcess::Execute(FleetCall call, Callback callback) {
  if (const auto* heartbeat = std::get_if<HeartbeatCall>(&call)) {
    const ServerAnnouncement& server = heartbeat->server;
    if (server.leaving) {
      Ask(RetireBackend{server.id, server.incarnation}, std::move(callback));
      return;
    }
    if (!known_leader_) {
      callback(Fail(ErrorKind::kNoQuorum, "no control host leads"));
      return;
    }
    HearServer(server);
    callback(std::string());
  } else if (const auto* leave = std::get_if<LeaveCall>(&call)) {
    Ask(RetireBackend{leave->server, leave->incarnation.value_or(0)},
        std::move(callback));
  } else if (const auto* plan = std::get_if<StorePlanCall>(&call)) {
    Ask(plan->plan, std::move(callback));
  } else if (const auto* zone = std::get_if<SetZoneCall>(&call)) {
    Ask(zone->zone, std::move(callback));
  } else {
    Ask(std::nullopt, std::move(callback));
  }
}

void ControlProcess::HearServer(const ServerAnnouncement& server) {
  hub_.ApplyHeartbeat(Now(), server, host_.state().fleet());
}

void ControlProcess::Ask(std::optional<ControlCommand> command,
                         Callback callback) {
  if (command && IsDone(*command)) {
    callback(std::string());
    return;
  }
  Pending pending;
  pending.command = std::move(command);
  pending.callback = std::move(callback);
  pending.deadline = Now() + kCallTime;
  pending_.emplace(next_call_++, std::move(pending));
}

// Sends calls to the leader that is known now and ends those that waited for
// too long.
void ControlProcess::Advance(Instant now) {
  std::vector<std::uint64_t> over;
  for (auto& [number, call] : pending_) {
    if (now >= call.deadline) over.push_back(number);
    const bool is_sent = call.sent_to && call.sent_to == known_leader_;
    if (!known_leader_ || is_sent || now < call.not_before) continue;
    if (leads_) {
      call.sent_to = known_leader_;
      Decide(call.command, [this, id = number](Result<std::string> result) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) return;
        if (!result) {
          AskAgainLater(found->second);
          return;
        }
        const Callback done = std::move(found->second.callback);
        pending_.erase(found);
        done(std::move(result));
      });
      FlushSoon();
      break;  // The call may have ended and the table changed.
    }
    const auto link = LinkTo(*known_leader_);
    if (!link) continue;
    call.sent_to = known_leader_;
    json message = {{"t", "call"}, {"call", number}};
    if (call.command) {
      const std::string bytes = EncodeCommand(*call.command);
      message["command"] = json::binary({bytes.begin(), bytes.end()});
    }
    links_.Send(*link, message);
  }
  for (const std::uint64_t number : over) {
    const auto call = pending_.extract(number);
    if (call.empty()) continue;
    call.mapped().callback(
        Fail(ErrorKind::kNoQuorum, "the control hosts did not agree in time"));
  }
}

// The leader may have changed, so the call is sent again until its time is up.
void ControlProcess::AskAgainLater(Pending& call) {
  constexpr Duration kPause = std::chrono::milliseconds(50);
  call.sent_to.reset();
  call.not_before = Now() + kPause;
}

bool ControlProcess::IsDone(const ControlCommand& command) const {
  const FleetRecord& record = host_.state().fleet();
  if (const auto* plan = std::get_if<StorePlan>(&command)) {
    return plan->version <= record.version();
  }
  if (const auto* retire = std::get_if<RetireBackend>(&command)) {
    return retire->incarnation > 0 &&
           record.IsRetired(retire->backend, retire->incarnation);
  }
  return false;
}

// A server that leaves need not tell which life it is in.
ControlCommand ControlProcess::Complete(ControlCommand command) const {
  auto* retire = std::get_if<RetireBackend>(&command);
  if (retire == nullptr || retire->incarnation > 0) return command;
  const auto& entries = hub_.registry().entries();
  const auto known = entries.find(retire->backend);
  if (known != entries.end()) {
    retire->incarnation = known->second.state.announcement.incarnation;
  }
  return command;
}

// Carries out a call at the leader.
void ControlProcess::Decide(std::optional<ControlCommand> command,
                            const Callback& callback) {
  const Instant now = Now();
  if (!leads_) {
    callback(Fail(ErrorKind::kNotLeader, "this control host does not lead"));
    return;
  }
  const Token token = next_token_++;
  if (!command && now - confirmed_at_ > kOldestProof) {
    completions_[token] = [this, now, callback](const Completion& completion) {
      if (!completion.result) {
        callback(tl::unexpected(completion.result.error()));
        return;
      }
      confirmed_at_ = std::max(confirmed_at_, now);
      Decide(std::nullopt, callback);
    };
    host_.Read(now, token);
    return;
  }
  if (!command) {
    const FleetRecord& record = host_.state().fleet();
    if (record.version() == 0) {
      callback(Fail(ErrorKind::kNoConfiguration, "no plan was stored yet"));
    } else {
      callback(record.document());
    }
    return;
  }
  ControlCommand whole = Complete(std::move(*command));
  if (IsDone(whole)) {
    callback(std::string());
    return;
  }
  completions_[token] = [callback](const Completion& completion) {
    if (completion.result) {
      callback(std::string());
    } else {
      callback(tl::unexpected(completion.result.error()));
    }
  };
  host_.Propose(now, whole, token);
}

}  // namespace sapphirebank
