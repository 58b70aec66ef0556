#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "sapphirebank/backend/backend_types.h"

namespace sapphirebank {

class BackendServer;

// One try of a request that has not ended.
struct Attempt {
  std::shared_ptr<BackendServer> server;
  std::uint64_t process_count = 0;  // Of the server when the try began.
  Fingerprint fingerprint = 0;
};

// Holds the running attempts. Places are used again, and an id names its
// place and the use of it, so that an ended attempt is never taken for
// another.
class AttemptTable {
 public:
  AttemptId Add(Attempt attempt);

  // Returns a running attempt, or null when it has ended.
  const Attempt* Find(AttemptId id) const;

  // Removes and returns an attempt, or nothing when it has ended.
  std::optional<Attempt> Take(AttemptId id);

  std::size_t size() const { return entries_.size() - free_.size(); }

 private:
  struct Entry {
    Attempt attempt;
    std::uint32_t generation = 0;
    bool active = false;
  };

  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_;
};

}  // namespace sapphirebank
