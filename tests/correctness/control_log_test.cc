#include "lacewingferry/decisions/consensus/control_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "bench/model/memory_disk.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/decisions/consensus/voter_identity.h"

namespace lacewingferry {
namespace {

using model::DiskCrash;
using model::MemoryDisk;

const VoterId kVoter("a");

ControlEntry Entry(std::uint64_t index, std::uint64_t term) {
  ControlEntry entry;
  entry.index = index;
  entry.term = term;
  entry.kind = EntryKind::kCommand;
  entry.payload = std::to_string(term) + "/" + std::to_string(index);
  return entry;
}

ControlEntry ConfigurationEntry(std::uint64_t index, std::uint64_t term) {
  ControlEntry entry = Entry(index, term);
  entry.kind = EntryKind::kConfiguration;
  entry.configuration.members = {
      {VoterId("v" + std::to_string(index)), NodeId("n"), ControlRole::kVoter}};
  return entry;
}

ControlLog Open(MemoryDisk& disk) {
  return ControlLog(disk.Port(), MakeLogCodec());
}

/** The log state that must survive a crash once it is synced. */
struct LogSummary {
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::uint64_t snapshot_index = 0;
  VoterId configuration;

  explicit LogSummary(const ControlLog& log)
      : term(log.Term()),
        last_index(log.LastIndex()),
        last_term(log.LastTerm()),
        snapshot_index(log.Snapshot().last_index) {
    const auto& members = log.Configuration().members;
    if (!members.empty()) this->configuration = members.front().voter;
  }

  friend bool operator==(const LogSummary& a, const LogSummary& b) {
    return a.term == b.term && a.last_index == b.last_index &&
           a.last_term == b.last_term && a.snapshot_index == b.snapshot_index &&
           a.configuration == b.configuration;
  }
};

/** Makes a random change to the log, of a kind that leaders or followers make.
 */
void ApplyRandomChange(ControlLog& log, std::uint64_t choice) {
  const std::uint64_t last = log.LastIndex();
  const std::uint64_t snapshot = log.Snapshot().last_index;
  switch (choice % 6) {
    case 0:
      log.SaveVote(log.Term() + 1, kVoter);
      break;
    case 1:
      if (last > snapshot) log.SaveSnapshot(last, "state", 2);
      break;
    case 2:
      if (last > snapshot) log.Append({Entry(last, log.Term() + 7)});
      break;
    case 3:
      log.InstallSnapshot(last + 3, log.Term(), log.Configuration(), "s");
      break;
    case 4:
      log.Append({ConfigurationEntry(last + 1, log.Term())});
      break;
    default:
      log.Append({Entry(last + 1, log.Term()), Entry(last + 2, log.Term())});
      break;
  }
}

class ControlLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlLogTest);
  CPPUNIT_TEST(ReopenedLogIsUnchanged);
  CPPUNIT_TEST(CrashInAnyWriteKeepsWhatWasSynced);
  CPPUNIT_TEST(OverwritingDropsConfiguration);
  CPPUNIT_TEST(FoundsOnlyAnEmptyDisk);
  CPPUNIT_TEST(IdentityIsStoredOnDisk);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReopenedLogIsUnchanged() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t>& choices) {
      MemoryDisk disk(1);
      ControlLog log = Open(disk);
      for (const std::uint8_t choice : choices) ApplyRandomChange(log, choice);
      RC_ASSERT(LogSummary(Open(disk)) == LogSummary(log));
    }));
  }

  void CrashInAnyWriteKeepsWhatWasSynced() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t>& choices,
                                std::uint8_t write, std::uint64_t seed) {
      MemoryDisk disk(seed);
      ControlLog log = Open(disk);
      for (const std::uint8_t choice : choices) ApplyRandomChange(log, choice);
      const LogSummary before(log);
      disk.CrashInWrite(1 + write % 4);
      bool crashed = false;
      try {
        ApplyRandomChange(log, seed);
      } catch (const DiskCrash&) {
        crashed = true;
      }
      disk.CancelCrash();
      const ControlLog again = Open(disk);
      if (!crashed) RC_ASSERT(LogSummary(again) == LogSummary(log));
      RC_ASSERT(again.Term() >= before.term);
      RC_ASSERT(again.LastIndex() >= before.last_index);
      RC_ASSERT(again.Snapshot().last_index >= before.snapshot_index);
    }));
  }

  void OverwritingDropsConfiguration() {
    MemoryDisk disk(1);
    ControlLog log = Open(disk);
    log.Append({ConfigurationEntry(1, 1), ConfigurationEntry(2, 1)});
    CPPUNIT_ASSERT(log.Configuration().IsVoter(VoterId("v2")));
    log.Append({Entry(2, 2)});
    CPPUNIT_ASSERT(log.Configuration().IsVoter(VoterId("v1")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), log.ConfigurationIndex());
    CPPUNIT_ASSERT(Open(disk).Configuration().IsVoter(VoterId("v1")));
  }

  void FoundsOnlyAnEmptyDisk() {
    MemoryDisk disk(1);
    const ControlConfiguration group{
        {{kVoter, NodeId("n"), ControlRole::kVoter}}};
    Open(disk).Found(group);
    CPPUNIT_ASSERT(Open(disk).Configuration().IsVoter(kVoter));
    CPPUNIT_ASSERT_THROW(Open(disk).Found(group), UserError);
  }

  void IdentityIsStoredOnDisk() {
    MemoryDisk disk(1);
    std::mt19937_64 random(5);
    const VoterId first =
        LoadOrCreateIdentity(disk.Port(), MakeLogCodec(), random);
    CPPUNIT_ASSERT(first ==
                   LoadOrCreateIdentity(disk.Port(), MakeLogCodec(), random));
    disk.Wipe();
    CPPUNIT_ASSERT(first !=
                   LoadOrCreateIdentity(disk.Port(), MakeLogCodec(), random));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlLogTest);

}  // namespace
}  // namespace lacewingferry
