#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/lease/lease_message.h"

namespace sapphirebank {

// A host that said that it holds a key, and under which term.
struct Owner {
  HostId host;
  Term term = 0;

  friend bool operator==(const Owner&, const Owner&) = default;
};

// What a host has heard about owners. It tells where to ask, never who may
// decide: that is for the lease alone.
class OwnerDirectory {
 public:
  // Owners that were not heard of for `time_to_live` are forgotten.
  explicit OwnerDirectory(Duration time_to_live)
      : time_to_live_(time_to_live) {}

  // Takes an announcement; a larger term wins over a smaller one.
  void Update(Instant now, const OwnerAnnouncement& announcement);

  // Takes a voter's or a peer's word that `owner` holds `key`.
  void Update(Instant now, std::string_view key, const Owner& owner);

  // Forgets the owner of `key` up to `term`.
  void Remove(std::string_view key, Term term);

  // Forgets all keys of a host that left.
  void RemoveHost(const HostId& host);

  // Returns the last known owner, if it is fresh.
  std::optional<Owner> OwnerOf(Instant now, std::string_view key) const;

  // Drops what is no longer fresh. Call it now and then.
  void RemoveExpired(Instant now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Owner owner;
    Instant updated_at;
  };

  Duration time_to_live_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace sapphirebank
