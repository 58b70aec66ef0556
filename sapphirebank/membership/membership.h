#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/membership/member.h"
#include "sapphirebank/membership/member_table.h"
#include "sapphirebank/membership/membership_message.h"
#include "sapphirebank/membership/membership_settings.h"
#include "sapphirebank/membership/probe_rotation.h"
#include "sapphirebank/membership/revision_stamp.h"
#include "sapphirebank/membership/update_queue.h"

namespace sapphirebank {

// A message to send as one datagram to `address`.
struct OutgoingMembershipMessage {
  std::string address;
  MembershipMessage message;
};

// The messages that the caller must send and the events that it must handle.
struct MembershipEffects {
  std::vector<OutgoingMembershipMessage> messages;
  std::vector<MemberEvent> events;
};

// The members of the fleet as seen by one host: SWIM (Das, Gupta and Motivala,
// 2002) with the local health and suspicion rules of Lifeguard (Dadgar,
// Phillips and Currey, 2018) and anti-entropy by digests. The views of two
// hosts may differ at any moment, so no decision may depend on their agreement.
class Membership {
 public:
  // Creates a view with this host as the only member. `seed` must differ
  // between processes. Fails with kInvalidSettings.
  static Result<Membership> Create(MembershipSettings settings,
                                   std::uint64_t seed, Instant now);

  // Runs the timers that are due. Call it at `next_tick()` at the latest.
  MembershipEffects Tick(Instant now);

  // Returns when the next timer is due.
  Instant next_tick() const;

  // Handles a message from the address `from`.
  MembershipEffects Receive(Instant now, std::string_view from,
                            const MembershipMessage& message);

  // Announces that this host shuts down. It still responds to probes.
  MembershipEffects Leave(Instant now);

  // Changes the metadata that this host announces. Fails with kInvalidSettings
  // when it is too long. Each change is gossiped to every host of the fleet.
  Result<void> SetMetadata(std::string metadata);

  // Returns the members that are alive or suspect, in the order of their ids,
  // including this host unless it left. The span is valid until the next call
  // of a non-const function.
  std::span<const Member> LiveMembers() const;

  // Increases whenever LiveMembers() may have changed.
  std::uint64_t view_version() const { return view_version_; }

  // Returns the number of members in `state`, including this host.
  std::size_t CountOf(MemberState state) const;

  // Returns whether this host has received nothing from other members for
  // several probe periods.
  bool isolated() const { return isolated_; }

  // Returns whether another live process uses this host's id and does not give
  // it up.
  bool id_conflict() const { return id_conflict_; }

  // Returns 0 when this host's own probes succeed, and more the more of them
  // fail without confirmation by other hosts, up to a maximum (Lifeguard's
  // local health multiplier).
  std::uint32_t local_health() const { return local_health_; }

  // Stores a stamp that was received other than by a membership message.
  void ObserveStamp(Instant now, const RevisionStamp& stamp) {
    latest_stamp_.Observe(now, stamp);
  }

  // Returns the most recently issued stamp that this host received. Acks of
  // probes spread it through the fleet.
  std::optional<RevisionStamp> LatestStamp(Instant now) const {
    return latest_stamp_.At(now);
  }

 private:
  enum class PingPurpose { kProbe, kRelay, kContact };
  struct PendingPing {
    PingPurpose purpose = PingPurpose::kProbe;
    Instant sent;
    Instant deadline;
    // Address of the host that requested the ping and the sequence number of
    // its request; only for kRelay.
    std::string requester_address;
    std::uint32_t requester_sequence = 0;
  };
  struct Probe {
    HostId target;
    std::uint32_t sequence = 0;
    Instant sent;
    Instant relay_at;
    Instant deadline;
    std::size_t relays_requested = 0;
    std::size_t nacks = 0;
    bool acked = false;
  };

  Membership(MembershipSettings settings, MemberTable table, std::uint64_t seed,
             Instant now);

  void RecoverFromPause(Instant now);
  void CheckIsolation(Instant now, MembershipEffects& effects);
  void StartProbe(Instant now, MembershipEffects& effects);
  void RequestIndirectProbes(Instant now, MembershipEffects& effects);
  void EndProbe(Instant now, MembershipEffects& effects);
  void ExpirePendingPings(Instant now, MembershipEffects& effects);
  void ExpireSuspicions(Instant now, MembershipEffects& effects);
  void StartSync(Instant now, MembershipEffects& effects);
  void ContactNonMembers(Instant now, MembershipEffects& effects);
  void ContactFailedMember(Instant now, MembershipEffects& effects);
  void ContactSeeds(Instant now, MembershipEffects& effects);
  std::vector<std::string_view> MissingSeeds() const;

  void Handle(Instant now, std::string_view from, const PingMessage& ping,
              MembershipEffects& effects);
  void Handle(Instant now, std::string_view from, const AckMessage& ack,
              MembershipEffects& effects);
  void Handle(Instant now, std::string_view from,
              const PingRequestMessage& request, MembershipEffects& effects);
  void Handle(Instant now, std::string_view from, const NackMessage& nack,
              MembershipEffects& effects);
  void Handle(Instant now, std::string_view from,
              const SyncRequestMessage& request, MembershipEffects& effects);
  void Handle(Instant now, std::string_view from, const SyncReplyMessage& reply,
              MembershipEffects& effects);

  void ApplyUpdates(std::span<const MemberUpdate> updates, bool from_sync,
                    Instant now, std::vector<MemberEvent>& events);
  void ApplyAboutSelf(const MemberUpdate& update,
                      std::vector<MemberEvent>& events);
  void ApplyIdConflict(const MemberUpdate& update,
                       std::vector<MemberEvent>& events);
  void RaiseIncarnation(Incarnation incarnation);

  std::uint32_t SendPing(Instant now, const HostId& to,
                         std::string_view address, PingPurpose purpose,
                         std::vector<MemberUpdate> updates,
                         MembershipEffects& effects);
  void SendAck(Instant now, std::uint32_t sequence, std::string_view address,
               std::vector<MemberUpdate> updates, MembershipEffects& effects);
  // Appends queued updates to `updates` up to the size limit of a message.
  void FillUpdates(std::vector<MemberUpdate>& updates);
  // Returns the update with the state of a member that is suspect, failed or
  // left, so that it can refute it. Empty for an alive or unknown member.
  std::vector<MemberUpdate> NonAliveUpdatesAbout(const HostId& id) const;
  std::vector<MemberUpdate> DifferingUpdates(
      std::span<const std::uint32_t> digests);
  std::vector<std::uint32_t> Digests() const;
  std::size_t UpdateBudget() const;
  SuspicionLimits CurrentSuspicionLimits() const;
  Duration ScaledByLocalHealth(Duration duration) const;
  void AdjustLocalHealth(int change);
  MemberUpdate SelfUpdate() const;

  MembershipSettings settings_;
  Member self_;
  MemberTable table_;
  UpdateQueue update_queue_;
  ProbeRotation probe_rotation_;
  Random random_;
  LatestRevisionStamp latest_stamp_;

  std::uint32_t sequence_ = 0;
  std::map<std::uint32_t, PendingPing> pending_;
  std::optional<Probe> probe_;
  std::uint32_t local_health_ = 0;

  Instant next_probe_;
  Instant next_sync_;
  Instant next_contact_;
  Instant next_cleanup_;
  // The next_tick() at the end of the last Tick(). A much later call shows that
  // the process was paused.
  Instant scheduled_tick_;
  Instant last_received_at_;

  bool left_ = false;
  bool isolated_ = false;
  bool id_conflict_ = false;
  std::optional<std::uint32_t> conflicting_process_;
  int conflicting_claims_ = 0;

  std::uint64_t view_version_ = 1;
  mutable std::uint64_t cached_version_ = 0;
  mutable std::vector<Member> cached_view_;
};

}  // namespace sapphirebank
