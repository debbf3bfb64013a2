#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/core/errors.h"
#include "tests/support/fuzz.h"

namespace lacewingferry::testing {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kInputs = 10'000;
constexpr std::size_t kMostBodyBytes = 4096;

/** A server and its caller on one thread. */
class OneThread {
 public:
  OneThread() {
    HttpLimits limits;
    limits.max_body_bytes = kMostBodyBytes;
    const HttpHandler handler = [this](const HttpRequest& request,
                                       const HttpRespond& respond) {
      ++this->handled;
      CPPUNIT_ASSERT(request.body.size() <= kMostBodyBytes);
      respond(HttpResponse{200, "text/plain", request.path});
    };
    this->server = std::make_shared<HttpServer>(
        std::vector<HttpServer::Thread>{{&this->io, handler}},
        Endpoint{"127.0.0.1", 0}, limits);
    this->server->Start();
  }

  /** Sends bytes and the end of the stream; returns all that comes back. */
  std::string Send(const std::string& bytes) {
    tcp::socket socket(this->io);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), this->server->Port()});
    std::string received;
    bool closed = false;
    boost::asio::async_write(socket, boost::asio::buffer(bytes),
                             [&socket](boost::system::error_code, std::size_t) {
                               boost::system::error_code ignored;
                               socket.shutdown(tcp::socket::shutdown_send,
                                               ignored);
                             });
    boost::asio::async_read(
        socket, boost::asio::dynamic_buffer(received),
        [&closed](boost::system::error_code, std::size_t) { closed = true; });
    while (!closed) this->io.run_one();
    return received;
  }

  std::size_t handled = 0;

 private:
  boost::asio::io_context io;
  std::shared_ptr<HttpServer> server;
};

/** The status of each response; fails unless they are whole. */
std::vector<int> StatusesOf(const std::string& bytes) {
  namespace http = boost::beast::http;
  std::vector<int> statuses;
  std::size_t at = 0;
  while (at < bytes.size()) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    at += parser.put(boost::asio::buffer(bytes.data() + at, bytes.size() - at),
                     error);
    CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
    CPPUNIT_ASSERT(parser.is_done());
    statuses.push_back(static_cast<int>(parser.get().result_int()));
  }
  return statuses;
}

class HttpFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpFuzzTest);
  CPPUNIT_TEST(DamagedRequestsGetWholeAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each request is handled or refused with its status; what the caller cut
  // off gets no answer.
  void DamagedRequestsGetWholeAnswers() {
    const std::vector<std::string> samples = {
        "POST /v1/statements HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
        "{\"a\"",
        "POST /v1/statements HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\n{\"a\"\r\n0\r\n\r\n",
        "GET /v1/health?x=1 HTTP/1.1\r\nConnection: close\r\n\r\n",
        "GET /a?b HTTP/1.1\r\n\r\n"};
    OneThread both;
    std::size_t refused = 0;
    Fuzz<UserError>(samples, kInputs, [&](const std::string& bytes) {
      const std::size_t before = both.handled;
      const std::vector<int> statuses = StatusesOf(both.Send(bytes));
      std::size_t answered = 0;
      for (const int status : statuses) {
        if (status == 200) ++answered;
        CPPUNIT_ASSERT(status == 200 || status == 400 || status == 413);
      }
      CPPUNIT_ASSERT_EQUAL(both.handled - before, answered);
      refused += statuses.size() - answered;
    });
    CPPUNIT_ASSERT(both.handled > samples.size());
    CPPUNIT_ASSERT(refused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFuzzTest);

}  // namespace
}  // namespace lacewingferry::testing
