#include "programs/fleet_host/entry_state.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

// A server that could not be reached from here is passed over for this time;
// some lose only the paths to a few hosts, and for seconds.
constexpr Duration kAvoidUnreachable = std::chrono::milliseconds(2500);

// The hub is a fraction of a millisecond away; a host that waits longer chooses
// itself.
constexpr Duration kAssignmentTime = std::chrono::milliseconds(25);

// After a break the leader's word comes within milliseconds; until then this
// host goes elsewhere.
constexpr Duration kAvoidBroken = std::chrono::milliseconds(800);

}  // namespace

EntryState::EntryState(boost::asio::io_context& loop, PlanReader reader,
                       Duration key_permission, double retry_slack, ZoneId zone,
                       std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      view_(std::move(reader), key_permission),
      retries_(kEntryHostRetryShare, retry_slack),
      random_(seed),
      chooser_(ServerChooserSettings(), std::move(zone), Random(seed + 1)),
      hooks_(std::move(hooks)) {}

Result<void> EntryState::Apply(Instant now, std::optional<Instant> asked_at,
                               const FleetUpdate& update) {
  auto applied = view_.Apply(now, asked_at, update);
  retries_.SetShareCount(update.entry_hosts);
  TakeGrants(asked_at.value_or(now), update);
  return applied;
}

void EntryState::TakeGrants(Instant asked_at, const FleetUpdate& update) {
  for (const auto& [workspace, grant] : update.granted) {
    Account& account = accounts_[workspace];
    account.on_order -= std::min(account.on_order, grant.settled);
    account.stock.Add(asked_at, grant.tokens);
    // Each settled token answers one request, whether granted or refused.
    for (std::uint32_t i = 0; i < grant.settled; ++i) {
      if (account.waiters.empty()) break;
      account.waiters.front()->answered = true;
      account.waiters.front()->timer.cancel();
      account.waiters.pop_front();
    }
  }
}

boost::asio::awaitable<EntryState::Choice> EntryState::Choose(
    ServerQuery query) {
  const Instant now = MonotonicNow();
  DispatchQuery question;
  question.service = query.service->id;
  question.repeatable = query.repeatable;
  question.is_retry = query.is_retry;
  for (const KnownServerPtr& server : query.tried) {
    question.excluded.insert(server->state.announcement.id);
  }
  for (const KnownServerPtr& server : view_.ServersOf(query.service->id)) {
    if (now < server->avoid_until) {
      question.excluded.insert(server->state.announcement.id);
    }
  }
  Choice choice;
  const std::uint64_t number = next_assignment_++;
  if (hooks_.ask(number, question)) {
    auto waiter = std::make_shared<Waiter>(loop_);
    waiter->timer.expires_after(kAssignmentTime);
    choosing_[number] = waiter;
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    choosing_.erase(number);
    choice.server = view_.Find(waiter->choice.server);
    if (choice.server) {
      choice.assignment = number;
      choice.is_busy = waiter->choice.is_busy;
      co_return choice;
    }
    hooks_.end(number, AssignmentOutcome::kInconclusive);
  }
  if (query.is_retry && !retries_.TrySpend(query.service->id)) co_return choice;
  choice.server = chooser_.Choose(MonotonicNow(), view_, query);
  co_return choice;
}

void EntryState::TakeChoice(std::uint64_t assignment,
                            const DispatchChoice& choice) {
  const auto found = choosing_.find(assignment);
  if (found == choosing_.end()) return;
  found->second->choice = choice;
  found->second->timer.cancel();
}

void EntryState::End(const Choice& choice, AssignmentOutcome end) {
  if (choice.assignment != 0) hooks_.end(choice.assignment, end);
}

boost::asio::awaitable<TokenAnswer> EntryState::TakeToken(WorkspaceId workspace,
                                                          Duration wait) {
  Account& account = accounts_[workspace];
  const Instant now = MonotonicNow();
  const std::uint32_t ahead =
      account.stock.PrefetchCount(now, account.on_order + account.to_ask);
  const bool taken = account.stock.TryTake(now);
  account.to_ask += ahead + (taken ? 0 : 1);
  if (account.to_ask > 0) hooks_.report_now();
  if (taken) co_return TokenAnswer::kGranted;
  auto waiter = std::make_shared<Waiter>(loop_);
  waiter->timer.expires_after(wait);
  account.waiters.push_back(waiter);
  boost::system::error_code ignored;
  co_await waiter->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  if (!waiter->answered) {
    std::erase(account.waiters, waiter);
    co_return TokenAnswer::kNoAnswer;
  }
  co_return account.stock.TryTake(MonotonicNow()) ? TokenAnswer::kGranted
                                                  : TokenAnswer::kRefused;
}

bool EntryState::TakeOwnShare(Instant now, const PlannedWorkspace& workspace) {
  return accounts_[workspace.id].stock.TryTakeLocalShare(now, workspace.rate,
                                                         view_.entry_hosts());
}

void EntryState::CountRequest(const ServiceId& service) {
  ++requests_[service];
  retries_.CountRequest(service);
}

void EntryState::Succeeded(const KnownServer& server) {
  ++outcomes_[server.state.announcement.id].successes;
  if (server.state.health != ServerHealth::kUp) hooks_.report_now();
}

void EntryState::Erred(const KnownServer& server) {
  ++outcomes_[server.state.announcement.id].errors;
  hooks_.report_now();
}

void EntryState::Broke(Instant now, KnownServer& server,
                       RequestFingerprint request, bool may_have_crashed) {
  server.avoid_until = std::max(server.avoid_until, now + kAvoidBroken);
  ++outcomes_[server.state.announcement.id].hard_failures;
  if (may_have_crashed) {
    crashes_.push_back({request, server.state.announcement.id});
  }
  hooks_.report_now();
}

void EntryState::Unreachable(Instant now, KnownServer& server) {
  server.avoid_until = std::max(server.avoid_until, now + kAvoidUnreachable);
  ++outcomes_[server.state.announcement.id].hard_failures;
  hooks_.report_now();
}

void EntryState::Fill(EntryReport& report, bool first) {
  report.registry_id = view_.registry_id();
  report.known_registry_changes = view_.registry_changes();
  report.known_plan_version = view_.plan() ? view_.plan()->version() : 0;
  report.outcomes = std::exchange(outcomes_, {});
  report.requests = std::exchange(requests_, {});
  report.crashes = std::exchange(crashes_, {});
  if (first) report.known_servers = view_.Announcements();
  for (auto& [workspace, account] : accounts_) {
    // Tokens that a lost leader did not grant are asked for again.
    if (first) account.to_ask += std::exchange(account.on_order, 0);
    if (account.to_ask == 0) continue;
    report.wanted_tokens[workspace] = account.to_ask;
    account.on_order += std::exchange(account.to_ask, 0);
  }
}

}  // namespace sapphirebank
