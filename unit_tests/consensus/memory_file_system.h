#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/core/random.h"

namespace sapphirebank {

// An in-memory FileSystem that can lose, tear and reorder data that was not
// synced, and fail at a chosen operation.
class MemoryFileSystem : public FileSystem {
 public:
  static constexpr std::uint64_t kNever =
      std::numeric_limits<std::uint64_t>::max();

  // Lets `count` more modifying operations succeed. The next one is carried out
  // in part and fails, as do all later ones.
  void FailAfter(std::uint64_t count) { operations_left_ = count; }

  // Returns whether the limit set by FailAfter is used up.
  bool HasFailed() const { return operations_left_ == 0; }

  // Makes reads of the file `name` fail.
  void FailReadsOf(std::string name) { unreadable_file_ = std::move(name); }

  // Simulates a crash: keeps what was synced, and a part of the rest that
  // `random` chooses.
  void Crash(Random& random);

  // Erases all files.
  void Wipe();

  // Returns the number of modifying operations that succeeded.
  std::uint64_t operations() const { return operations_; }

  // Returns the content of a file, for tests to corrupt.
  std::string& Content(const std::string& name) {
    return names_.at(name)->content;
  }

  Result<void> Append(std::string_view name, std::string_view data) override;
  Result<std::string> Read(std::string_view name) override;
  Result<void> SyncFile(std::string_view name) override;
  Result<void> SyncFolder() override;
  Result<void> Rename(std::string_view from, std::string_view to) override;
  Result<void> Truncate(std::string_view name, std::uint64_t size) override;
  Result<void> Remove(std::string_view name) override;
  Result<std::vector<std::string>> List() override;

 private:
  struct File {
    std::string content;
    std::string synced;
  };
  using Names = std::map<std::string, std::shared_ptr<File>, std::less<>>;

  Result<void> CountOperation();

  Names names_;
  Names synced_names_;
  std::uint64_t operations_left_ = kNever;
  std::uint64_t operations_ = 0;
  std::string unreadable_file_;
};

}  // namespace sapphirebank
