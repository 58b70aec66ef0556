#pragma once

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

// Control hosts in one process with a fake clock, folders in memory and a
// network that misbehaves as asked. After every step it checks what must hold
// at any time: one leader a term, and the same entries committed everywhere.
class ControlGroup {
 public:
  // Chance and extent of the network's faults.
  struct Network {
    double loss = 0;
    double duplication = 0;
    Duration max_delay = std::chrono::milliseconds(2);
  };

  // Changes the settings of each host before it starts.
  using Configure = std::function<void(ControlHostSettings&)>;

  ControlGroup(std::size_t hosts, std::uint64_t seed, Configure configure = {});

  void Start(std::size_t host);
  // Ends the process of a host; unsynced data suffers.
  void Crash(std::size_t host);
  // Ends the process of a host and loses its data folder.
  void LoseDisk(std::size_t host);
  bool IsUp(std::size_t host) const { return hosts_[host].host.has_value(); }

  // Drops everything that `from` sends to `to`, or no longer.
  void BlockLink(std::size_t from, std::size_t to, bool is_blocked = true);
  void Isolate(std::size_t host);
  void Heal() { blocked_links_.clear(); }
  void set_network(const Network& network) { network_ = network; }

  // Lets the fake clock run.
  void Run(Duration duration);

  // Runs until `done`, at most for a minute of the fake clock. Returns whether
  // it became true.
  bool RunUntil(const std::function<bool()>& done);

  // Returns a host that leads in the highest term, if there is one.
  std::optional<std::size_t> Leader() const;

  // Runs until there is a leader whose reads are answered, and returns it.
  std::size_t AwaitLeader();

  // Returns whether the leader's group is made of all hosts as they now are.
  bool IsComplete() const;

  // Proposes to one host. The answer is found by the token.
  RequestToken Propose(std::size_t host, const ControlCommand& command);
  RequestToken Read(std::size_t host);
  const Completion* Find(RequestToken token) const;

  // Proposes at the leader until it is answered for certain, and returns that.
  Completion Call(const ControlCommand& command);

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
  };
  struct Packet {
    Instant due;
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };

  static HostId HostIdOf(std::size_t host);
  static std::size_t IndexOf(const HostId& host);
  void Step();
  void Send(std::size_t from, const std::vector<PeerEnvelope>& envelopes);
  void Flush(std::size_t host);
  void CheckInvariants(std::size_t host);

  std::uint64_t seed_;
  Random random_;
  Configure configure_;
  Network network_;
  std::vector<Host> hosts_;
  std::vector<Packet> packets_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  Instant now_{std::chrono::hours(1)};
  RequestToken last_token_ = 0;
  std::map<RequestToken, Completion> completions_;
  std::map<Term, NodeId> leaders_;
  std::map<LogIndex, LogEntry> committed_;
  std::vector<FreshnessStamp> stamps_;
  std::vector<std::string> violations_;
};

// Makes logs, files and messages so small that a few changes fill them.
void UseSmallLogs(ControlHostSettings& settings);

// Makes `count` changes one after the other, from revision `from` on.
void MakeChanges(ControlGroup& group, Revision from, Revision count);

// Runs until all hosts that are up have `revision`. Returns whether they do.
bool AllHaveRevision(ControlGroup& group, Revision revision);

// Runs until the group is complete. Returns whether it is.
bool AwaitComplete(ControlGroup& group);

// Returns a change that sets `field` of the document to `value`.
ApplyChange ChangeOf(Revision base, const std::string& change_id,
                     const std::string& field, const nlohmann::json& value);

// Returns a claim of the key `key` by the request `request` on `host`.
Claim ClaimOf(const std::string& key, const std::string& request,
              const std::string& host = "entry-1", Incarnation incarnation = 1);

// Returns the end of the run that `claim` was granted for.
CompleteClaim CompletionOf(const Claim& claim, ClaimOutcome end,
                           std::string answer = "");

// Returns the state that a claim was answered with; kUnknown is also that of
// an answer of another kind.
ClaimState ClaimStateOf(const Completion& completion);

}  // namespace sapphirebank
