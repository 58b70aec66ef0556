#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/lease/lease_message.h"

namespace sapphirebank {

// The host that announced that it holds a key, and the term.
struct Owner {
  HostId host;
  Term term = 0;

  friend bool operator==(const Owner&, const Owner&) = default;
};

// The last known owners of keys. The entries are hints that tell where to send
// a request; only the lease determines who may decide.
class OwnerDirectory {
 public:
  // Entries expire when they are not updated for `time_to_live`.
  explicit OwnerDirectory(Duration time_to_live)
      : time_to_live_(time_to_live) {}

  // Applies an announcement. An entry with a larger term that has not expired
  // is kept.
  void Update(Instant now, const OwnerAnnouncement& announcement);

  // Applies a report of a voter or another host that `owner` holds `key`.
  void Update(Instant now, std::string_view key, const Owner& owner);

  // Removes the owner of `key` unless its term is larger than `term`.
  void Remove(std::string_view key, Term term);

  // Removes all entries of a host that left.
  void RemoveHost(const HostId& host);

  // Returns the last known owner, unless the entry has expired.
  std::optional<Owner> OwnerOf(Instant now, std::string_view key) const;

  // Removes expired entries. Call it periodically.
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
