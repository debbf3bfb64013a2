#include "lacewingferry/adapters/libpq/server_probe.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

namespace lacewingferry {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** The SSLRequest message: its length and its request code. */
constexpr std::array<unsigned char, 8> kSslRequest{0, 0, 0, 8, 4, 210, 22, 47};

/** One probe; its pending operations keep it alive. */
class ServerProbe : public std::enable_shared_from_this<ServerProbe> {
 public:
  ServerProbe(boost::asio::io_context& context, ServerProbeHook hook)
      : socket(context), timer(context), on_result(std::move(hook)) {}

  void Start(const Endpoint& server, std::chrono::milliseconds timeout) {
    this->timer.expires_after(timeout);
    this->timer.async_wait(
        [self = this->shared_from_this()](const error_code& error) {
          if (!error) self->Finish(MemberSight::kSilent);
        });
    error_code invalid;
    const auto address = boost::asio::ip::make_address(server.host, invalid);
    // An address that can't be read stays unanswered until the timeout.
    if (invalid) return;
    this->socket.async_connect(
        tcp::endpoint(address, server.port),
        [self = this->shared_from_this()](const error_code& error) {
          if (error == boost::asio::error::connection_refused) {
            self->Finish(MemberSight::kRefuses);
          } else if (!error) {
            self->SendRequest();
          }
        });
  }

 private:
  void SendRequest() {
    boost::asio::async_write(this->socket, boost::asio::buffer(kSslRequest),
                             [self = this->shared_from_this()](
                                 const error_code& error, std::size_t) {
                               if (!error) self->ReadAnswer();
                             });
  }

  void ReadAnswer() {
    boost::asio::async_read(this->socket, boost::asio::buffer(this->answer),
                            [self = this->shared_from_this()](
                                const error_code& error, std::size_t) {
                              if (!error) self->Finish(MemberSight::kAnswers);
                            });
  }

  void Finish(MemberSight sight) {
    if (!this->on_result) return;
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
    std::exchange(this->on_result, nullptr)(sight);
  }

  tcp::socket socket;
  boost::asio::steady_timer timer;
  ServerProbeHook on_result;
  std::array<char, 1> answer{};
};

}  // namespace

void ProbeServer(boost::asio::io_context& context, const Endpoint& server,
                 std::chrono::milliseconds timeout, ServerProbeHook on_result) {
  std::make_shared<ServerProbe>(context, std::move(on_result))
      ->Start(server, timeout);
}

}  // namespace lacewingferry
