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

template <typename Value>
void SetOption(int descriptor, int level, int name, Value value) {
  // A connection without an option still works; it only notices later.
  static_cast<void>(
      ::setsockopt(descriptor, level, name, &value, sizeof(value)));
}

}  // namespace

void SetTcpOptions(boost::asio::ip::tcp::socket& socket) {
  const int descriptor = socket.native_handle();
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, kOn);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, kOn);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEverySeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

}  // namespace lacewingferry
