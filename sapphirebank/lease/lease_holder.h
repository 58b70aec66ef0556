#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/state_chart.h"
#include "sapphirebank/lease/lease_message.h"
#include "sapphirebank/lease/lease_settings.h"

namespace sapphirebank {

// What happened to a key. The owner of the LeaseHolder acts on it and logs it.
struct LeaseEvent {
  enum class Kind {
    kAcquired,
    kExpired,   // Expired: another host may hold it already.
    kReleased,  // Given up on purpose.
  };
  Kind kind = Kind::kAcquired;
  std::string key;
  Term term = 0;
  // For kAcquired: the host that held the key before; empty when no voter
  // knows one.
  HostId previous_holder;
  // For kAcquired: the previous holder did not release the key.
  bool takeover = false;

  friend bool operator==(const LeaseEvent&, const LeaseEvent&) = default;
};

// What a LeaseHolder wants sent and what it has to tell.
struct LeaseEffects {
  std::vector<OutgoingLeaseMessage> messages;
  std::vector<LeaseEvent> events;
};

// The proposer's side of PaxosLease (Trencseni, Gazso and Reinhardt, 2012) for
// all keys of one host. Its life for each key is the chart `lease`.
//
// A lease counts from before its request was sent, on this host's clock, less
// the drift margin. A lease that has run out is lost: only a new term brings
// the key back. So a process that was frozen finds its leases lost when it
// next asks Holds() with the present time.
class LeaseHolder {
 public:
  static constexpr std::size_t kMaxVoters = 32;

  // `seed` drives the delays and the first round number: it must differ from
  // one start of the process to the next. Fails with kInvalidSettings.
  static Result<LeaseHolder> Create(HostId self, LeaseSettings settings,
                                    VoterSet voters, std::uint64_t seed);

  // Makes `keys` the wanted ones. Those that are wanted no longer are
  // released. Call Tick() afterwards.
  LeaseEffects SetDesiredKeys(Instant now, std::span<const std::string> keys);

  // Returns the term under which this host holds `key` at `now`, if it does.
  // Ask with a fresh `now` before each act that needs the lease.
  std::optional<Term> Holds(Instant now, std::string_view key) const;

  // Sends what is due. Call it at least every tenth of the lease length.
  LeaseEffects Tick(Instant now);

  // Takes a voter's answer.
  LeaseEffects OnResponse(Instant now, const HostId& from,
                          const LeaseResponse& response);

  // Tries for `key` at once if it waits: its holder released it.
  void OnReleased(Instant now, std::string_view key);

  // Releases everything, for a graceful shutdown or before a restart.
  LeaseEffects ReleaseAll(Instant now);

  // Moves to a newer set of voters and extends all leases there at once.
  LeaseEffects AdoptVoters(Instant now, VoterSet voters);

  // Returns the keys held at `now` with their terms, in order of the keys.
  std::vector<OwnerAnnouncement::Key> HeldKeys(Instant now) const;

  const VoterSet& voters() const { return voters_; }

 private:
  // In the order of the chart `lease`.
  enum class State { kIdle, kPreparing, kProposing, kHeld, kWaiting };
  enum class Event {
    kWant,
    kPromiseQuorum,
    kGrantQuorum,
    kRefused,
    kExpired,
    kRelease
  };

  struct Record {
    State state = State::kIdle;
    Term term = 0;
    // The request that awaits answers, and who answered.
    std::uint64_t round = 0;
    Instant sent_at;
    std::bitset<kMaxVoters> granted;
    std::bitset<kMaxVoters> refused;
    Instant valid_until;
    // When the next request is due.
    Instant next_request_at;
    HostId previous_holder;
    Term previous_term = 0;
  };
  using Records = std::map<std::string, Record, std::less<>>;

  // Items for all voters, which are sent in as few messages as possible.
  class RequestBatch;

  LeaseHolder(HostId self, LeaseSettings settings, VoterSet voters,
              std::uint64_t seed, StateChart chart);

  void Transition(Record& record, Event event) const;
  void QueueRequest(Instant now, const std::string& key, Record& record,
                    LeaseOperation operation, RequestBatch& batch);
  void BackOff(Instant now, const std::string& key, Record& record,
               Duration delay, RequestBatch& batch);
  void Expire(Instant now, const std::string& key, Record& record,
              LeaseEffects& effects);
  void Release(Instant now, const std::string& key, Record& record,
               RequestBatch& batch, LeaseEffects& effects);
  void TickKey(Instant now, const std::string& key, Record& record,
               RequestBatch& batch, LeaseEffects& effects);
  void OnItemResult(Instant now, std::size_t voter,
                    const LeaseItemResult& result, const std::string& key,
                    Record& record, RequestBatch& batch, LeaseEffects& effects);
  void OnQuorum(Instant now, const std::string& key, Record& record,
                RequestBatch& batch, LeaseEffects& effects);
  void OnRefusal(Instant now, const std::string& key, Record& record,
                 const LeaseItemResult& result, RequestBatch& batch);
  std::size_t Majority() const { return voters_.hosts.size() / 2 + 1; }
  Duration Jitter();

  HostId self_;
  LeaseSettings settings_;
  VoterSet voters_;
  Random random_;
  StateChart chart_;
  Records records_;
  std::uint64_t next_round_;
  // Above every term that a voter told of, for any key.
  Term highest_term_ = 0;
};

}  // namespace sapphirebank
