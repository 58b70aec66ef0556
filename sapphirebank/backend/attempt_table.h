#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "sapphirebank/backend/backend_types.h"

namespace sapphirebank {

class BackendServer;

// One attempt of a request that has not finished.
struct Attempt {
  std::shared_ptr<BackendServer> server;
  std::uint64_t process_count = 0;  // The server's, at the attempt's start.
  Fingerprint fingerprint = 0;
};

// Holds the running attempts. Entries are reused; an id combines the index of
// its entry with the entry's generation, so that the id of a finished attempt
// never matches a later one.
class AttemptTable {
 public:
  AttemptId Add(Attempt attempt);

  // Returns a running attempt, or null if it has finished.
  const Attempt* Find(AttemptId id) const;

  // Removes and returns an attempt, or returns nothing if it has finished.
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
