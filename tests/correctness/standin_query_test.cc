#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

class StandinQueryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinQueryTest);
  CPPUNIT_TEST(AnswersSimpleQueries);
  CPPUNIT_TEST(BindsParametersByNumber);
  CPPUNIT_TEST(ReportsTagsAndStatus);
  CPPUNIT_TEST(RefusesStatementsInAFailedTransaction);
  CPPUNIT_TEST(HidesUncommittedWrites);
  CPPUNIT_TEST(QueuesTheSecondWriter);
  CPPUNIT_TEST(RollsBackALostSession);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->primary = StartPrimary("a");
    this->client = std::make_unique<PostgresClient>(this->primary->Port());
    this->client->Run("CREATE TABLE gate (id BIGINT PRIMARY KEY, coat TEXT)");
  }

  void AnswersSimpleQueries() {
    const ClientResult result = this->client->Run(
        "INSERT INTO gate VALUES (1, 'red'); SELECT id, coat, NULL FROM gate;");
    CPPUNIT_ASSERT_EQUAL(std::string("SELECT 1"), result.tag);
    const std::vector<std::string> row{"1", "red", "NULL"};
    CPPUNIT_ASSERT(result.rows.at(0) == row);
    CPPUNIT_ASSERT_EQUAL(PGRES_EMPTY_QUERY, this->client->Run(" ; ").status);
  }

  void BindsParametersByNumber() {
    const ClientResult inserted = this->client->Run(
        "INSERT INTO gate (coat, id) VALUES ($2, $1)", {"7", nullptr});
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), inserted.tag);
    const ClientResult read = this->client->Run(
        "SELECT id, coat FROM gate WHERE id = $1 AND $1 > 6", {"7"});
    const std::vector<std::string> row{"7", "NULL"};
    CPPUNIT_ASSERT(read.rows.at(0) == row);
  }

  void ReportsTagsAndStatus() {
    CPPUNIT_ASSERT_EQUAL(std::string("BEGIN"), this->client->Run("BEGIN").tag);
    CPPUNIT_ASSERT_EQUAL('T', this->client->TransactionStatus());
    this->client->Run("INSERT INTO gate VALUES (1, 'red'), (2, 'blue')");
    CPPUNIT_ASSERT_EQUAL(std::string("UPDATE 2"),
                         this->client->Run("UPDATE gate SET coat = 'x'").tag);
    CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"),
                         this->client->Run("COMMIT").tag);
    CPPUNIT_ASSERT_EQUAL('I', this->client->TransactionStatus());
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE 2"),
                         this->client->Run("DELETE FROM gate").tag);
  }

  void RefusesStatementsInAFailedTransaction() {
    this->client->Run("BEGIN");
    this->client->Run("INSERT INTO gate VALUES (1, 'red')");
    this->client->Run("SELECT * FROM fence");
    CPPUNIT_ASSERT_EQUAL('E', this->client->TransactionStatus());
    CPPUNIT_ASSERT_EQUAL(std::string("25P02"),
                         this->client->Run("SELECT 1").sqlstate);
    CPPUNIT_ASSERT_EQUAL(std::string("ROLLBACK"),
                         this->client->Run("COMMIT").tag);
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         this->client->Value("SELECT count(*) FROM gate"));
  }

  void HidesUncommittedWrites() {
    PostgresClient other(this->primary->Port());
    this->client->Run("BEGIN");
    this->client->Run("INSERT INTO gate VALUES (1, 'red')");
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         other.Value("SELECT count(*) FROM gate"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         this->client->Value("SELECT count(*) FROM gate"));
    this->client->Run("COMMIT");
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         other.Value("SELECT count(*) FROM gate"));
  }

  void QueuesTheSecondWriter() {
    PostgresClient other(this->primary->Port());
    this->client->Run("BEGIN");
    this->client->Run("INSERT INTO gate VALUES (1, 'red')");
    CPPUNIT_ASSERT_EQUAL(
        1, PQsendQuery(other.Raw(), "INSERT INTO gate VALUES (2, 'blue')"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         this->client->Value("SELECT count(*) FROM gate"));
    CPPUNIT_ASSERT_EQUAL(1, PQconsumeInput(other.Raw()));
    CPPUNIT_ASSERT_EQUAL(1, PQisBusy(other.Raw()));
    this->client->Run("COMMIT");
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"),
                         PostgresClient::Read(PQgetResult(other.Raw())).tag);
  }

  void RollsBackALostSession() {
    this->client->Run("BEGIN");
    this->client->Run("INSERT INTO gate VALUES (1, 'red')");
    this->client.reset();
    PostgresClient other(this->primary->Port());
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"),
                         other.Run("INSERT INTO gate VALUES (1, 'x')").tag);
  }

 private:
  std::unique_ptr<RunningStandin> primary;
  std::unique_ptr<PostgresClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinQueryTest);

}  // namespace
}  // namespace lacewingferry::testing
