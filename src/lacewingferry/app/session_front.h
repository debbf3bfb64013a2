#ifndef LACEWINGFERRY_APP_SESSION_FRONT_H_
#define LACEWINGFERRY_APP_SESSION_FRONT_H_

// Defines SessionFront, the adapter of clients' sessions and of connections to
// members, as a proxy's traffic thread sees it.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/member_request.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/gateway/admission.h"
#include "lacewingferry/decisions/gateway/relayed_sessions.h"

namespace lacewingferry {

/** What the front reports, on the traffic thread. */
struct SessionFrontHooks {
  std::function<void(const SessionOpening&, AdmissionHook)> open;
  /** A relayed session sent a statement or got an answer. */
  std::function<void(ClientId, const RelayState&)> relay_state;
  /** An owner ended a session while a statement waited; client_gone follows. */
  std::function<void(const std::string& host, const NodeId& owner)> relay_lost;
  /** No owner took a session; client_gone follows. */
  std::function<void(ClientId, const std::string& host)> relay_failed;
  std::function<void(ClientId, const ClientStatement&)> statement;
  std::function<void(ClientId)> client_gone;
  std::function<void(LinkId, const std::optional<LogPosition>&)> link_opened;
  std::function<void(LinkId)> link_lost;
  std::function<void(LinkId, const MemberReply&)> link_reply;
};

/** What the front does, on the traffic thread. */
struct SessionFront {
  std::function<void(ClientId, const ClientReply&)> reply;
  std::function<void(ClientId)> close_client;
  std::function<void(LinkId, const LinkTarget&)> open_link;
  std::function<void(LinkId, const std::vector<MemberRequest>&)> send;
  std::function<void(LinkId)> close_link;
};

/** Where a front listens. */
struct SessionFrontAddresses {
  /** For clients. */
  Endpoint clients;
  /** For other proxies, which relay sessions; at the same port on each. */
  Endpoint proxies;
};

/** Makes a front that listens. Throws UserError if it can't. */
using MakeSessionFront = std::function<SessionFront(
    boost::asio::io_context& traffic, const SessionFrontAddresses& addresses,
    SessionFrontHooks hooks)>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_SESSION_FRONT_H_
