#include "sapphirebank/consensus/file_system.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "sapphirebank/consensus/posix_file_system.h"
#include "unit_tests/consensus/memory_file_system.h"

namespace sapphirebank {
namespace {

// A temporary folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "consensus-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Checks the behavior required of every FileSystem.
void CheckFileSystemContract(FileSystem& files) {
  CHECK(files.List()->empty());
  CHECK(files.Read("a").error().kind == ErrorKind::kStorageFailed);
  REQUIRE(files.Append("a", "one"));
  REQUIRE(files.Append("a", "two"));
  REQUIRE(files.SyncFile("a"));
  REQUIRE(files.SyncFolder());
  CHECK(files.Read("a") == "onetwo");
  REQUIRE(files.Truncate("a", 4));
  REQUIRE(files.Append("a", "!"));
  CHECK(files.Read("a") == "onet!");
  REQUIRE(files.Append("b", "old"));
  REQUIRE(files.Rename("a", "b"));
  CHECK(files.Read("b") == "onet!");
  CHECK_FALSE(files.Read("a"));
  REQUIRE(files.Append("a", "new"));
  CHECK(files.Read("a") == "new");
  CHECK(files.List() == std::vector<std::string>{"a", "b"});
  REQUIRE(files.Remove("b"));
  CHECK(files.List() == std::vector<std::string>{"a"});
}

TEST_CASE("every file system implements the interface as documented",
          "[consensus]") {
  SECTION("in memory") {
    MemoryFileSystem files;
    CheckFileSystemContract(files);
  }
  SECTION("on a disk") {
    const TemporaryFolder folder;
    auto files = PosixFileSystem::Open(folder.path() + "/data");
    REQUIRE(files);
    CheckFileSystemContract(**files);
  }
}

TEST_CASE("a folder is locked by one user at a time", "[consensus]") {
  const TemporaryFolder folder;
  {
    const auto first = PosixFileSystem::Open(folder.path());
    REQUIRE(first);
    const auto second = PosixFileSystem::Open(folder.path());
    REQUIRE_FALSE(second);
    CHECK(second.error().kind == ErrorKind::kStorageFailed);
  }
  CHECK(PosixFileSystem::Open(folder.path()));
}

TEST_CASE("opening fails when the folder cannot be created", "[consensus]") {
  const TemporaryFolder folder;
  const auto files = PosixFileSystem::Open(folder.path() + "/none/data");
  REQUIRE_FALSE(files);
  CHECK(files.error().kind == ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace sapphirebank
