#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

class StandinSqlErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinSqlErrorTest);
  CPPUNIT_TEST(NamesEachErrorByItsCode);
  CPPUNIT_TEST(RefusesWrongFerryArguments);
  CPPUNIT_TEST(RefusesStatementsOutsideTheData);
  CPPUNIT_TEST(EndsTheWaitForTheLock);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    standin::StandinSettings settings = MemberSettingsOf("a");
    settings.member.initial_primary = true;
    settings.member.lock_timeout = std::chrono::milliseconds(30);
    this->member = std::make_unique<RunningStandin>(settings);
    this->client = std::make_unique<PostgresClient>(this->member->Port());
    this->client->Run(
        "CREATE TABLE gate (id BIGINT PRIMARY KEY, coat TEXT NOT NULL,"
        " length INT CHECK (length > 0))");
    this->client->Run("INSERT INTO gate VALUES (1, 'red', 1)");
  }

  void NamesEachErrorByItsCode() {
    this->Expect("23505", "INSERT INTO gate VALUES (1, 'red', 1)");
    this->Expect("23502", "INSERT INTO gate VALUES (2, NULL, 1)");
    this->Expect("23514", "INSERT INTO gate VALUES (2, 'red', 0)");
    this->Expect("42601", "INSERT gate");
    this->Expect("42P01", "SELECT * FROM fence");
    this->Expect("42703", "SELECT height FROM gate");
    this->Expect("42P07", "CREATE TABLE gate (id INT)");
    this->Expect("42883", "SELECT paint(1)");
    CPPUNIT_ASSERT_EQUAL(std::string("08P01"),
                         this->client->Run("SELECT $1, $2", {"1"}).sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string("42601"),
                         this->client->Run("SELECT 1; SELECT 2", {}).sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         this->client->Value("SELECT count(*) FROM gate"));
  }

  void RefusesWrongFerryArguments() {
    this->Expect("22P02", "SELECT ferry_fence('two')");
    this->Expect("22P02", "SELECT ferry_fence(99999999999999999999)");
    this->Expect("22P02", "SELECT ferry_follow(2, '127.0.0.1', 65536)");
    this->Expect("22P02", "SELECT ferry_follow(2, 'example.org', 1)");
    this->Expect("42601", "SELECT ferry_fence(-1)");
    this->Expect("42883", "SELECT ferry_fence()");
    this->Expect("42883", "SELECT ferry_paint(1)");
    CPPUNIT_ASSERT_EQUAL(
        std::string("22004"),
        this->client->Run("SELECT ferry_fence($1)", {nullptr}).sqlstate);
  }

  void RefusesStatementsOutsideTheData() {
    this->Expect("0A000", "PRAGMA user_version");
    this->Expect("0A000", "ATTACH 'x' AS y");
    this->Expect("0A000", "SAVEPOINT s");
    this->Expect("0A000", "SELECT random()");
    this->Expect("0A000", "SELECT datetime('now')");
  }

  void EndsTheWaitForTheLock() {
    PostgresClient other(this->member->Port());
    this->client->Run("BEGIN");
    this->client->Run("UPDATE gate SET coat = 'blue'");
    CPPUNIT_ASSERT_EQUAL(std::string("55P03"),
                         other.Run("UPDATE gate SET coat = 'green'").sqlstate);
    this->client->Run("COMMIT");
    CPPUNIT_ASSERT_EQUAL(std::string("UPDATE 1"),
                         other.Run("UPDATE gate SET coat = 'green'").tag);
  }

 private:
  void Expect(const std::string& sqlstate, const std::string& sql) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(sql, sqlstate,
                                 this->client->Run(sql).sqlstate);
  }

  std::unique_ptr<RunningStandin> member;
  std::unique_ptr<PostgresClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinSqlErrorTest);

}  // namespace
}  // namespace lacewingferry::testing
