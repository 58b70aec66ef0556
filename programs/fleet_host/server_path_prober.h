#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <vector>

#include "programs/fleet_host/entry_state.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/http_client.h"

namespace sapphirebank {

// Verifies an entry host's path to the backend servers with new connections, so
// that no caller waits for it. Connections to other entry hosts tell a lost
// path from a busy link. All are kept for requests. Not thread-safe: all calls
// must come from the thread of its event loop.
class ServerPathProber {
 public:
  ServerPathProber(boost::asio::io_context& loop, EntryState& state,
                   HttpClient& client, std::uint16_t fleet_port, LogWriter& log,
                   std::uint64_t seed);

  // Probes servers until the path is known to be sound. Call after an attempt
  // has failed; no effect while probes run or none are needed.
  void Start();

  // Waits, while the path is unverified, until it is known to be sound or lost.
  boost::asio::awaitable<void> AwaitVerdict();

  // Adds or removes an attempt in flight that started at `started_at`.
  void AddAttempt(Instant started_at);
  void RemoveAttempt(Instant started_at);

 private:
  struct Round;

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ProbeServers();
  boost::asio::awaitable<void> ProbeServer(Endpoint server,
                                           std::shared_ptr<Round> round);
  boost::asio::awaitable<void> ProbeReference(Endpoint host,
                                              std::shared_ptr<Round> round);
  std::vector<Endpoint> ChooseServers(Instant now);
  void LogVerdict(bool was_lost);
  void WatchSilence();

  boost::asio::io_context& loop_;
  EntryState& state_;
  HttpClient& client_;
  std::uint16_t fleet_port_;
  LogWriter& log_;
  Random random_;
  bool is_running_ = false;
  // Cancelled when a round of probes has ended.
  boost::asio::steady_timer verdict_;
  boost::asio::steady_timer silence_timer_;
  bool is_watching_ = false;
  std::multiset<Instant> attempts_;  // Start times.
};

}  // namespace sapphirebank
