#ifndef LACEWINGFERRY_ADAPTERS_TCP_PEER_INBOX_H_
#define LACEWINGFERRY_ADAPTERS_TCP_PEER_INBOX_H_

// Defines PeerInbox, which takes the messages that other processes send.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewingferry {

/** What a PeerInbox reports, on the thread of its io_context. */
struct PeerInboxHooks {
  /** The bytes of a message; throws DecodeError if they are none. */
  std::function<void(std::string_view bytes)> received;
  /** Bytes that were no message, with the reason. */
  std::function<void(const std::string& reason)> rejected;
};

/** Accepts connections and reads messages from them. A connection whose bytes
 * can't be cut into messages is closed; the others go on. */
class PeerInbox : public std::enable_shared_from_this<PeerInbox> {
 public:
  /** Listens at once. Throws boost::system::system_error if it can't. */
  PeerInbox(boost::asio::io_context& io,
            const boost::asio::ip::tcp::endpoint& listen, PeerInboxHooks hooks);

  /** Starts to accept. Keeps itself alive until Close. */
  void Start();

  /** Accepts nothing more. */
  void Close();

 private:
  void Accept();
  void AcceptLater();

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer retry;
  std::shared_ptr<const PeerInboxHooks> hooks;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TCP_PEER_INBOX_H_
