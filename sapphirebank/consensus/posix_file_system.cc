#include "sapphirebank/consensus/posix_file_system.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace sapphirebank {
namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
constexpr std::size_t kReadBytes = 1UL << 16;

std::string ErrnoMessage() {
  return std::error_code(errno, std::generic_category()).message();
}

}  // namespace

Result<std::unique_ptr<PosixFileSystem>> PosixFileSystem::Open(
    std::string folder) {
  if (mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return Fail(
        ErrorKind::kStorageFailed,
        fmt::format("cannot create folder {}: {}", folder, ErrnoMessage()));
  }
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return Fail(
        ErrorKind::kStorageFailed,
        fmt::format("cannot open folder {}: {}", folder, ErrnoMessage()));
  }
  if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
    const std::string cause = ErrnoMessage();
    close(fd);
    return Fail(ErrorKind::kStorageFailed,
                fmt::format("cannot lock folder {}, another process may use "
                            "it: {}",
                            folder, cause));
  }
  return std::unique_ptr<PosixFileSystem>(
      new PosixFileSystem(std::move(folder), fd));
}

PosixFileSystem::PosixFileSystem(std::string folder, int folder_fd)
    : folder_(std::move(folder)), folder_fd_(folder_fd) {}

PosixFileSystem::~PosixFileSystem() {
  for (const auto& [name, fd] : descriptors_) close(fd);
  close(folder_fd_);
}

Result<void> PosixFileSystem::Append(std::string_view name,
                                     std::string_view data) {
  const auto fd = Descriptor(name);
  if (!fd) return tl::unexpected(fd.error());
  while (!data.empty()) {
    const ssize_t written = write(*fd, data.data(), data.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return ErrnoFailure("append to", name);
    data.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

Result<std::string> PosixFileSystem::Read(std::string_view name) {
  const int fd =
      openat(folder_fd_, std::string(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return ErrnoFailure("open", name);
  std::string content;
  std::array<char, kReadBytes> buffer;
  while (true) {
    const ssize_t count = read(fd, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      auto failure = ErrnoFailure("read", name);
      close(fd);
      return failure;
    }
    if (count == 0) break;
    content.append(buffer.data(), static_cast<std::size_t>(count));
  }
  close(fd);
  return content;
}

Result<void> PosixFileSystem::SyncFile(std::string_view name) {
  const auto fd = Descriptor(name);
  if (!fd) return tl::unexpected(fd.error());
  if (fdatasync(*fd) != 0) return ErrnoFailure("sync", name);
  return {};
}

Result<void> PosixFileSystem::SyncFolder() {
  if (fsync(folder_fd_) != 0) return ErrnoFailure("sync", ".");
  return {};
}

Result<void> PosixFileSystem::Rename(std::string_view from,
                                     std::string_view to) {
  CloseDescriptor(from);
  CloseDescriptor(to);
  if (renameat(folder_fd_, std::string(from).c_str(), folder_fd_,
               std::string(to).c_str()) != 0) {
    return ErrnoFailure("rename", from);
  }
  return {};
}

Result<void> PosixFileSystem::Truncate(std::string_view name,
                                       std::uint64_t size) {
  const auto fd = Descriptor(name);
  if (!fd) return tl::unexpected(fd.error());
  if (ftruncate(*fd, static_cast<off_t>(size)) != 0) {
    return ErrnoFailure("truncate", name);
  }
  return {};
}

Result<void> PosixFileSystem::Remove(std::string_view name) {
  CloseDescriptor(name);
  if (unlinkat(folder_fd_, std::string(name).c_str(), 0) != 0) {
    return ErrnoFailure("remove", name);
  }
  return {};
}

Result<std::vector<std::string>> PosixFileSystem::List() {
  std::vector<std::string> names;
  std::error_code error;
  std::filesystem::directory_iterator entries(folder_, error);
  for (; !error && entries != std::filesystem::directory_iterator();
       entries.increment(error)) {
    names.push_back(entries->path().filename().string());
  }
  if (error) {
    return Fail(ErrorKind::kStorageFailed,
                fmt::format("cannot list {}: {}", folder_, error.message()));
  }
  std::sort(names.begin(), names.end());
  return names;
}

tl::unexpected<Error> PosixFileSystem::ErrnoFailure(
    std::string_view operation, std::string_view name) const {
  return Fail(ErrorKind::kStorageFailed,
              fmt::format("cannot {} {}/{}: {}", operation, folder_, name,
                          ErrnoMessage()));
}

Result<int> PosixFileSystem::Descriptor(std::string_view name) {
  const auto found = descriptors_.find(name);
  if (found != descriptors_.end()) return found->second;
  const int fd = openat(folder_fd_, std::string(name).c_str(),
                        O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (fd < 0) return ErrnoFailure("open", name);
  descriptors_.emplace(name, fd);
  return fd;
}

void PosixFileSystem::CloseDescriptor(std::string_view name) {
  const auto found = descriptors_.find(name);
  if (found == descriptors_.end()) return;
  close(found->second);
  descriptors_.erase(found);
}

}  // namespace sapphirebank
