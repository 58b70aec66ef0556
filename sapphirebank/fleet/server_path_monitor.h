#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/state_chart.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/crashing_request_detector.h"
#include "sapphirebank/fleet/rollout_sampler.h"

namespace sapphirebank {

// An attempt that ended without an answer, which a failing server causes as
// well as a lost path to it.
struct UnansweredAttempt {
  BackendId server;
  // Number of the hub's assignment; 0 when the host chose the server itself.
  std::uint64_t assignment = 0;
  // The attempt ended before its deadline, so that a sound server would not
  // have caused it.
  bool is_fault = true;
  RequestFingerprint request = 0;
  // The server may have crashed on the request.
  bool may_have_crashed = false;
  // For the samples of rollouts; nothing where the server was not reached.
  std::optional<AttemptEnd> end{};
};

// Unanswered attempts that are no longer held, and what they tell.
struct PathVerdict {
  std::vector<UnansweredAttempt> attempts;
  // They were the servers' failures; otherwise they tell nothing.
  bool blames_servers = false;
};

struct ServerPathSettings {
  // Servers that a round of probes connects to. One reachable server shows that
  // the path is sound; a single one may be down itself.
  std::size_t probes_per_round = 3;
  // Longest time for a probe to connect. Hosts of a site are 1 to 2 ms apart,
  // but a body of some 100 KB keeps the link of a small host busy for a second.
  Duration probe_timeout = std::chrono::seconds(1);
  // Once another entry host has accepted a connection that was opened with the
  // probes, so that the link is known to be free, the servers have this time.
  Duration reference_grace = std::chrono::milliseconds(100);
  // Longest time that a request waits until the path is known.
  Duration max_verdict_wait = std::chrono::milliseconds(200);
  // Time between rounds while the path is lost, and until the round that
  // confirms that it is back.
  Duration probe_period = std::chrono::milliseconds(300);
  Duration confirmation_delay = std::chrono::milliseconds(50);
  // A host with attempts in flight that hears nothing from any server for this
  // time verifies its path: most requests take a fraction of it.
  Duration max_silence = std::chrono::milliseconds(500);
};

// Tells whether an entry host's path to the backend servers as a whole is
// sound. Failures at many servers from one host within a short time are the
// host's own, failures at one server are the server's (differential
// observability; Huang et al., "Gray Failure: The Achilles' Heel of Cloud-Scale
// Systems", HotOS 2017). So an unanswered attempt is held until contact with
// any server shows that the path is sound, and dropped when the path is lost.
class ServerPathMonitor {
 public:
  enum class State { kSound, kUnverified, kLost, kReturning };

  // Fails with kInvalidSettings when the built-in chart is not as expected.
  static Result<ServerPathMonitor> Create(ServerPathSettings settings);

  const ServerPathSettings& settings() const { return settings_; }
  State state() const { return state_; }

  // Returns whether requests should take another way: new connections to
  // servers failed, and have not been seen to succeed twice since.
  bool IsLost() const {
    return state_ == State::kLost || state_ == State::kReturning;
  }

  // Returns whether probes are needed to decide about the path.
  bool NeedsProbes() const { return state_ != State::kSound; }

  // Holds an attempt that a server left unanswered, or returns it when the path
  // is lost.
  PathVerdict RecordUnanswered(UnansweredAttempt attempt);

  // Checks whether attempts are in flight, the oldest since `oldest`, while no
  // server answers. Answers may be slow, so nothing is held against a server.
  void CheckSilence(Instant now, Instant oldest);

  // Records an answer of any server. An answer on an open connection does not
  // end a loss, as new connections may still fail.
  PathVerdict RecordAnswer(Instant now);

  // Records a round of probes: whether any server could be connected to.
  PathVerdict RecordProbes(Instant now, bool connected);

 private:
  enum class Event {
    kAttemptFailed,
    kServerAnswered,
    kProbeConnected,
    kProbesFailed,
  };

  ServerPathMonitor(ServerPathSettings settings, StateChart chart)
      : settings_(settings), chart_(std::move(chart)) {}

  PathVerdict Handle(Event event);

  ServerPathSettings settings_;
  StateChart chart_;
  State state_ = State::kSound;
  Instant answered_at_;
  std::vector<UnansweredAttempt> held_;
};

}  // namespace sapphirebank
