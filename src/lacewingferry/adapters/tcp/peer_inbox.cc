#include "lacewingferry/adapters/tcp/peer_inbox.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "lacewingferry/adapters/tcp/peer_frame.h"
#include "lacewingferry/adapters/tcp/tcp_options.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using boost::asio::ip::tcp;

/** Longer messages end their connection. */
constexpr std::size_t kMaxMessageBytes = 16U << 20U;
/** A process without free descriptors accepts again after this. */
constexpr std::chrono::milliseconds kAcceptRetry{100};

/** One connection that another process opened. */
class InboundConnection
    : public std::enable_shared_from_this<InboundConnection> {
 public:
  InboundConnection(tcp::socket accepted,
                    std::shared_ptr<const PeerInboxHooks> inbox_hooks)
      : socket(std::move(accepted)),
        hooks(std::move(inbox_hooks)),
        reader(kSenderGreeting, kMaxMessageBytes) {}

  void Start() {
    SetTcpOptions(this->socket);
    boost::asio::async_write(this->socket,
                             boost::asio::buffer(kReceiverGreeting),
                             [self = this->shared_from_this()](
                                 boost::system::error_code error, std::size_t) {
                               if (!error) self->Read();
                             });
  }

 private:
  void Read() {
    const PeerFrameReader::Space space = this->reader.PrepareSpace();
    this->socket.async_read_some(
        boost::asio::buffer(space.data, space.size),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          // The connection ends with its last handler.
          if (error) return;
          self->reader.AddReceived(size);
          if (self->TakeMessages()) self->Read();
        });
  }

  /** Whether the bytes so far could be cut into messages. */
  bool TakeMessages() {
    try {
      while (const auto message = this->reader.TakeMessage()) {
        this->Deliver(*message);
      }
      return true;
    } catch (const DecodeError& error) {
      this->hooks->rejected(error.what());
      return false;
    }
  }

  void Deliver(std::string_view message) {
    try {
      this->hooks->received(message);
    } catch (const std::exception& error) {
      this->hooks->rejected(error.what());
    }
  }

  tcp::socket socket;
  std::shared_ptr<const PeerInboxHooks> hooks;
  PeerFrameReader reader;
};

}  // namespace

PeerInbox::PeerInbox(boost::asio::io_context& io, const tcp::endpoint& listen,
                     PeerInboxHooks inbox_hooks)
    : acceptor(io),
      retry(io),
      hooks(std::make_shared<const PeerInboxHooks>(std::move(inbox_hooks))) {
  this->acceptor.open(listen.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(listen);
  this->acceptor.listen();
}

void PeerInbox::Start() { this->Accept(); }

void PeerInbox::Close() {
  this->retry.cancel();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void PeerInbox::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](boost::system::error_code error,
                                        tcp::socket socket) {
        if (!self->acceptor.is_open()) return;
        if (error) {
          self->AcceptLater();
          return;
        }
        std::make_shared<InboundConnection>(std::move(socket), self->hooks)
            ->Start();
        self->Accept();
      });
}

void PeerInbox::AcceptLater() {
  this->retry.expires_after(kAcceptRetry);
  this->retry.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && self->acceptor.is_open()) self->Accept();
      });
}

}  // namespace lacewingferry
