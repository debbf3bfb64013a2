#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using Row = std::vector<std::string>;

class StandinRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinRestartTest);
  CPPUNIT_TEST(KeepsDataAndRole);
  CPPUNIT_TEST(KeepsAFence);
  CPPUNIT_TEST(LocksItsFolder);
  CPPUNIT_TEST(CutsATornTail);
  CPPUNIT_TEST(CutsADamagedLastRecord);
  CPPUNIT_TEST(KeepsATruncation);
  CPPUNIT_TEST(ReplicaGoesOnWhereItStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsDataAndRole() {
    this->StartA();
    this->WriteTwoEntries();
    this->StartA();
    const Row row{"a", "t", "primary", "1", "1", "2", "1", "2"};
    CPPUNIT_ASSERT(this->StatusRow() == row);
    CPPUNIT_ASSERT_EQUAL(std::string("red"),
                         this->client->Value("SELECT coat FROM gate"));
    this->client->Run("INSERT INTO gate VALUES ('blue')");
    CPPUNIT_ASSERT_EQUAL(std::string("3"), this->StatusRow().at(5));
  }

  void KeepsAFence() {
    this->StartA();
    this->client->Run("SELECT ferry_fence(5)");
    this->StartA();
    const Row row{"a", "t", "replica", "5", "0", "0", "0", "0"};
    CPPUNIT_ASSERT(this->StatusRow() == row);
    CPPUNIT_ASSERT_EQUAL(std::string("f"),
                         this->client->Value("SELECT ferry_fence(4)"));
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         this->client->Value("SELECT ferry_promote(5)"));
  }

  void LocksItsFolder() {
    this->StartA();
    standin::StandinSettings settings = MemberSettingsOf("b");
    settings.member.data_folder = this->folder.Path();
    CPPUNIT_ASSERT_THROW(RunningStandin{settings}, UserError);
    this->WriteTwoEntries();
  }

  void CutsATornTail() {
    this->StartA();
    this->WriteTwoEntries();
    this->StopA();
    std::ofstream(this->LogPath(), std::ios::app | std::ios::binary)
        << std::string("\x40\0\0\0torn", 8);
    this->StartA();
    this->ExpectTwoEntriesAndAThird();
  }

  void CutsADamagedLastRecord() {
    this->StartA();
    this->WriteTwoEntries();
    this->client->Run("INSERT INTO gate VALUES ('lost')");
    this->StopA();
    std::filesystem::resize_file(
        this->LogPath(), std::filesystem::file_size(this->LogPath()) - 1);
    this->StartA();
    this->ExpectTwoEntriesAndAThird();
  }

  void KeepsATruncation() {
    this->StartA();
    auto replica = StartReplica("b", *this->a);
    this->WriteTwoEntries();
    PostgresClient at_replica(replica->Port());
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return at_replica.Value("SELECT coat FROM gate") == "red"; }));
    at_replica.Run("SELECT ferry_fence(2)");
    this->client->Run("INSERT INTO gate VALUES ('lost')");
    at_replica.Run("SELECT ferry_promote(2)");
    this->client->Run("SELECT ferry_follow(2, '127.0.0.1', " +
                      std::to_string(replica->Replication().port) + ")");
    CPPUNIT_ASSERT(WaitUntil([&] {
      return at_replica.Run("SELECT * FROM ferry_status()").rows.size() == 2;
    }));
    this->StartA();
    const Row row{"a", "t", "replica", "2", "1", "2", "1", "2"};
    CPPUNIT_ASSERT(this->StatusRow() == row);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         this->client->Value("SELECT count(*) FROM gate"));
  }

  void ReplicaGoesOnWhereItStopped() {
    auto primary = StartPrimary("b");
    PostgresClient at_primary(primary->Port());
    this->StartFollower(*primary);
    at_primary.Run("CREATE TABLE gate (coat TEXT)");
    at_primary.Run("INSERT INTO gate VALUES ('red')");
    this->ExpectCount("1");
    this->StopA();
    at_primary.Run("INSERT INTO gate VALUES ('blue')");
    this->StartFollower(*primary);
    this->ExpectCount("2");
  }

 private:
  void StopA() {
    this->client.reset();
    this->a.reset();
  }

  void Start(const standin::StandinSettings& settings) {
    this->StopA();
    this->a = std::make_unique<RunningStandin>(settings);
    this->client = std::make_unique<PostgresClient>(this->a->Port());
  }

  void StartA() {
    standin::StandinSettings settings = MemberSettingsOf("a");
    settings.member.initial_primary = true;
    settings.member.data_folder = this->folder.Path();
    this->Start(settings);
  }

  void StartFollower(const RunningStandin& primary) {
    standin::StandinSettings settings = MemberSettingsOf("a");
    settings.member.follow = primary.Replication();
    settings.member.data_folder = this->folder.Path();
    this->Start(settings);
  }

  void WriteTwoEntries() {
    this->client->Run("CREATE TABLE gate (coat TEXT)");
    this->client->Run("INSERT INTO gate VALUES ($1)", {"red"});
  }

  void ExpectTwoEntriesAndAThird() {
    CPPUNIT_ASSERT_EQUAL(std::string("2"), this->StatusRow().at(5));
    CPPUNIT_ASSERT_EQUAL(std::string("red"),
                         this->client->Value("SELECT coat FROM gate"));
    this->client->Run("INSERT INTO gate VALUES ('blue')");
    this->StartA();
    CPPUNIT_ASSERT_EQUAL(std::string("3"), this->StatusRow().at(5));
  }

  void ExpectCount(const std::string& count) {
    CPPUNIT_ASSERT(WaitUntil([this, count] {
      return this->client->Value("SELECT count(*) FROM gate") == count;
    }));
  }

  Row StatusRow() {
    return this->client->Run("SELECT * FROM ferry_status()").rows.at(0);
  }

  std::string LogPath() const { return this->folder.Path() + "/log"; }

  TemporaryFolder folder;
  std::unique_ptr<RunningStandin> a;
  std::unique_ptr<PostgresClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinRestartTest);

}  // namespace
}  // namespace lacewingferry::testing
