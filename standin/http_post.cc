#include "standin/http_post.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

namespace lacewingferry::standin {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** The longest status line that is read, in bytes. */
constexpr std::size_t kMaxStatusBytes = 4096;

/** One exchange; kept alive by its pending operations. */
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(boost::asio::io_context& io, std::string request_text,
               std::function<void(bool)> done_hook)
      : socket(io),
        timer(io),
        request(std::move(request_text)),
        done(std::move(done_hook)) {}

  void Start(const tcp::endpoint& server, std::chrono::milliseconds timeout) {
    this->timer.expires_after(timeout);
    this->timer.async_wait(
        [self = this->shared_from_this()](const error_code& error) {
          if (!error) self->Finish(false);
        });
    this->socket.async_connect(
        server, [self = this->shared_from_this()](const error_code& error) {
          if (!self->Failed(error)) self->Write();
        });
  }

 private:
  bool Failed(const error_code& error) {
    if (error) this->Finish(false);
    return static_cast<bool>(error);
  }

  void Write() {
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->request),
        [self = this->shared_from_this()](const error_code& error,
                                          std::size_t /*count*/) {
          if (!self->Failed(error)) self->ReadStatus();
        });
  }

  void ReadStatus() {
    boost::asio::async_read_until(
        this->socket,
        boost::asio::dynamic_buffer(this->response, kMaxStatusBytes), "\r\n",
        [self = this->shared_from_this()](const error_code& error,
                                          std::size_t /*count*/) {
          if (!self->Failed(error)) {
            self->Finish(self->response.compare(0, 7, "HTTP/1.") == 0 &&
                         self->response.size() > 9 && self->response[9] == '2');
          }
        });
  }

  void Finish(bool accepted) {
    const auto hook = std::exchange(this->done, nullptr);
    if (!hook) return;
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
    hook(accepted);
  }

  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string request;
  std::string response;
  std::function<void(bool)> done;
};

}  // namespace

void PostJson(boost::asio::io_context& io, const Endpoint& endpoint,
              const std::string& path, const std::string& body,
              std::chrono::milliseconds timeout,
              std::function<void(bool accepted)> done) {
  const std::string authority =
      endpoint.host + ":" + std::to_string(endpoint.port);
  std::string request =
      "POST " + path + " HTTP/1.1\r\nHost: " + authority +
      "\r\nContent-Type: application/json\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const tcp::endpoint server(boost::asio::ip::make_address(endpoint.host),
                             endpoint.port);
  std::make_shared<HttpExchange>(io, std::move(request), std::move(done))
      ->Start(server, timeout);
}

}  // namespace lacewingferry::standin
