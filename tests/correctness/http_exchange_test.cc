#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "bench/processes/http_client.h"
#include "bench/processes/poll_until.h"
#include "lacewingferry/adapters/http/http_server.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLimit{5000};

/** A server whose answers are given by hand, on a thread of its own. */
class HeldServer {
 public:
  explicit HeldServer(const HttpLimits& limits = HttpLimits())
      : work(boost::asio::make_work_guard(this->io)) {
    const HttpHandler hold = [this](const HttpRequest&,
                                    const HttpRespond& respond) {
      this->held.set_value(respond);
    };
    this->server = std::make_shared<HttpServer>(
        std::vector<HttpServer::Thread>{{&this->io, hold}},
        Endpoint{"127.0.0.1", 0}, limits);
    this->server->Start();
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~HeldServer() {
    this->io.stop();
    this->thread.join();
  }

  Endpoint Address() const { return {"127.0.0.1", this->server->Port()}; }
  std::size_t Exchanges() const { return this->server->Exchanges(); }

  /** Answers the request that is held, or the next one to come. */
  void Answer() {
    const HttpRespond respond = this->held.get_future().get();
    this->held = std::promise<HttpRespond>();
    boost::asio::post(this->io, [respond] {
      respond(HttpResponse{200, "text/plain", "done"});
    });
  }

 private:
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::promise<HttpRespond> held;
  std::shared_ptr<HttpServer> server;
  std::thread thread;
};

// A planned stop ends a process when nothing is unfinished. An answer that one
// thread made and another has yet to write is unfinished as well.
class HttpExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpExchangeTest);
  CPPUNIT_TEST(CountsUntilTheAnswerIsWritten);
  CPPUNIT_TEST(ConnectionClosedAtRestIsNoLostAnswer);
  CPPUNIT_TEST(ConnectionThatRestsTooLongIsClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsUntilTheAnswerIsWritten() {
    HeldServer server;
    processes::HttpClient client(server.Address());
    auto answer =
        std::async(std::launch::async, [&] { return client.Get("/", kLimit); });
    CPPUNIT_ASSERT(
        processes::PollUntil(kLimit, [&] { return server.Exchanges() == 1; }));
    server.Answer();
    CPPUNIT_ASSERT_EQUAL(200, answer.get().status);
    CPPUNIT_ASSERT(
        processes::PollUntil(kLimit, [&] { return server.Exchanges() == 0; }));
  }

  void ConnectionClosedAtRestIsNoLostAnswer() {
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    tcp::acceptor acceptor(
        io, {boost::asio::ip::make_address("127.0.0.1"), std::uint16_t{0}});
    const auto server = std::async(std::launch::async, [&] {
      for (int i = 0; i < 2; ++i) AnswerOnce(acceptor.accept());
    });
    processes::HttpClient client(
        {"127.0.0.1", acceptor.local_endpoint().port()});
    const int first = client.Get("/", kLimit).status;
    std::this_thread::sleep_for(kRest);
    const int second = client.Get("/", kLimit).status;
    CPPUNIT_ASSERT_EQUAL(200, first);
    CPPUNIT_ASSERT_EQUAL(200, second);
  }

  // Members kept a connection to each process of control, until none was left
  // for the operator.
  void ConnectionThatRestsTooLongIsClosed() {
    using boost::asio::ip::tcp;
    HttpLimits limits;
    limits.idle_timeout = kRest;
    HeldServer server(limits);
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), server.Address().port});
    char byte = 0;
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(&byte, 1), error);
    CPPUNIT_ASSERT(error == boost::asio::error::eof);
  }

 private:
  /** Until the end of the connection has reached the client. */
  static constexpr std::chrono::milliseconds kRest{100};

  /** Answers one request as if the connection stayed open, and closes it. */
  static void AnswerOnce(boost::asio::ip::tcp::socket socket) {
    std::string request(1024, '\0');
    socket.read_some(boost::asio::buffer(request));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(answer));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpExchangeTest);

}  // namespace
}  // namespace lacewingferry::testing
