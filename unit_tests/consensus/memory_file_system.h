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

// A folder in memory that can lose, tear and reorder whatever was not synced,
// and fail at a chosen operation.
class MemoryFileSystem : public FileSystem {
 public:
  static constexpr std::uint64_t kNever =
      std::numeric_limits<std::uint64_t>::max();

  // Lets `count` more changing operations succeed. The next one is done in
  // part, and then all fail.
  void FailAfter(std::uint64_t count) { operations_left_ = count; }

  // Returns whether an operation has failed as FailAfter asked.
  bool HasFailed() const { return operations_left_ == 0; }

  // Lets reading the file `name` fail.
  void FailReadsOf(std::string name) { unreadable_file_ = std::move(name); }

  // Keeps what was synced, and of the rest some part that `random` chooses.
  void Crash(Random& random);

  // Loses everything.
  void Wipe();

  // Returns how many changing operations succeeded.
  std::uint64_t operations() const { return operations_; }

  // Returns the content of a file, to be damaged by a test.
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
