#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "lacewingferry/adapters/disk/disk_storage.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/decisions/consensus/raft_node.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const VoterId kVoter("a");

/** Disk calls without sync: the test truncates the writes itself, so that
 * nothing depends on a real sync. */
DiskCalls CallsWithoutSync() {
  DiskCalls calls = MakeSystemDiskCalls();
  calls.fsync = calls.fdatasync = [](int) { return 0; };
  return calls;
}

/** A group of one voter that stores its log in a real folder. Its writes can be
 * made to fail after any number of bytes. */
class OneVoter {
 public:
  explicit OneVoter(std::string data_folder) : folder(std::move(data_folder)) {}

  void Found() {
    const ControlConfiguration group{
        {{kVoter, NodeId("control-1"), ControlRole::kVoter}}};
    ControlLog(MakeDiskStorage(this->folder, CallsWithoutSync()),
               MakeLogCodec())
        .Found(group);
  }

  /** Starts the voter; all writes together store `room` bytes, then fail. */
  void Start(std::size_t room) {
    this->node.reset();
    this->applied.clear();
    auto left = std::make_shared<std::size_t>(room);
    DiskCalls calls = CallsWithoutSync();
    calls.write = [left](int fd, const void* bytes, std::size_t size) {
      const std::size_t part = std::min(*left, size);
      *left -= part;
      if (part > 0) return ::write(fd, bytes, part);
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    };
    RaftParts parts;
    parts.self = kVoter;
    parts.settings.snapshot_entries = 4;
    parts.settings.retained_entries = 1;
    parts.storage = MakeDiskStorage(this->folder, calls);
    parts.codec = MakeLogCodec();
    parts.hooks.apply = [this](const ControlEntry& entry) {
      this->applied += entry.payload;
    };
    parts.hooks.take_snapshot = [this] { return this->applied; };
    parts.hooks.restore_snapshot = [this](const std::string& state) {
      this->applied = state;
    };
    parts.hooks.leadership_changed = [](const Leadership&) {};
    parts.hooks.failed = [this](const std::string& reason) {
      this->failure = reason;
    };
    this->node = std::make_unique<RaftNode>(std::move(parts), this->now);
    this->now += milliseconds(500);
    this->node->OnTick(this->now);
  }

  std::string folder;
  std::unique_ptr<RaftNode> node;
  std::string applied;
  std::string failure;
  steady_clock::time_point now{};
};

class ControlStorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlStorageTest);
  CPPUNIT_TEST(FullDiskAtEveryByteLosesNothingAcknowledged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullDiskAtEveryByteLosesNothingAcknowledged() {
    constexpr std::size_t kLastRoom = 1200;
    bool failed_once = false;
    bool passed_once = false;
    for (std::size_t room = 0; room < kLastRoom; ++room) {
      std::string pattern =
          (std::filesystem::temp_directory_path() / "ferry-XXXXXX").string();
      CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
      OneVoter voter(pattern);
      voter.Found();
      voter.Start(room);
      std::string acknowledged;
      for (char c = 'a'; c < 'i'; ++c) {
        if (!voter.node->Propose(voter.now, std::string(1, c))) break;
        acknowledged += c;
      }
      const bool stopped = voter.node->Stopped();
      CPPUNIT_ASSERT_EQUAL(stopped, !voter.failure.empty());
      failed_once = failed_once || stopped;
      passed_once = passed_once || !stopped;
      voter.Start(100'000);
      CPPUNIT_ASSERT(voter.node->CanServeReads(voter.now));
      // At most the command whose write failed may be stored in addition.
      CPPUNIT_ASSERT_EQUAL(acknowledged,
                           voter.applied.substr(0, acknowledged.size()));
      CPPUNIT_ASSERT(voter.applied.size() <= acknowledged.size() + 1);
      voter.node.reset();
      std::filesystem::remove_all(pattern);
    }
    CPPUNIT_ASSERT(failed_once && passed_once);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStorageTest);

}  // namespace
}  // namespace lacewingferry
