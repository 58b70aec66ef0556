#include "programs/fleet_host/server_path_prober.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// Period of the check for silence while attempts are in flight.
constexpr Duration kSilenceCheckPeriod = std::chrono::milliseconds(125);

// Waits until the timer expires or is cancelled.
asio::awaitable<void> Await(asio::steady_timer& timer) {
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

// Connections that are being opened in parallel.
struct ServerPathProber::Round {
  Round(asio::io_context& loop, std::size_t servers, Instant end)
      : changed(loop), pending(servers), deadline(end) {}

  bool IsDecided(Instant now) const {
    return connected || pending == 0 || now >= deadline;
  }

  asio::steady_timer changed;  // Cancelled when something below has changed.
  std::size_t pending;         // Servers whose answer is awaited.
  bool connected = false;
  Instant deadline;
};

ServerPathProber::ServerPathProber(asio::io_context& loop, EntryState& state,
                                   HttpClient& client, std::uint16_t fleet_port,
                                   LogWriter& log, std::uint64_t seed)
    : loop_(loop),
      state_(state),
      client_(client),
      fleet_port_(fleet_port),
      log_(log),
      random_(seed),
      verdict_(loop),
      silence_timer_(loop) {}

void ServerPathProber::Start() {
  if (is_running_ || !state_.path().NeedsProbes()) return;
  is_running_ = true;
  verdict_.expires_after(state_.path().settings().max_verdict_wait);
  asio::co_spawn(loop_, Run(), asio::detached);
}

asio::awaitable<void> ServerPathProber::AwaitVerdict() {
  const bool is_unverified =
      state_.path().NeedsProbes() && !state_.path().IsLost();
  if (is_running_ && is_unverified) co_await Await(verdict_);
}

asio::awaitable<void> ServerPathProber::Run() {
  asio::steady_timer pause(loop_);
  while (state_.path().NeedsProbes()) {
    const bool was_lost = state_.path().IsLost();
    const bool connected = co_await ProbeServers();
    state_.RecordProbes(MonotonicNow(), connected);
    verdict_.cancel();
    LogVerdict(was_lost);
    if (!state_.path().NeedsProbes()) break;
    const ServerPathSettings& settings = state_.path().settings();
    pause.expires_after(connected ? settings.confirmation_delay
                                  : settings.probe_period);
    co_await Await(pause);
  }
  is_running_ = false;
}

void ServerPathProber::LogVerdict(bool was_lost) {
  if (state_.path().IsLost() == was_lost) return;
  log_.Write(LogLevel::kWarning,
             was_lost ? "server_path_found" : "server_path_lost",
             {{"attempts_in_flight", attempts_.size()}});
}

// Connects to several servers at once. Returns whether one of them accepted, or
// false when there is none to try.
asio::awaitable<bool> ServerPathProber::ProbeServers() {
  const Instant now = MonotonicNow();
  const std::vector<Endpoint> servers = ChooseServers(now);
  const auto round = std::make_shared<Round>(
      loop_, servers.size(), now + state_.path().settings().probe_timeout);
  for (const Endpoint& server : servers) {
    asio::co_spawn(loop_, ProbeServer(server, round), asio::detached);
  }
  for (const std::string& host : state_.detour_hosts().hosts()) {
    auto endpoint = EndpointFromString(host);
    if (!endpoint) continue;
    endpoint->port = fleet_port_;
    asio::co_spawn(loop_, ProbeReference(*endpoint, round), asio::detached);
  }
  while (!round->IsDecided(MonotonicNow())) {
    round->changed.expires_after(round->deadline - MonotonicNow());
    co_await Await(round->changed);
  }
  co_return round->connected;
}

asio::awaitable<void> ServerPathProber::ProbeServer(
    Endpoint server, std::shared_ptr<Round> round) {
  const bool connected = co_await client_.OpenIdleConnection(
      server, state_.path().settings().probe_timeout);
  round->connected = round->connected || connected;
  --round->pending;
  round->changed.cancel();
}

asio::awaitable<void> ServerPathProber::ProbeReference(
    Endpoint host, std::shared_ptr<Round> round) {
  const ServerPathSettings& settings = state_.path().settings();
  if (!co_await client_.OpenIdleConnection(host, settings.probe_timeout)) {
    co_return;
  }
  round->deadline =
      std::min(round->deadline, MonotonicNow() + settings.reference_grace);
  round->changed.cancel();
}

// Returns random servers, those that this host does not avoid first: servers
// of a version that is out may have stopped.
std::vector<Endpoint> ServerPathProber::ChooseServers(Instant now) {
  std::vector<KnownServerPtr> servers = state_.view().Servers();
  for (std::size_t i = servers.size(); i > 1; --i) {
    std::swap(servers[i - 1], servers[random_.Below(i)]);
  }
  std::stable_partition(servers.begin(), servers.end(),
                        [&](const KnownServerPtr& server) {
                          return now >= server->avoid_until &&
                                 server->version_use == VersionUse::kOpen &&
                                 server->state.health == ServerHealth::kUp;
                        });
  const std::size_t count =
      std::min(servers.size(), state_.path().settings().probes_per_round);
  std::vector<Endpoint> chosen;
  chosen.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(servers[i]->state.announcement.endpoint);
  }
  return chosen;
}

void ServerPathProber::AddAttempt(Instant started_at) {
  attempts_.insert(started_at);
  if (!std::exchange(is_watching_, true)) WatchSilence();
}

void ServerPathProber::RemoveAttempt(Instant started_at) {
  attempts_.erase(attempts_.find(started_at));
}

void ServerPathProber::WatchSilence() {
  if (attempts_.empty()) {
    is_watching_ = false;
    return;
  }
  state_.CheckSilence(MonotonicNow(), *attempts_.begin());
  Start();
  silence_timer_.expires_after(kSilenceCheckPeriod);
  silence_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) WatchSilence();
  });
}

}  // namespace sapphirebank
