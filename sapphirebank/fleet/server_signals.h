#pragma once

#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What backend servers told this entry host in their answers. It binds this
// host alone and at once, whatever its hub says and while it has none.
class ServerSignals {
 public:
  // Records that a server said that it leaves. Returns whether that is news.
  bool RecordLeaving(Instant now, const BackendId& server,
                     Incarnation incarnation);

  // Records that a server wants no requests for `pause`. A shorter pause does
  // not end a longer one.
  void RecordPause(Instant now, const BackendId& server,
                   Incarnation incarnation, Duration pause);

  // Returns whether the server may be sent a request.
  bool Permit(Instant now, const BackendId& server,
              Incarnation incarnation) const;

 private:
  struct Signals {
    Incarnation incarnation = 0;
    bool is_leaving = false;
    Instant paused_until;
    Instant recorded_at;
  };

  // Returns the signals of an incarnation, or null when a later one is known.
  Signals* SignalsOf(Instant now, const BackendId& server,
                     Incarnation incarnation);

  std::map<BackendId, Signals> signals_;
};

}  // namespace sapphirebank
