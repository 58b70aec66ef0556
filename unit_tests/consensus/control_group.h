#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/core/random.h"
#include "unit_tests/consensus/memory_file_system.h"

namespace sapphirebank {

// Simulation of a group of control hosts in one process, with a fake clock,
// in-memory file systems and a network with configurable faults. After every
// step it checks the invariants of Raft: at most one leader per term, and the
// same committed entries on every host; and that no former leader confirms a
// round that began after the time which a leader states for that.
class ControlGroup {
 public:
  // Probability and extent of network faults.
  struct Network {
    double loss = 0;
    double duplication = 0;
    Duration max_delay = std::chrono::milliseconds(2);
  };

  // Adjusts the settings of each host before it starts.
  using Configure = std::function<void(ControlHostSettings&)>;

  ControlGroup(std::size_t hosts, std::uint64_t seed, Configure configure = {});

  void Start(std::size_t host);
  // Ends the process of a host; data that was not synced may be lost.
  void Crash(std::size_t host);
  // Ends the process of a host and erases its data folder.
  void LoseDisk(std::size_t host);
  bool IsUp(std::size_t host) const { return hosts_[host].host.has_value(); }

  // Keeps processes running whose data folder fails; otherwise they crash.
  void KeepHostsWithFailedDisks() { crashes_with_disk_ = false; }

  // Lets messages travel over links only. A host connects to the hosts in its
  // settings and to those of HostsToContact(), as the program does; a link is
  // lost with a process and while either direction is blocked.
  void UseLinks() { uses_links_ = true; }

  // Suspends a process, whose messages wait, as while its disk stands still, or
  // lets it go on.
  void Suspend(std::size_t host, bool is_suspended = true) {
    hosts_[host].is_suspended = is_suspended;
  }
  bool IsSuspended(std::size_t host) const { return hosts_[host].is_suspended; }

  // Starts or stops dropping everything that `from` sends to `to`.
  void BlockLink(std::size_t from, std::size_t to, bool is_blocked = true);
  void Isolate(std::size_t host);
  void Heal() { blocked_links_.clear(); }
  void set_network(const Network& network) { network_ = network; }

  // Advances the fake clock step by step.
  void Run(Duration duration);

  // Runs until `done` returns true, for at most one minute of the fake clock.
  // Returns whether it did.
  bool RunUntil(const std::function<bool()>& done);

  // Returns the leader with the highest term, if there is one.
  std::optional<std::size_t> Leader() const;

  // Runs until there is a leader that completes a read, and returns it.
  std::size_t AwaitLeader();

  // Returns whether all hosts are up and are the only members and voters of the
  // leader's group.
  bool IsComplete() const;

  // Proposes to one host. The completion is found by the token.
  RequestToken Propose(std::size_t host, const ControlCommand& command);
  RequestToken Read(std::size_t host);
  const Completion* Find(RequestToken token) const;

  // Proposes to the leader until the completion is definite, and returns it.
  Completion Call(const ControlCommand& command);

  static HostId HostIdOf(std::size_t host);
  static std::size_t IndexOf(const HostId& host);

  ControlHost& at(std::size_t host) { return *hosts_[host].host; }
  MemoryFileSystem& files(std::size_t host) { return *hosts_[host].files; }
  Instant now() const { return now_; }
  Random& random() { return random_; }
  std::size_t size() const { return hosts_.size(); }
  const std::vector<FreshnessStamp>& stamps() const { return stamps_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Host {
    std::unique_ptr<MemoryFileSystem> files;
    std::optional<ControlHost> host;
    LogIndex checked = 0;
    Revision revision = 0;
    std::vector<HostId> seeds;  // Of the settings.
    bool is_suspended = false;
  };
  struct Packet {
    Instant due;
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };

  void Step();
  void Connect(std::size_t from);
  void DropLostLinks();
  bool HasLink(std::size_t a, std::size_t b) const {
    return links_.contains(std::minmax(a, b));
  }
  void Send(std::size_t from, const std::vector<PeerEnvelope>& envelopes);
  void Flush(std::size_t host);
  void CheckInvariants(std::size_t host);
  void CheckStamp(const FreshnessStamp& stamp, Term leader_term,
                  Instant former_rounds_end);

  std::uint64_t seed_;
  Random random_;
  Configure configure_;
  Network network_;
  std::vector<Host> hosts_;
  std::vector<Packet> packets_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  bool uses_links_ = false;
  std::set<std::pair<std::size_t, std::size_t>> links_;
  Instant next_connect_;
  Instant now_{std::chrono::hours(1)};
  bool crashes_with_disk_ = true;
  RequestToken last_token_ = 0;
  std::map<RequestToken, Completion> completions_;
  std::map<Term, NodeId> leaders_;
  std::map<Term, Instant> former_rounds_ends_;  // By the term of the leader.
  std::map<LogIndex, LogEntry> committed_;
  std::vector<FreshnessStamp> stamps_;
  std::vector<std::string> violations_;
};

// Makes logs, segment files and snapshot parts so small that a few changes fill
// them.
void UseSmallLogs(ControlHostSettings& settings);

// Makes `count` consecutive changes, starting from revision `from`.
void MakeChanges(ControlGroup& group, Revision from, Revision count);

// Runs until all hosts that are up have `revision`. Returns whether they do.
bool AllHaveRevision(ControlGroup& group, Revision revision);

// Runs until the group is complete. Returns whether it is.
bool AwaitComplete(ControlGroup& group);

// Returns a change that sets `field` of the document to `value`.
ApplyChange ChangeOf(Revision base, const std::string& change_id,
                     const std::string& field, const nlohmann::json& value);

// Returns a claim of the idempotency key `key` by the request `request` on
// `host`.
Claim ClaimOf(const std::string& key, const std::string& request,
              const std::string& host = "entry-1", Incarnation incarnation = 1);

// Returns the command that completes the granted claim `claim`.
CompleteClaim CompletionOf(const Claim& claim, ClaimOutcome outcome,
                           std::string answer = "");

// Returns the state in the result of a claim. kUnknown is also returned for any
// other result.
ClaimState ClaimStateOf(const Completion& completion);

}  // namespace sapphirebank
