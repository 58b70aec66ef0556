#include "sapphirebank/entry/control_client.h"

#include <utility>

namespace sapphirebank {
namespace {

using nlohmann::json;

// Time after which an unanswered command is resent to another control host.
constexpr Duration kResendTimeout = std::chrono::milliseconds(700);
// Delay before a command is resent when there was no leader.
constexpr Duration kNoLeaderDelay = std::chrono::milliseconds(50);

bool IsRetryable(ErrorKind kind) {
  return kind == ErrorKind::kNotLeader || kind == ErrorKind::kNoQuorum ||
         kind == ErrorKind::kQueueFull || kind == ErrorKind::kStorageFailed;
}

}  // namespace

ControlClient::Effects ControlClient::Submit(Instant now,
                                             const ControlCommand& command,
                                             Instant deadline, Token token) {
  const std::string bytes = EncodeCommand(command);
  const std::vector<std::uint8_t> binary(bytes.begin(), bytes.end());
  Pending pending;
  pending.body = {
      {"t", "command"}, {"token", token}, {"command", json::binary(binary)}};
  pending.deadline = deadline;
  Effects effects;
  Send(now, pending, effects);
  pending_.emplace(token, std::move(pending));
  return effects;
}

ControlClient::Effects ControlClient::OnReply(Instant now, const HostId& from,
                                              const json& body) {
  Effects effects;
  auto reply = DecodeControlResponse(body);
  if (!reply) return effects;
  const auto found = pending_.find(reply->token);
  if (found == pending_.end()) return effects;
  if (!reply->result && IsRetryable(reply->result.error().kind)) {
    leader_ = reply->leader;
    if (leader_ && *leader_ != from && reachable_.contains(*leader_)) {
      Send(now, found->second, effects);
    } else {
      leader_.reset();
      found->second.resend_at = now + kNoLeaderDelay;
    }
    return effects;
  }
  leader_ = from;
  effects.answers.push_back({reply->token, std::move(reply->result)});
  pending_.erase(found);
  return effects;
}

ControlClient::Effects ControlClient::OnUp(Instant now, const HostId& host) {
  reachable_.insert(host);
  Effects effects;
  for (auto& [token, pending] : pending_) {
    if (now >= pending.resend_at) Send(now, pending, effects);
  }
  return effects;
}

void ControlClient::OnDown(const HostId& host) {
  reachable_.erase(host);
  if (leader_ == host) leader_.reset();
}

ControlClient::Effects ControlClient::Tick(Instant now) {
  Effects effects;
  for (auto item = pending_.begin(); item != pending_.end();) {
    Pending& pending = item->second;
    if (now >= pending.deadline) {
      effects.answers.push_back(
          {item->first, Fail(ErrorKind::kIdempotencyUnavailable,
                             "the control hosts did not answer in time")});
      item = pending_.erase(item);
      continue;
    }
    if (now >= pending.resend_at) {
      leader_.reset();
      Send(now, pending, effects);
    }
    ++item;
  }
  return effects;
}

void ControlClient::Send(Instant now, Pending& pending, Effects& effects) {
  const auto target = ChooseTarget();
  if (!target) {
    pending.resend_at = now + kNoLeaderDelay;
    return;
  }
  pending.resend_at = now + kResendTimeout;
  effects.messages.push_back({*target, pending.body});
}

std::optional<HostId> ControlClient::ChooseTarget() {
  if (leader_ && reachable_.contains(*leader_)) return leader_;
  if (reachable_.empty()) return std::nullopt;
  // Round robin over the reachable hosts.
  auto next = reachable_.upper_bound(last_tried_);
  if (next == reachable_.end()) next = reachable_.begin();
  last_tried_ = *next;
  return last_tried_;
}

}  // namespace sapphirebank
