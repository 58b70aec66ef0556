#pragma once

#include <atomic>
#include <memory>
#include <string_view>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Where a call to a control host comes from.
struct CallOrigin {
  // When this machine had received the whole call, as far as the system tells.
  Instant arrived_at;
  // When the caller can have begun to open the call's connection at the
  // earliest. The call may be as old: a network that holds up bytes leaves no
  // other trace.
  Instant connection_opened_at;
  // Whether the caller hung up (CallerWatch). Null counts as false.
  std::shared_ptr<const std::atomic<bool>> caller_hung_up;
};

// Returns whether the record itself tells a late copy of the change from a new
// one: it bears a version, or the start of the server that leaves. Other
// changes must not begin once their caller has turned to another host.
bool IsOrderedByVersion(const ControlCommand& change);

// Tells whether this process was suspended lately, so that calls may have
// waited outside it without a trace in the system's record of their arrival.
class SuspensionWatch {
 public:
  // A time without ticks of at least `limit` counts as a suspension. Calls that
  // waited are read shortly after it, so it is reported for `limit` longer.
  explicit SuspensionWatch(Duration limit) : limit_(limit) {}

  // Records that the process runs.
  void RecordTick(Instant now);

  // Returns whether the process was suspended less than the limit ago.
  bool WasSuspended(Instant now) const;

 private:
  Duration limit_;
  bool has_ticked_ = false;
  Instant last_tick_at_;
  bool has_resumed_ = false;
  Instant resumed_at_;
};

// Returns why an order from `origin` must not begin, or nothing if it may. An
// operator without an answer turns to another host after a second, and may give
// the opposite order there; an order that begins within `limit`, less than
// that, is older than any other. One that comes on an older connection may have
// been held up on its way: its caller has to give it on a new one.
std::string_view ReasonNotToBegin(Instant now, const CallOrigin& origin,
                                  Duration limit,
                                  const SuspensionWatch& suspension);

}  // namespace sapphirebank
