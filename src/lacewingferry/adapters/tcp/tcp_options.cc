#include "lacewingferry/adapters/tcp/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lacewingferry {
namespace {

constexpr int kOn = 1;
/** Seconds of silence before the first probe, and between two. */
constexpr int kProbeAfterSeconds = 3;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbes = 2;
/** Milliseconds for which sent bytes may stay unacknowledged. */
constexpr unsigned int kUnacknowledgedMs = 4000;

/** Returns whether the kernel took the option. */
template <typename Value>
bool SetOption(int descriptor, int level, int name, Value value) {
  return ::setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}

}  // namespace

// A connection without one of these still works; it only notices later.
void SetTcpOptions(boost::asio::ip::tcp::socket& socket) {
  const int descriptor = socket.native_handle();
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, kOn);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, kOn);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEverySeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

bool BoundDelivery(boost::asio::ip::tcp::socket& socket,
                   std::chrono::milliseconds limit) {
  SetTcpOptions(socket);
  const int descriptor = socket.native_handle();
  return SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<unsigned int>(limit.count())) &&
         SetOption(descriptor, SOL_SOCKET, SO_LINGER, linger{kOn, 0});
}

void CloseWithoutReset(boost::asio::ip::tcp::socket& socket) {
  SetOption(socket.native_handle(), SOL_SOCKET, SO_LINGER, linger{0, 0});
  boost::system::error_code ignored;
  socket.close(ignored);
}

}  // namespace lacewingferry
