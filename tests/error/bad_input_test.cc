#include <cppunit/extensions/HelperMacros.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "bench/processes/file_text.h"
#include "bench/processes/http_client.h"
#include "bench/processes/poll_until.h"
#include "bench/processes/workload_tables.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using processes::HttpClient;

constexpr std::chrono::milliseconds kTimeout{10000};
constexpr std::size_t kOversized = 3U << 20U;
constexpr int kRandomMessages = 200;
constexpr std::size_t kLongestRandomMessage = 300;
/** The number of the event peer_message_rejected. */
const char kRejectedEvent[] = "4001";

/** Pushes bytes to a peer port, as a stranger would. */
class StrangePeer {
 public:
  explicit StrangePeer(const std::string& url) {
    CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&this->socket));
    CPPUNIT_ASSERT_EQUAL(0, nng_dial(this->socket, url.c_str(), nullptr, 0));
  }
  ~StrangePeer() { nng_close(this->socket); }
  StrangePeer(const StrangePeer&) = delete;
  StrangePeer& operator=(const StrangePeer&) = delete;

  void Push(std::string bytes) {
    CPPUNIT_ASSERT_EQUAL(0,
                         nng_send(this->socket, bytes.data(), bytes.size(), 0));
  }

 private:
  nng_socket socket{};
};

class BadInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BadInputTest);
  CPPUNIT_TEST(BadRequestsGetTypedErrors);
  CPPUNIT_TEST(TransactionEndsOnce);
  CPPUNIT_TEST(SenselessAnnouncementsAreRejected);
  CPPUNIT_TEST(StrangePeerMessagesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BadRequestsGetTypedErrors() {
    ProcessCluster cluster("kraanwater");
    const std::string insert = processes::InsertSql(processes::kNotesTable);
    const json good{{"database", cluster.Database().Value()},
                    {"kind", "write"},
                    {"sql", insert},
                    {"parameters", {"bad-input", "caller"}}};
    this->ExpectMalformedHttpRefused(cluster);
    this->Expect(cluster, std::string(kOversized, 'x'), 413, "invalid_request");
    this->Expect(cluster, "{\"database\":", 400, "invalid_request");
    this->Expect(cluster, "[1,2]", 400, "invalid_request");
    this->Expect(cluster, "", 400, "invalid_request");
    this->ExpectChanged(cluster, good, {{"database", "no-such-db"}}, 404,
                        "unknown_database");
    this->ExpectChanged(cluster, good, {{"database", 7}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"kind", "erase"}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"parameters", "text"}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"parameters", {{{"a", 1}}, "b"}}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"timeout", "soon"}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"timeout", "1min"}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"max_age", "2s"}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"surprise", true}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"sql", "COMMIT"}}, 400,
                        "invalid_request");
    this->ExpectChanged(cluster, good, {{"token", "forged"}}, 400,
                        "invalid_token");
    this->ExpectChanged(cluster, good, {{"token", this->Forged(cluster)}}, 400,
                        "invalid_token");
    this->ExpectChanged(cluster, good, {{"transaction", "no-such"}}, 404,
                        "unknown_transaction");
    this->ExpectNothingRan(cluster, "bad-input");
    this->ExpectAlive(cluster);
  }

  void TransactionEndsOnce() {
    ProcessCluster cluster("kraanwater");
    const auto begun =
        cluster.Send(0, cluster.Request(RequestKind::kBegin, ""));
    const auto* answer = std::get_if<Answered>(&begun.outcome);
    cluster.Assert("begin", answer != nullptr);
    StatementRequest commit = cluster.Request(RequestKind::kCommit, "");
    commit.transaction = answer->transaction;
    cluster.Assert("commit", std::holds_alternative<Answered>(
                                 cluster.Send(0, commit).outcome));
    for (const RequestKind kind :
         {RequestKind::kCommit, RequestKind::kRollback, RequestKind::kWrite}) {
      StatementRequest again = cluster.Request(kind, "");
      if (kind == RequestKind::kWrite) {
        again.statement = {processes::InsertSql(processes::kNotesTable),
                           {"after-the-end", "caller"}};
      }
      again.transaction = answer->transaction;
      const auto reply = cluster.Send(0, again);
      const auto* refusal = std::get_if<NotRun>(&reply.outcome);
      // A second commit may also be told that its fate is unknown.
      cluster.Assert("no second end",
                     !std::holds_alternative<Answered>(reply.outcome));
      cluster.Assert("a typed refusal",
                     kind == RequestKind::kCommit ||
                         (refusal != nullptr &&
                          refusal->code == RefusalCode::kUnknownTransaction));
    }
    this->ExpectNothingRan(cluster, "after-the-end");
    this->ExpectAlive(cluster);
  }

  void SenselessAnnouncementsAreRejected() {
    ProcessCluster cluster("kraanwater");
    const MemberId primary =
        cluster.Local().PrimaryOf(cluster.Database(), kProcessDeadline);
    const json good{
        {"member", "stranger"}, {"database", cluster.Database().Value()},
        {"group", "permit-db"}, {"zone", "nh-a"},
        {"host", "127.0.0.1"},  {"port", 9},
        {"slots", 5},           {"term", 1},
        {"sequence", 1},        {"incarnation", 1}};
    const std::vector<json> changes = {
        {{"port", 0}},
        {{"port", 70000}},
        {{"slots", 0}},
        {{"member", ""}},
        {{"member", "a b;c"}},
        {{"zone", 5}},
        {{"position", {{"term", 9}, {"offset", 1}}}},
        {{"term", -1}},
        {{"surprise", 1}}};
    for (const json& change : changes) {
      json announced = good;
      announced.update(change);
      const HttpResponse response =
          this->Post(cluster, "/v1/announcements", announced.dump());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(announced.dump() + " " + response.body, 400,
                                   response.status);
      CPPUNIT_ASSERT(!json::parse(response.body).at("detail").empty());
    }
    CPPUNIT_ASSERT(primary == cluster.Local().PrimaryOf(cluster.Database(),
                                                        kProcessDeadline));
    this->ExpectAlive(cluster);
  }

  void StrangePeerMessagesAreRejected() {
    ProcessCluster cluster("kraanwater");
    const auto& proxy = cluster.Plan().proxies.front();
    StrangePeer stranger(proxy.peer_url);
    MembershipUpdate update;
    update.sender = ProxyInfo{NodeId("stranger"), proxy.zone, "tcp://x", false};
    const std::string whole = EncodePeerMessage(
        PeerMessage{NodeId("stranger"), "tcp://127.0.0.1:9", update});
    for (std::size_t size = 0; size < whole.size(); ++size) {
      stranger.Push(whole.substr(0, size));
    }
    std::mt19937 random(20261204);
    for (int i = 0; i < kRandomMessages; ++i) {
      std::string bytes(random() % kLongestRandomMessage, '\0');
      std::generate(bytes.begin(), bytes.end(),
                    [&random] { return static_cast<char>(random()); });
      stranger.Push(bytes);
    }
    const std::string log = cluster.Local().Files().LogOf(proxy.id.Value());
    cluster.Assert("rejections in the log",
                   processes::PollUntil(kProcessDeadline, [&log] {
                     return processes::FileText(log).find(kRejectedEvent) !=
                            std::string::npos;
                   }));
    this->ExpectAlive(cluster);
  }

 private:
  HttpResponse Post(ProcessCluster& cluster, const std::string& path,
                    const std::string& body) {
    return HttpClient(cluster.Plan().proxies.front().listen)
        .Post(path, body, kTimeout);
  }

  /** Expects a refusal that says why nothing ran. */
  void Expect(ProcessCluster& cluster, const std::string& body, int status,
              const std::string& reason) {
    const std::string shown = body.substr(0, 200);
    const HttpResponse response = this->Post(cluster, "/v1/statements", body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown + " " + response.body, status,
                                 response.status);
    const json answer = json::parse(response.body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("not_run"),
                                 answer.at("outcome").get<std::string>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, reason,
                                 answer.at("reason").get<std::string>());
    CPPUNIT_ASSERT(!answer.at("detail").get<std::string>().empty());
  }

  void ExpectChanged(ProcessCluster& cluster, json request, const json& change,
                     int status, const std::string& reason) {
    request.update(change);
    this->Expect(cluster, request.dump(), status, reason);
  }

  void ExpectMalformedHttpRefused(ProcessCluster& cluster) {
    const Endpoint& proxy = cluster.Plan().proxies.front().listen;
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(
        tcp::endpoint(boost::asio::ip::make_address(proxy.host), proxy.port));
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GARBAGE\r\n\r\n")));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), answer.substr(0, 12));
    CPPUNIT_ASSERT(answer.find("not_run") != std::string::npos);
  }

  /** A genuine token with one character changed. */
  std::string Forged(ProcessCluster& cluster) {
    std::string token =
        cluster.Send(0, cluster.Request(RequestKind::kRead, "SELECT 1")).token;
    cluster.Assert("a token", !token.empty());
    char& middle = token[token.size() / 2];
    middle = middle == 'A' ? 'B' : 'A';
    return token;
  }

  void ExpectNothingRan(ProcessCluster& cluster, const std::string& tag) {
    const auto reply = cluster.Send(
        0, cluster.Request(RequestKind::kRead,
                           processes::CountSql(processes::kNotesTable), {tag}));
    const auto* answer = std::get_if<Answered>(&reply.outcome);
    cluster.Assert("count", answer != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         answer->result.rows.at(0).at(0).value());
  }

  void ExpectAlive(ProcessCluster& cluster) {
    for (const auto& proxy : cluster.Plan().proxies) {
      cluster.Assert(proxy.id.Value() + " runs",
                     cluster.Local().Process(proxy.id.Value()).Running());
      cluster.Assert(proxy.id.Value() + " serves",
                     processes::PollUntil(kProcessDeadline, [&] {
                       return cluster.Local().Serves(proxy);
                     }));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

}  // namespace
}  // namespace lacewingferry::testing
