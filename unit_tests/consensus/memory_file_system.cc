#include "unit_tests/consensus/memory_file_system.h"

#include <algorithm>
#include <set>

namespace sapphirebank {
namespace {

constexpr std::size_t kSectorBytes = 64;

// Returns what a disk may hold of `content` after a crash when only `synced` is
// durable: each later sector is written, or still zero, or beyond an early end
// of the file.
std::string ContentAfterCrash(const std::string& content,
                              const std::string& synced, Random& random) {
  if (!content.starts_with(synced))
    return random.Chance(0.5) ? content : synced;
  std::string left = synced;
  std::string rest = content.substr(synced.size());
  rest.resize(random.Below(rest.size() + 1));
  for (std::size_t at = 0; at < rest.size(); at += kSectorBytes) {
    const std::size_t count = std::min(kSectorBytes, rest.size() - at);
    if (random.Chance(0.3)) rest.replace(at, count, count, '\0');
  }
  return left + rest;
}

}  // namespace

std::string MemoryFileSystem::File::WritableContent() const {
  std::string writable = content;
  for (std::size_t i = synced.size();
       i < std::min(dropped_until, content.size()); ++i) {
    writable[i] = '\0';
  }
  return writable;
}

void MemoryFileSystem::Crash(Random& random) {
  std::set<std::string> all;
  for (const auto& [name, file] : names_) all.insert(name);
  for (const auto& [name, file] : synced_names_) all.insert(name);
  Names survivors;
  for (const std::string& name : all) {
    const Names& from = random.Chance(0.5) ? names_ : synced_names_;
    const auto found = from.find(name);
    if (found != from.end()) survivors[name] = found->second;
  }
  std::set<File*> done;
  for (const auto& [name, file] : survivors) {
    if (!done.insert(file.get()).second) continue;
    file->content =
        ContentAfterCrash(file->WritableContent(), file->synced, random);
    file->synced = file->content;
    file->dropped_until = 0;
  }
  names_ = survivors;
  synced_names_ = survivors;
  EndFailure();
}

void MemoryFileSystem::Wipe() {
  names_.clear();
  synced_names_.clear();
  EndFailure();
}

Result<void> MemoryFileSystem::CountOperation() {
  if (operations_left_ == 0) {
    ++failed_operations_;
    if (failures_left_ != kNever && --failures_left_ == 0) EndFailure();
    return Fail(ErrorKind::kStorageFailed, "injected failure");
  }
  if (operations_left_ != kNever) --operations_left_;
  ++operations_;
  return {};
}

Result<void> MemoryFileSystem::Append(std::string_view name,
                                      std::string_view data) {
  auto& file = names_[std::string(name)];
  if (!file) file = std::make_shared<File>();
  if (auto counted = CountOperation(); !counted) {
    file->content += data.substr(0, data.size() / 2);
    return counted;
  }
  file->content += data;
  return {};
}

Result<std::string> MemoryFileSystem::Read(std::string_view name) {
  const auto found = names_.find(name);
  if (found == names_.end() || name == unreadable_file_) {
    return Fail(ErrorKind::kStorageFailed, "cannot read " + std::string(name));
  }
  return found->second->content;
}

Result<void> MemoryFileSystem::SyncFile(std::string_view name) {
  File& file = *names_.at(std::string(name));
  if (auto counted = CountOperation(); !counted) {
    file.dropped_until = file.content.size();
    return counted;
  }
  file.synced = file.WritableContent();
  file.dropped_until = 0;
  return {};
}

Result<void> MemoryFileSystem::SyncFolder() {
  if (auto counted = CountOperation(); !counted) return counted;
  synced_names_ = names_;
  return {};
}

Result<void> MemoryFileSystem::Rename(std::string_view from,
                                      std::string_view to) {
  if (auto counted = CountOperation(); !counted) return counted;
  names_[std::string(to)] = names_.at(std::string(from));
  names_.erase(std::string(from));
  return {};
}

Result<void> MemoryFileSystem::Truncate(std::string_view name,
                                        std::uint64_t size) {
  if (auto counted = CountOperation(); !counted) return counted;
  names_.at(std::string(name))->content.resize(size);
  return {};
}

Result<void> MemoryFileSystem::Remove(std::string_view name) {
  if (auto counted = CountOperation(); !counted) return counted;
  names_.erase(std::string(name));
  return {};
}

Result<std::vector<std::string>> MemoryFileSystem::List() {
  std::vector<std::string> names;
  for (const auto& [name, file] : names_) names.push_back(name);
  return names;
}

}  // namespace sapphirebank
