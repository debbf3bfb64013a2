#ifndef LACEWINGFERRY_APP_FLEET_PEERS_H_
#define LACEWINGFERRY_APP_FLEET_PEERS_H_

// Defines FleetPeers, a process's messages to the others of its fleet.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "lacewingferry/adapters/tcp/peer_socket.h"
#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/core/fleet_settings.h"
#include "lacewingferry/decisions/roster/silent_peer_detector.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** Sends to processes by their machines' addresses; all take messages at the
 * same port. Belongs to the control thread. */
class FleetPeers {
 public:
  using Receiver = std::function<void(const NodeId& from, const PeerBody&)>;

  /** Listens at once; messages are received on the context. Throws UserError
   * if the port can't be used. */
  FleetPeers(const FleetNodeSettings& settings,
             boost::asio::io_context& control, HybridWallClock clock,
             EventPort events, Receiver receiver);

  void Send(const NodeId& to, const PeerBody& body);

  /** Opens the connection to a process anew. */
  void Redial(const NodeId& to);

  /** Opens the connections anew to those that answer nothing. Only for
   * processes that answer each other all the time. */
  void RedialSilent();

 private:
  std::string UrlOf(const NodeId& node) const;
  void OnMessage(const PeerMessage& message);

  NodeId self;
  std::uint16_t port;
  HybridWallClock hybrid;
  EventPort events;
  Receiver receive;
  SilentPeerDetector silence;
  std::unique_ptr<PeerSocket> socket;
  PeerPort peers;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_FLEET_PEERS_H_
