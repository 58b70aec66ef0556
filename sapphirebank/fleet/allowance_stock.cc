#include "sapphirebank/fleet/allowance_stock.h"

#include <algorithm>
#include <cmath>

#include "sapphirebank/fleet/allowance_bank.h"

namespace sapphirebank {
namespace {

// Time over which the rate of requests is smoothed.
constexpr double kSmoothingSeconds = 2.0;

// Part of the requests expected in the lifetime of a grant for which tokens
// are held in advance. A token that expires is lost to its workspace, so a host
// with few requests asks for each.
constexpr double kAdvancePart = 0.4;

// Tokens held in advance at most, for one workspace.
constexpr double kMostInAdvance = 4;

// Part of the even share that is spent without asking: below 1, since grants
// from just before may still be in use.
constexpr double kOwnShare = 0.7;

// Tokens of the own share when answers stop to come: with a whole one, many
// hosts together would exceed a small rate at once.
constexpr double kOwnStart = 0.5;

}  // namespace

void AllowanceStock::DropExpired(Instant now) {
  while (!batches_.empty() &&
         now - batches_.front().asked_at >= kGrantLifetime) {
    batches_.pop_front();
  }
}

bool AllowanceStock::Take(Instant now) {
  DropExpired(now);
  if (batches_.empty()) return false;
  if (--batches_.front().tokens == 0) batches_.pop_front();
  return true;
}

std::uint32_t AllowanceStock::Held(Instant now) {
  DropExpired(now);
  std::uint32_t held = 0;
  for (const Batch& batch : batches_) held += batch.tokens;
  return held;
}

void AllowanceStock::Add(Instant asked_at, std::uint32_t tokens) {
  // The own share is for a time without answers and starts with it.
  own_tokens_ = kOwnStart;
  own_filled_at_ = asked_at;
  if (tokens > 0) batches_.push_back({asked_at, tokens});
}

std::uint32_t AllowanceStock::Want(Instant now, std::uint32_t on_order) {
  const double elapsed = std::max(ToSeconds(now - last_request_), 1e-3);
  last_request_ = now;
  const double keep = std::exp(-elapsed / kSmoothingSeconds);
  request_rate_ = request_rate_ * keep + (1 - keep) / elapsed;
  const std::uint32_t held = Held(now) + on_order;
  const double target = std::min(
      std::floor(request_rate_ * ToSeconds(kGrantLifetime) * kAdvancePart),
      kMostInAdvance);
  const auto wanted = static_cast<std::uint32_t>(target);
  return wanted > held ? wanted - held : 0;
}

bool AllowanceStock::TakeOwnShare(Instant now, double rate, double hosts) {
  const double fill = kOwnShare * rate / std::max(hosts, 1.0);
  own_tokens_ =
      std::min(1.0, own_tokens_ + fill * ToSeconds(now - own_filled_at_));
  own_filled_at_ = now;
  if (own_tokens_ < 1) return false;
  own_tokens_ -= 1;
  return true;
}

}  // namespace sapphirebank
