#ifndef LACEWINGFERRY_CORE_MESSAGES_PEER_MESSAGE_H_
#define LACEWINGFERRY_CORE_MESSAGES_PEER_MESSAGE_H_

// Defines PeerMessage, any message between two processes of the system, with
// its sender.

#include <chrono>
#include <string>
#include <variant>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/configuration_messages.h"
#include "lacewingferry/core/messages/consensus_messages.h"
#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/core/messages/forward_messages.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/messages/permit_messages.h"
#include "lacewingferry/core/messages/position_messages.h"
#include "lacewingferry/core/messages/seat_messages.h"

namespace lacewingferry {

/** The messages by purpose. A codec numbers the alternatives by their order,
 * so new ones are added at the end. */
using PeerBody = std::variant<
    ForwardRequest, ForwardReply, VoteRequest, VoteReply, AppendRequest,
    AppendReply, SnapshotRequest, MembershipUpdate, JoinRequest, LeaseRenewal,
    LeaseGrant, LeaseRelease, LeaseReleased, MemberCommand, MemberCommandResult,
    PrimarySuspicion, ObserveRequest, ObserveReply, ClusterUpdate,
    ClusterUpdateRequest, ControlRedirect, ConfigurationOffer,
    ConfigurationReport, MembershipDelta, MembershipAck, MemberHeard,
    MemberInquiry, NodeHeartbeat, NodeProbe, MembershipDigest,
    MembershipBuckets, MembershipVersions, MembershipPull, PositionProbe,
    PositionSample, SeatClaim, SeatGrant, ProxyReport, ProxyUpdate, LeaseRecall,
    LeaseRecalled, JoinRedirect, PermitRequest, PermitGrant>;

/** A message with its sender. */
struct PeerMessage {
  NodeId from;
  /** Where the sender takes answers. */
  std::string from_url;
  PeerBody body;
  /** The sender's hybrid time, in microseconds since 1970-01-01 UTC. */
  std::chrono::microseconds sent_at{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("from_url", self.from_url);
    visit("body", self.body);
    visit("sent_at", self.sent_at);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_PEER_MESSAGE_H_
