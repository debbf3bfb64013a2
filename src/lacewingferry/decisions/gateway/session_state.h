#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_SESSION_STATE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_SESSION_STATE_H_

// Defines SessionState, what a client's session has set up, and LinkState, what
// a connection to a member was told of it.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/member_request.h"

namespace lacewingferry {

/** A prepared statement of a session. On members' connections it goes by a
 * name that only its shape decides, so that sessions share it. */
struct PreparedStatement {
  bool writes = false;
  std::string shape;

  std::string SharedName() const;
};

/** The values and prepared statements of one session. */
struct SessionState {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;

  /** Serves a statement that no member has to see; none for any other. The
   * reply's transaction state is left to the caller. */
  std::optional<ClientReply> ServeLocally(const ClientStatement& statement);

  /** The prepared statement that an execution names; nullptr if unknown. */
  const PreparedStatement* FindPrepared(const ClientStatement& statement) const;
};

/** What a connection to a member holds. */
struct LinkState {
  std::map<std::string, std::string> values;
  std::set<std::string> prepared;

  /** Whether the connection's values are those of the session. */
  bool Matches(const SessionState& session) const {
    return this->values == session.values;
  }

  /** The requests after which the connection's values are those of the
   * session and the statement, if there is one, is prepared. A reset forgets
   * what was prepared, so a statement is prepared again after it. */
  std::vector<MemberRequest> SetupFor(const SessionState& session,
                                      const PreparedStatement* statement) const;

  /** Notes a request of the above that succeeded. */
  void OnDone(const MemberRequest& request);

 private:
  bool NeedsReset(const SessionState& session) const;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_SESSION_STATE_H_
