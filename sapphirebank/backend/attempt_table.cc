#include "sapphirebank/backend/attempt_table.h"

#include <utility>

#include "sapphirebank/backend/backend_server.h"

namespace sapphirebank {
namespace {

constexpr unsigned kGenerationShift = 32;

}  // namespace

AttemptId AttemptTable::Add(Attempt attempt) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(entries_.size()));
    entries_.emplace_back();
  }
  const std::uint32_t index = free_.back();
  free_.pop_back();
  Entry& entry = entries_[index];
  entry.attempt = std::move(attempt);
  entry.active = true;
  ++entry.generation;
  return (AttemptId{entry.generation} << kGenerationShift) | index;
}

const Attempt* AttemptTable::Find(AttemptId id) const {
  const auto index = static_cast<std::uint32_t>(id);
  if (index >= entries_.size()) return nullptr;
  const Entry& entry = entries_[index];
  return entry.active && entry.generation == id >> kGenerationShift
             ? &entry.attempt
             : nullptr;
}

std::optional<Attempt> AttemptTable::Take(AttemptId id) {
  if (!Find(id)) return std::nullopt;
  const auto index = static_cast<std::uint32_t>(id);
  Entry& entry = entries_[index];
  entry.active = false;
  free_.push_back(index);
  return std::move(entry.attempt);
}

}  // namespace sapphirebank
