#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using Row = std::vector<std::string>;

/** A primary and one replica, each with a client. */
class StandinFenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinFenceTest);
  CPPUNIT_TEST(ReplicatesToAReplica);
  CPPUNIT_TEST(LagDelaysApplicationOnly);
  CPPUNIT_TEST(FencedPrimaryRefusesWrites);
  CPPUNIT_TEST(FenceRollsBackOpenTransactions);
  CPPUNIT_TEST(FencedReplicaLeavesThePrimary);
  CPPUNIT_TEST(RefusesAPrimaryOfALowerTerm);
  CPPUNIT_TEST(FenceIsAcceptedOnceOrAgain);
  CPPUNIT_TEST(PromotionNeedsItsFence);
  CPPUNIT_TEST(FollowerDropsItsDivergedTail);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->primary = StartPrimary("a");
    this->replica = StartReplica("b", *this->primary);
    this->at_primary = std::make_unique<PostgresClient>(this->primary->Port());
    this->at_replica = std::make_unique<PostgresClient>(this->replica->Port());
    this->at_primary->Run("CREATE TABLE gate (id BIGINT PRIMARY KEY)");
    CPPUNIT_ASSERT(this->ReplicaReaches("1", "1"));
  }

  void ReplicatesToAReplica() {
    this->at_primary->Run("INSERT INTO gate VALUES ($1)", {"4"});
    CPPUNIT_ASSERT(WaitUntil([this] {
      return this->at_replica->Value("SELECT id FROM gate") == "4";
    }));
    CPPUNIT_ASSERT(WaitUntil([this] {
      const Row row{"b", "f", "replica", "1", "1", "2", "1", "2"};
      const auto rows = this->Status(*this->at_primary).rows;
      return rows.size() == 2 && rows[1] == row;
    }));
    CPPUNIT_ASSERT_EQUAL(
        std::string("25006"),
        this->at_replica->Run("INSERT INTO gate VALUES (5)").sqlstate);
  }

  void LagDelaysApplicationOnly() {
    this->at_replica->Run("SELECT ferry_set_lag(600000)");
    this->at_primary->Run("INSERT INTO gate VALUES (4)");
    CPPUNIT_ASSERT(WaitUntil([this] {
      const Row row{"b", "f", "replica", "1", "1", "2", "1", "1"};
      const auto rows = this->Status(*this->at_primary).rows;
      return rows.size() == 2 && rows[1] == row;
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         this->at_replica->Value("SELECT count(*) FROM gate"));
  }

  void FencedPrimaryRefusesWrites() {
    const Row accepted{"t", "2", "1", "1"};
    CPPUNIT_ASSERT(
        this->at_primary->Run("select Ferry_Fence( $1 );", {"2"}).rows.at(0) ==
        accepted);
    CPPUNIT_ASSERT_EQUAL(
        std::string("25006"),
        this->at_primary->Run("INSERT INTO gate VALUES (1)").sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         this->at_primary->Value("SELECT count(*) FROM gate"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         this->Status(*this->at_primary).rows.size());
  }

  void FenceRollsBackOpenTransactions() {
    this->at_primary->Run("BEGIN");
    this->at_primary->Run("INSERT INTO gate VALUES (1)");
    PostgresClient waiting(this->primary->Port());
    PQsendQuery(waiting.Raw(), "INSERT INTO gate VALUES (2)");
    PostgresClient control(this->primary->Port());
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         control.Value("SELECT ferry_fence(2)"));
    CPPUNIT_ASSERT_EQUAL(std::string("25006"),
                         this->at_primary->Run("COMMIT").sqlstate);
    CPPUNIT_ASSERT_EQUAL('I', this->at_primary->TransactionStatus());
    CPPUNIT_ASSERT_EQUAL(
        std::string("25006"),
        PostgresClient::Read(PQgetResult(waiting.Raw())).sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         control.Value("SELECT count(*) FROM gate"));
  }

  void FencedReplicaLeavesThePrimary() {
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         this->at_replica->Value("SELECT ferry_fence(2)"));
    this->at_primary->Run("INSERT INTO gate VALUES (1)");
    CPPUNIT_ASSERT(WaitUntil(
        [this] { return this->Status(*this->at_primary).rows.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         this->at_replica->Value("SELECT count(*) FROM gate"));
    CPPUNIT_ASSERT(!this->Follow(*this->at_replica, 1, *this->primary));
  }

  void RefusesAPrimaryOfALowerTerm() {
    CPPUNIT_ASSERT(this->Follow(*this->at_replica, 5, *this->primary));
    this->at_primary->Run("INSERT INTO gate VALUES (1)");
    CPPUNIT_ASSERT(WaitUntil(
        [this] { return this->Status(*this->at_primary).rows.size() == 1; }));
    const Row row{"b", "t", "replica", "5", "1", "1", "1", "1"};
    CPPUNIT_ASSERT(this->Status(*this->at_replica).rows.at(0) == row);
  }

  void FenceIsAcceptedOnceOrAgain() {
    PostgresClient& member = *this->at_replica;
    CPPUNIT_ASSERT_EQUAL(std::string("f"),
                         member.Value("SELECT ferry_fence(1)"));
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         member.Value("SELECT ferry_fence(3)"));
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         member.Value("SELECT ferry_fence(3)"));
    CPPUNIT_ASSERT_EQUAL(std::string("f"),
                         member.Value("SELECT ferry_fence(2)"));
    member.Run("SELECT ferry_promote(3)");
    CPPUNIT_ASSERT_EQUAL(std::string("f"),
                         member.Value("SELECT ferry_fence(3)"));
  }

  void PromotionNeedsItsFence() {
    PostgresClient& member = *this->at_replica;
    CPPUNIT_ASSERT_EQUAL(std::string("f"),
                         member.Value("SELECT ferry_promote(1)"));
    member.Run("SELECT ferry_fence(2)");
    CPPUNIT_ASSERT_EQUAL(std::string("f"),
                         member.Value("SELECT ferry_promote(3)"));
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         member.Value("SELECT ferry_promote(2)"));
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"),
                         member.Run("INSERT INTO gate VALUES (1)").tag);
    const Row row{"b", "t", "primary", "2", "2", "2", "2", "2"};
    CPPUNIT_ASSERT(this->Status(member).rows.at(0) == row);
  }

  void FollowerDropsItsDivergedTail() {
    this->at_replica->Run("SELECT ferry_fence(2)");
    this->at_primary->Run("INSERT INTO gate VALUES (1)");
    this->at_primary->Run("INSERT INTO gate VALUES (2)");
    this->at_replica->Run("SELECT ferry_promote(2)");
    this->at_replica->Run("INSERT INTO gate VALUES (3)");
    CPPUNIT_ASSERT(this->Follow(*this->at_primary, 2, *this->replica));
    CPPUNIT_ASSERT(WaitUntil([this] {
      PostgresClient reader(this->primary->Port());
      return reader.Value("SELECT group_concat(id) FROM gate") == "3";
    }));
    const Row row{"a", "f", "replica", "2", "2", "2", "2", "2"};
    CPPUNIT_ASSERT(WaitUntil([this, row] {
      const auto rows = this->Status(*this->at_replica).rows;
      return rows.size() == 2 && rows[1] == row;
    }));
  }

 private:
  static ClientResult Status(PostgresClient& client) {
    return client.Run("SELECT * FROM ferry_status()");
  }

  static bool Follow(PostgresClient& client, int term,
                     const RunningStandin& target) {
    return client.Value("SELECT ferry_follow(" + std::to_string(term) +
                        ", '127.0.0.1', " +
                        std::to_string(target.Replication().port) + ")") == "t";
  }

  /** Whether the replica comes to have applied a position. */
  bool ReplicaReaches(const std::string& term, const std::string& offset) {
    return WaitUntil([&] {
      const Row row = this->Status(*this->at_replica).rows.at(0);
      return row.at(6) == term && row.at(7) == offset;
    });
  }

  std::unique_ptr<RunningStandin> primary;
  std::unique_ptr<RunningStandin> replica;
  std::unique_ptr<PostgresClient> at_primary;
  std::unique_ptr<PostgresClient> at_replica;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinFenceTest);

}  // namespace
}  // namespace lacewingferry::testing
