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
  void FailAfter(std::uint64_t count) { FailFor(count, kNever); }

  // Lets `count` more modifying operations succeed, the `failures` after them
  // fail, and later ones succeed again.
  void FailFor(std::uint64_t count, std::uint64_t failures) {
    operations_left_ = count;
    failures_left_ = failures;
  }

  // Lets operations succeed again.
  void EndFailure() {
    operations_left_ = kNever;
    failures_left_ = kNever;
  }

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

  // Returns the number of those that failed.
  std::uint64_t failed_operations() const { return failed_operations_; }

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
    // Content between the end of `synced` and this offset has been dropped from
    // the pages to be written, as Linux does when a sync fails: it can be read,
    // but later syncs do not write it.
    std::size_t dropped_until = 0;

    // Returns the content that the next sync makes durable.
    std::string WritableContent() const;
  };
  using Names = std::map<std::string, std::shared_ptr<File>, std::less<>>;

  Result<void> CountOperation();

  Names names_;
  Names synced_names_;
  std::uint64_t operations_left_ = kNever;
  std::uint64_t failures_left_ = kNever;
  std::uint64_t operations_ = 0;
  std::uint64_t failed_operations_ = 0;
  std::string unreadable_file_;
};

}  // namespace sapphirebank
