#include "lacewingferry/adapters/disk/disk_storage.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace lacewingferry {
namespace {

using Records = std::vector<std::string>;

/** A folder that goes with the object. */
class ScratchFolder {
 public:
  ScratchFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "ferry-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp");
    this->path = pattern;
  }
  ~ScratchFolder() { std::filesystem::remove_all(this->path); }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  std::string File(const std::string& name) const {
    return this->path + "/" + name;
  }

  std::string Content(const std::string& name) const {
    std::ifstream in(this->File(name), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  void SetContent(const std::string& name, const std::string& bytes) const {
    std::ofstream(this->File(name), std::ios::binary) << bytes;
  }

  std::string path;
};

/** Calls whose write stores only some bytes, then fails with an error. */
DiskCalls CallsThatTear(std::size_t stored, int error) {
  DiskCalls calls = MakeSystemDiskCalls();
  calls.write = [stored, error](int fd, const void* bytes, std::size_t size) {
    const std::size_t part = std::min(stored, size);
    if (part > 0) CPPUNIT_ASSERT(::write(fd, bytes, part) > 0);
    errno = error;
    return static_cast<ssize_t>(-1);
  };
  return calls;
}

/** Calls that count each fsync. */
DiskCalls CountSyncs(int& syncs) {
  DiskCalls calls = MakeSystemDiskCalls();
  calls.fsync = [&syncs](int fd) {
    ++syncs;
    return ::fsync(fd);
  };
  return calls;
}

class DiskStorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiskStorageTest);
  CPPUNIT_TEST(ReturnsWhatWasWritten);
  CPPUNIT_TEST(TornAppendAtEveryByteKeepsWhatWasSynced);
  CPPUNIT_TEST(TornReplaceAtEveryByteKeepsTheOldContent);
  CPPUNIT_TEST(ZeroFilledTailIsCut);
  CPPUNIT_TEST(DamageBeforeTheTailIsRefused);
  CPPUNIT_TEST(DamageOfReplacedFileIsRefused);
  CPPUNIT_TEST(NothingIsWrittenAfterFailedSync);
  CPPUNIT_TEST(NothingIsWrittenAfterFullDisk);
  CPPUNIT_TEST(SyncsTheFolderForNewNames);
  CPPUNIT_TEST(SyncsWhatAKilledProcessLeft);
  CPPUNIT_TEST(SecondProcessIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsWhatWasWritten() {
    const ScratchFolder folder;
    {
      const StoragePort port = MakeDiskStorage(folder.path);
      CPPUNIT_ASSERT(port.read("log").empty());
      port.append("log", {"one", ""});
      port.append("log", {"three"});
      port.replace("vote", {"old"});
      port.replace("vote", {"new"});
      port.append("vote", {"more"});
      port.replace("gone", {"x"});
      port.remove("gone");
      port.remove("never");
    }
    const StoragePort port = MakeDiskStorage(folder.path);
    CPPUNIT_ASSERT((port.read("log") == Records{"one", "", "three"}));
    CPPUNIT_ASSERT((port.read("vote") == Records{"new", "more"}));
    CPPUNIT_ASSERT(port.read("gone").empty());
  }

  void TornAppendAtEveryByteKeepsWhatWasSynced() {
    for (std::size_t stored = 0; stored < 60; ++stored) {
      const ScratchFolder folder;
      MakeDiskStorage(folder.path).append("log", {"first"});
      const std::size_t before = folder.Content("log.appended").size();
      {
        const StoragePort port =
            MakeDiskStorage(folder.path, CallsThatTear(stored, EIO));
        CPPUNIT_ASSERT_THROW(port.append("log", {"second", "third"}),
                             StorageError);
      }
      const StoragePort port = MakeDiskStorage(folder.path);
      const Records after = port.read("log");
      const bool whole = stored >= 51;
      CPPUNIT_ASSERT((after == Records{"first"}) != whole);
      port.append("log", {"last"});
      CPPUNIT_ASSERT_EQUAL(whole ? std::size_t(4) : std::size_t(2),
                           MakeAgain(folder, port).size());
      CPPUNIT_ASSERT(folder.Content("log.appended").size() > before);
    }
  }

  void TornReplaceAtEveryByteKeepsTheOldContent() {
    for (std::size_t stored = 0; stored < 50; ++stored) {
      const ScratchFolder folder;
      MakeDiskStorage(folder.path).replace("vote", {"old"});
      {
        const StoragePort port =
            MakeDiskStorage(folder.path, CallsThatTear(stored, ENOSPC));
        CPPUNIT_ASSERT_THROW(port.replace("vote", {"new"}), StorageError);
      }
      CPPUNIT_ASSERT(
          (MakeDiskStorage(folder.path).read("vote") == Records{"old"}));
    }
  }

  void ZeroFilledTailIsCut() {
    const ScratchFolder folder;
    MakeDiskStorage(folder.path).append("log", {"first"});
    const std::string whole = folder.Content("log.appended");
    folder.SetContent("log.appended", whole + std::string(5000, '\0'));
    CPPUNIT_ASSERT(
        (MakeDiskStorage(folder.path).read("log") == Records{"first"}));
    CPPUNIT_ASSERT(folder.Content("log.appended") == whole);
  }

  void DamageBeforeTheTailIsRefused() {
    const ScratchFolder folder;
    {
      const StoragePort port = MakeDiskStorage(folder.path);
      port.append("log", {"first"});
      port.append("log", {"second"});
      port.append("log", {"third"});
    }
    const std::string whole = folder.Content("log.appended");
    const std::size_t last = whole.size() - whole.size() / 3;
    for (std::size_t at = 0; at < last; ++at) {
      std::string damaged = whole;
      damaged[at] = static_cast<char>(damaged[at] ^ 4);
      folder.SetContent("log.appended", damaged);
      try {
        MakeDiskStorage(folder.path).read("log");
        CPPUNIT_FAIL("damage at " + std::to_string(at) + " was accepted");
      } catch (const StorageError& error) {
        const std::string message = error.what();
        CPPUNIT_ASSERT(message.find("log.appended") != std::string::npos);
        CPPUNIT_ASSERT(message.find("offset") != std::string::npos);
      }
    }
  }

  void DamageOfReplacedFileIsRefused() {
    const ScratchFolder folder;
    MakeDiskStorage(folder.path).replace("vote", {"term 5"});
    const std::string whole = folder.Content("vote");
    for (std::size_t at = 0; at < whole.size(); ++at) {
      std::string damaged = whole;
      damaged[at] = static_cast<char>(damaged[at] ^ 1);
      folder.SetContent("vote", damaged);
      CPPUNIT_ASSERT_THROW(MakeDiskStorage(folder.path).read("vote"),
                           StorageError);
    }
  }

  void NothingIsWrittenAfterFailedSync() {
    const ScratchFolder folder;
    DiskCalls calls = MakeSystemDiskCalls();
    bool fail = false;
    calls.fdatasync = [&fail](int fd) {
      if (!fail) return ::fdatasync(fd);
      errno = EIO;
      return -1;
    };
    const StoragePort port = MakeDiskStorage(folder.path, calls);
    port.append("log", {"first"});
    fail = true;
    CPPUNIT_ASSERT_THROW(port.append("log", {"second"}), StorageError);
    fail = false;
    const std::string after = folder.Content("log.appended");
    CPPUNIT_ASSERT_THROW(port.append("log", {"third"}), StorageError);
    CPPUNIT_ASSERT_THROW(port.replace("vote", {"x"}), StorageError);
    CPPUNIT_ASSERT(folder.Content("log.appended") == after);
  }

  void NothingIsWrittenAfterFullDisk() {
    const ScratchFolder folder;
    DiskCalls calls = MakeSystemDiskCalls();
    std::size_t room = 100;
    calls.write = [&room](int fd, const void* bytes, std::size_t size) {
      const std::size_t part = std::min(room, size);
      room -= part;
      if (part > 0) return ::write(fd, bytes, part);
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    };
    const StoragePort port = MakeDiskStorage(folder.path, calls);
    port.append("log", {"first"});
    CPPUNIT_ASSERT_THROW(port.append("log", {std::string(200, 'x')}),
                         StorageError);
    room = 1000;
    CPPUNIT_ASSERT_THROW(port.append("log", {"third"}), StorageError);
    CPPUNIT_ASSERT((MakeAgain(folder, port) == Records{"first"}));
  }

  void SyncsTheFolderForNewNames() {
    const ScratchFolder folder;
    int syncs = 0;
    const StoragePort port = MakeDiskStorage(folder.path, CountSyncs(syncs));
    CPPUNIT_ASSERT_EQUAL(1, syncs);
    port.append("log", {"first"});
    CPPUNIT_ASSERT_EQUAL(2, syncs);
    port.append("log", {"second"});
    CPPUNIT_ASSERT_EQUAL(2, syncs);
    port.replace("vote", {"x"});
    CPPUNIT_ASSERT_EQUAL(4, syncs);
  }

  void SyncsWhatAKilledProcessLeft() {
    const ScratchFolder folder;
    MakeDiskStorage(folder.path).append("log", {"first"});
    int syncs = 0;
    const StoragePort port = MakeDiskStorage(folder.path, CountSyncs(syncs));
    syncs = 0;
    port.read("log");
    CPPUNIT_ASSERT_EQUAL(1, syncs);
  }

  void SecondProcessIsRefused() {
    const ScratchFolder folder;
    {
      const StoragePort port = MakeDiskStorage(folder.path);
      CPPUNIT_ASSERT_THROW(MakeDiskStorage(folder.path), StorageError);
    }
    MakeDiskStorage(folder.path);
  }

 private:
  /** Reads the log as a new process would, while another port is open. */
  static Records MakeAgain(const ScratchFolder& folder,
                           const StoragePort& /*open*/) {
    const ScratchFolder copy;
    std::filesystem::copy(folder.path, copy.path,
                          std::filesystem::copy_options::recursive);
    return MakeDiskStorage(copy.path).read("log");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskStorageTest);

}  // namespace
}  // namespace lacewingferry
