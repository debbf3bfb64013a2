#ifndef LACEWINGFERRY_PORTS_PEER_PORT_H_
#define LACEWINGFERRY_PORTS_PEER_PORT_H_

// Defines the port between the system's own processes.

#include <functional>
#include <string>

#include "lacewingferry/core/messages/peer_message.h"

namespace lacewingferry {

/** Sends messages to other processes. A message may be lost, late, doubled or
 * overtaken; send never blocks and reports no failure. */
struct PeerPort {
  std::function<void(const std::string& peer_url, const PeerMessage&)> send;
  /** Gives up the connection to a process, with the messages that wait for it,
   * and opens another with the next message. */
  std::function<void(const std::string& peer_url)> redial;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_PEER_PORT_H_
