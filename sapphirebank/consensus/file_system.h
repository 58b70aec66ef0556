#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// The operations on one folder of files that the storage of the control state
// needs. Names are relative to the folder and contain no directory. Every
// failure is kStorageFailed and names the file.
//
// Nothing is durable before it is synced: content by SyncFile; the creation,
// renaming and removal of files by SyncFolder.
class FileSystem {
 public:
  FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;
  virtual ~FileSystem() = default;

  // Appends `data` to a file, which is created if absent. After a failure, any
  // part of `data` may have been appended.
  virtual Result<void> Append(std::string_view name, std::string_view data) = 0;

  // Returns the whole content of a file.
  virtual Result<std::string> Read(std::string_view name) = 0;

  virtual Result<void> SyncFile(std::string_view name) = 0;
  virtual Result<void> SyncFolder() = 0;

  // Renames `from` to `to`, replacing `to` if it exists.
  virtual Result<void> Rename(std::string_view from, std::string_view to) = 0;

  // Truncates a file to `size` bytes.
  virtual Result<void> Truncate(std::string_view name, std::uint64_t size) = 0;

  virtual Result<void> Remove(std::string_view name) = 0;

  // Returns the names of all files, sorted.
  virtual Result<std::vector<std::string>> List() = 0;
};

}  // namespace sapphirebank
