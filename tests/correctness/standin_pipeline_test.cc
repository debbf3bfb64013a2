#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

/** More than fit into the buffers of a connection. */
constexpr int kStatements = 5000;

class StandinPipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinPipelineTest);
  CPPUNIT_TEST(AnswersInOrder);
  CPPUNIT_TEST(SkipsToTheSyncAfterAnError);
  CPPUNIT_TEST(RollsBackABatchWithoutBegin);
  CPPUNIT_TEST(ShowsTheCommittedPosition);
  CPPUNIT_TEST(TakesALongPipeline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->primary = StartPrimary("a");
    this->client = std::make_unique<PostgresClient>(this->primary->Port());
    this->client->Run("CREATE TABLE gate (id BIGINT PRIMARY KEY)");
    CPPUNIT_ASSERT_EQUAL(1, PQenterPipelineMode(this->client->Raw()));
  }

  void AnswersInOrder() {
    this->Send("BEGIN");
    this->Send("INSERT INTO gate VALUES ($1)", "5");
    this->Send("SELECT id FROM gate WHERE id = $1", "5");
    this->Send("COMMIT");
    PQpipelineSync(this->client->Raw());
    CPPUNIT_ASSERT_EQUAL(std::string("BEGIN"), this->Next().tag);
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), this->Next().tag);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), this->Next().rows.at(0).at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), this->Next().tag);
    CPPUNIT_ASSERT_EQUAL(PGRES_PIPELINE_SYNC, this->Sync());
    CPPUNIT_ASSERT_EQUAL('I', this->client->TransactionStatus());
  }

  void SkipsToTheSyncAfterAnError() {
    this->Send("SELEC");
    this->Send("SELECT 1");
    PQpipelineSync(this->client->Raw());
    this->Send("SELECT 2");
    PQpipelineSync(this->client->Raw());
    CPPUNIT_ASSERT_EQUAL(std::string("42601"), this->Next().sqlstate);
    CPPUNIT_ASSERT_EQUAL(PGRES_PIPELINE_ABORTED, this->Next().status);
    CPPUNIT_ASSERT_EQUAL(PGRES_PIPELINE_SYNC, this->Sync());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), this->Next().rows.at(0).at(0));
    CPPUNIT_ASSERT_EQUAL(PGRES_PIPELINE_SYNC, this->Sync());
  }

  void RollsBackABatchWithoutBegin() {
    this->Send("INSERT INTO gate VALUES (1)");
    this->Send("INSERT INTO gate VALUES (1)");
    PQpipelineSync(this->client->Raw());
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), this->Next().tag);
    CPPUNIT_ASSERT_EQUAL(std::string("23505"), this->Next().sqlstate);
    CPPUNIT_ASSERT_EQUAL(PGRES_PIPELINE_SYNC, this->Sync());
    PostgresClient other(this->primary->Port());
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         other.Value("SELECT count(*) FROM gate"));
  }

  void ShowsTheCommittedPosition() {
    this->Send("BEGIN");
    this->Send("INSERT INTO gate VALUES (1)");
    this->Send("COMMIT");
    this->Send("SELECT * FROM ferry_status()");
    PQpipelineSync(this->client->Raw());
    for (int i = 0; i < 3; ++i) this->Next();
    const ClientResult status = this->Next();
    const std::vector<std::string> row{"a", "t", "primary", "1",
                                       "1", "2", "1",       "2"};
    CPPUNIT_ASSERT(status.rows.at(0) == row);
  }

  void TakesALongPipeline() {
    PQsetnonblocking(this->client->Raw(), 1);
    for (int i = 0; i < kStatements; ++i) {
      this->Send("SELECT $1", std::to_string(i).c_str());
    }
    PQpipelineSync(this->client->Raw());
    PQsetnonblocking(this->client->Raw(), 0);
    for (int i = 0; i < kStatements; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), this->Next().rows.at(0).at(0));
    }
    CPPUNIT_ASSERT_EQUAL(PGRES_PIPELINE_SYNC, this->Sync());
  }

 private:
  void Send(const char* sql, const char* parameter = nullptr) {
    CPPUNIT_ASSERT_EQUAL(
        1, PQsendQueryParams(this->client->Raw(), sql, parameter ? 1 : 0,
                             nullptr, &parameter, nullptr, nullptr, 0));
  }

  /** Reads one statement's answer and the null that ends it. */
  ClientResult Next() {
    ClientResult result =
        PostgresClient::Read(PQgetResult(this->client->Raw()));
    CPPUNIT_ASSERT(PQgetResult(this->client->Raw()) == nullptr);
    return result;
  }

  ExecStatusType Sync() {
    return PostgresClient::Read(PQgetResult(this->client->Raw())).status;
  }

  std::unique_ptr<RunningStandin> primary;
  std::unique_ptr<PostgresClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinPipelineTest);

}  // namespace
}  // namespace lacewingferry::testing
