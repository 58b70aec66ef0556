#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Requests a vote. With `pre_vote` it only asks whether the vote would be
// granted.
struct VoteRequest {
  bool pre_vote = false;
  // The leader transfers its leadership to the sender, so contact with that
  // leader is no reason to refuse.
  bool transfer = false;
  LogPosition last;
};

struct VoteResponse {
  bool pre_vote = false;
  bool granted = false;
  // With a granted vote: the time since the sender heard a leader, was one, or
  // started. Earlier builds do not say it.
  std::optional<Duration> leader_silence = {};
};

// Sends the entries that follow `previous`. Without entries it is a heartbeat.
struct AppendRequest {
  LogPosition previous;
  std::vector<LogEntry> entries;
  LogIndex commit = 0;
  // Returned in the response, which thereby proves that the sender still led
  // when it started this round.
  std::uint64_t round = 0;
};

struct AppendResponse {
  bool accepted = false;
  // If accepted: the last index known to agree with the sender's log.
  LogIndex match = 0;
  // If refused: the first index of the conflicting term, or the index after the
  // end of the log with term 0.
  LogPosition conflict;
  std::uint64_t round = 0;
};

// Sends one part of an encoded Snapshot.
struct SnapshotRequest {
  LogPosition last;
  std::uint64_t offset = 0;
  std::string data;
  bool done = false;
  std::uint64_t round = 0;
};

struct SnapshotResponse {
  LogPosition last;
  std::uint64_t next_offset = 0;
  std::uint64_t round = 0;
};

// Asks the receiver to start an election at once.
struct TimeoutNow {};

// Announces a node that has no contact with a leader, or responds to such an
// announcement.
struct Hello {
  bool empty = false;  // The log of the node has never held an entry.
  bool answer = false;
  // Hosts that the receiver should be linked with: the group, when it announced
  // itself, or hosts that announced themselves to the sender, when it leads.
  // Earlier builds send none.
  std::vector<HostId> hosts = {};
};

using PeerMessageBody =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                 SnapshotRequest, SnapshotResponse, TimeoutNow, Hello>;

// A message between control hosts.
struct PeerMessage {
  NodeId from;
  // Empty in a Hello, which is sent before the node id of the receiver is
  // known.
  NodeId to;
  Term term = 0;
  PeerMessageBody body;
};

// A message with its destination host.
struct PeerEnvelope {
  HostId host;
  PeerMessage message;
};

// Encodes `message` as CBOR.
std::string EncodePeerMessage(const PeerMessage& message);

// Reads what EncodePeerMessage wrote. Fails with kMalformedRequest.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace sapphirebank
