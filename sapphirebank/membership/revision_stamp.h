#pragma once

#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// States that at one instant, at most `age` ago, no revision above `revision`
// was in force. Each host that passes a stamp on adds to `age` the time for
// which it held the stamp, by its own clock, and the receiver adds the whole
// round trip of the request. So clocks of two hosts are never compared and no
// delay is left out.
struct RevisionStamp {
  Revision revision = 0;
  Duration age = Duration::zero();

  friend bool operator==(const RevisionStamp&, const RevisionStamp&) = default;
};

// The most recently issued of the stamps that a host received.
class LatestRevisionStamp {
 public:
  // Stores the stamp if it was issued later than the stored one. `stamp.age`
  // must include the whole round trip of the request that it answers.
  void Observe(Instant now, const RevisionStamp& stamp) {
    const Instant issued = now - stamp.age;
    if (issued_ && issued <= *issued_) return;
    revision_ = stamp.revision;
    issued_ = issued;
  }

  // Returns the stamp with its age at `now`, or nothing before the first stamp.
  std::optional<RevisionStamp> At(Instant now) const {
    if (!issued_) return std::nullopt;
    return RevisionStamp{revision_, now - *issued_};
  }

  // Returns a lower bound, by this host's clock, on the instant that the stamp
  // refers to.
  std::optional<Instant> issued() const { return issued_; }

  // Returns the revision of the stamp, 0 before the first one.
  Revision revision() const { return revision_; }

 private:
  Revision revision_ = 0;
  std::optional<Instant> issued_;
};

}  // namespace sapphirebank
