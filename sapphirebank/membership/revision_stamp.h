#pragma once

#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Says that at one instant, at most `age` ago, no revision above `revision`
// was in force. Each holder adds the time for which it held the stamp, by its
// own clock, and the whole round trip in which it was handed over, so that
// clocks of two hosts are never compared and no delay is left out.
struct RevisionStamp {
  Revision revision = 0;
  Duration age = Duration::zero();

  friend bool operator==(const RevisionStamp&, const RevisionStamp&) = default;
};

// The youngest of the stamps that a host was told.
class LatestRevisionStamp {
 public:
  // Takes a stamp into account. `stamp.age` must include the whole round trip
  // of the question that it answers.
  void Observe(Instant now, const RevisionStamp& stamp) {
    const Instant issued = now - stamp.age;
    if (issued_ && issued <= *issued_) return;
    revision_ = stamp.revision;
    issued_ = issued;
  }

  // Returns the stamp as it may be passed on at `now`.
  std::optional<RevisionStamp> At(Instant now) const {
    if (!issued_) return std::nullopt;
    return RevisionStamp{revision_, now - *issued_};
  }

  // Returns an instant at or before the one that the stamp speaks of.
  std::optional<Instant> issued() const { return issued_; }

  // Returns the revision that the stamp names.
  Revision revision() const { return revision_; }

 private:
  Revision revision_ = 0;
  std::optional<Instant> issued_;
};

}  // namespace sapphirebank
