#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "sapphirebank/consensus/file_system.h"

namespace sapphirebank {

// A FileSystem on a folder of a POSIX file system. The folder is locked for
// this process during the lifetime of the object.
class PosixFileSystem : public FileSystem {
 public:
  // Opens `folder`, creating it if absent. Fails with kStorageFailed, also when
  // another process holds the lock.
  static Result<std::unique_ptr<PosixFileSystem>> Open(std::string folder);

  ~PosixFileSystem() override;

  Result<void> Append(std::string_view name, std::string_view data) override;
  Result<std::string> Read(std::string_view name) override;
  Result<void> SyncFile(std::string_view name) override;
  Result<void> SyncFolder() override;
  Result<void> Rename(std::string_view from, std::string_view to) override;
  Result<void> Truncate(std::string_view name, std::uint64_t size) override;
  Result<void> Remove(std::string_view name) override;
  Result<std::vector<std::string>> List() override;

 private:
  PosixFileSystem(std::string folder, int folder_fd);

  tl::unexpected<Error> ErrnoFailure(std::string_view operation,
                                     std::string_view name) const;
  // Returns a descriptor of the file, which is cached for appending and
  // syncing. The file is created if absent.
  Result<int> Descriptor(std::string_view name);
  void CloseDescriptor(std::string_view name);

  std::string folder_;
  int folder_fd_;
  std::map<std::string, int, std::less<>> descriptors_;
};

}  // namespace sapphirebank
