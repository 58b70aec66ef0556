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

// A change of the state of a key. The caller acts on it and logs it.
struct LeaseEvent {
  enum class Kind {
    kAcquired,
    kExpired,   // Another host may already hold the key.
    kReleased,  // Released by this host.
  };
  Kind kind = Kind::kAcquired;
  std::string key;
  Term term = 0;
  // For kAcquired: the host that held the key before; empty when no voter
  // reported one.
  HostId previous_holder;
  // For kAcquired: the previous holder did not release the key.
  bool takeover = false;

  friend bool operator==(const LeaseEvent&, const LeaseEvent&) = default;
};

// The messages that the caller must send and the events that it must handle.
struct LeaseEffects {
  std::vector<OutgoingLeaseMessage> messages;
  std::vector<LeaseEvent> events;
};

// The proposer of PaxosLease (Trencseni, Gazso and Reinhardt, 2012) for all
// keys of one host. The states of each key are those of the state chart
// `lease`.
//
// The duration of a lease is counted from before its request was sent, on this
// host's clock, less the drift margin. An expired lease is never revived: the
// host needs a new term to hold the key again. So a process that was paused
// finds its leases expired when it next calls Holds() with the current time.
class LeaseHolder {
 public:
  static constexpr std::size_t kMaxVoters = 32;

  // `seed` determines the random delays and the first round number, and must
  // differ between starts of the process. Fails with kInvalidSettings.
  static Result<LeaseHolder> Create(HostId self, LeaseSettings settings,
                                    VoterSet voters, std::uint64_t seed);

  // Sets the keys that this host should hold. Releases those that are no longer
  // among them. Call Tick() afterwards.
  LeaseEffects SetDesiredKeys(Instant now, std::span<const std::string> keys);

  // Returns the term under which this host holds `key` at `now`, if it does.
  // Call it with the current time before each action that needs the lease.
  std::optional<Term> Holds(Instant now, std::string_view key) const;

  // Returns the requests that are due. Call it at least every tenth of the
  // lease length.
  LeaseEffects Tick(Instant now);

  // Handles a voter's response.
  LeaseEffects OnResponse(Instant now, const HostId& from,
                          const LeaseResponse& response);

  // Makes a request for `key` due at once if the key is waiting, since its
  // holder released it.
  void OnReleased(Instant now, std::string_view key);

  // Releases all keys, for a graceful shutdown or before a restart.
  LeaseEffects ReleaseAll(Instant now);

  // Adopts a newer set of voters and requests extensions of all leases from it
  // at once.
  LeaseEffects AdoptVoters(Instant now, VoterSet voters);

  // Returns the keys held at `now` with their terms, in the order of the keys.
  std::vector<OwnerAnnouncement::Key> HeldKeys(Instant now) const;

  const VoterSet& voters() const { return voters_; }

 private:
  // In the order of the state chart `lease`.
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
    // The request that is pending, 0 for none, and the voters that responded to
    // it, as indexes into `voters_.hosts`.
    std::uint64_t round = 0;
    Instant sent_at;
    std::bitset<kMaxVoters> granted;
    std::bitset<kMaxVoters> refused;
    Instant valid_until;
    // When the next request, or the end of the pending one, is due.
    Instant next_request_at;
    HostId previous_holder;
    Term previous_term = 0;
  };
  using Records = std::map<std::string, Record, std::less<>>;

  // Collects items that go to all voters, so that they are sent in as few
  // messages as possible.
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
  // The largest term that any voter reported or this host used, for any key.
  Term highest_term_ = 0;
};

}  // namespace sapphirebank
