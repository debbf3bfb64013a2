#include "lacewingferry/app/fleet_peers.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "lacewingferry/app/rejected_message.h"

namespace lacewingferry {
namespace {

/** A process that is sent messages and answers none for this long may have a
 * connection that went silent. */
constexpr std::chrono::milliseconds kLongestSilence{700};

}  // namespace

FleetPeers::FleetPeers(const FleetNodeSettings& settings,
                       boost::asio::io_context& control, HybridWallClock clock,
                       EventPort event_port, Receiver receiver)
    : self(settings.address),
      port(settings.peer_port),
      hybrid(std::move(clock)),
      events(std::move(event_port)),
      receive(std::move(receiver)),
      silence(kLongestSilence) {
  PeerSocketHooks hooks;
  hooks.received = [this, &control](PeerMessage message) {
    boost::asio::post(control, [this, message = std::move(message)] {
      this->OnMessage(message);
    });
  };
  hooks.rejected = [this](const std::string& reason) {
    this->events.record(MakeRejectedMessage(NodeId(), reason));
  };
  this->socket =
      std::make_unique<PeerSocket>(this->UrlOf(this->self), std::move(hooks));
  this->peers = this->socket->Port();
}

std::string FleetPeers::UrlOf(const NodeId& node) const {
  return "tcp://" + node.Value() + ":" + std::to_string(this->port);
}

void FleetPeers::OnMessage(const PeerMessage& message) {
  this->hybrid.receive(HybridTime(message.sent_at));
  this->silence.OnReceived(message.from);
  this->receive(message.from, message.body);
}

void FleetPeers::Send(const NodeId& to, const PeerBody& body) {
  PeerMessage message;
  message.from = this->self;
  message.body = body;
  message.sent_at = this->hybrid.time_to_send().time_since_epoch();
  this->silence.OnSent(this->hybrid.clock.now(), to);
  this->peers.send(this->UrlOf(to), message);
}

void FleetPeers::Redial(const NodeId& to) {
  this->peers.redial(this->UrlOf(to));
}

void FleetPeers::RedialSilent() {
  for (const NodeId& node :
       this->silence.TakeSilentPeers(this->hybrid.clock.now())) {
    this->Redial(node);
  }
}

}  // namespace lacewingferry
