#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_SESSION_STATE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_SESSION_STATE_H_

// Defines SessionState, the settings and prepared statements of a client
// session, and LinkState, those that are present on a connection to a member.

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/member_request.h"

namespace lacewingferry {

/** A prepared statement of a session. Sessions that prepare the same one share
 * it on members' connections. */
struct PreparedStatement {
  bool writes = false;
  std::string shape;
};

inline bool operator<(const PreparedStatement& a, const PreparedStatement& b) {
  return std::tie(a.writes, a.shape) < std::tie(b.writes, b.shape);
}

/** The settings (SET) and prepared statements of one session. */
struct SessionState {
  /** The settings, by name. */
  std::map<std::string, std::string> values;
  /** The prepared statements, by the client's name for them. */
  std::map<std::string, PreparedStatement> prepared;

  /** Executes a statement that needs no member and returns its reply; none
   * if a member has to execute it. The caller sets the reply's transaction
   * state. */
  std::optional<ClientReply> ServeLocally(const ClientStatement& statement);

  /** The prepared statement that `statement` names; nullptr if unknown. */
  const PreparedStatement* FindPrepared(const ClientStatement& statement) const;

 private:
  bool HasRoomFor(const ClientStatement& statement) const;
};

/** What a connection is sent before a statement. */
struct LinkSetup {
  std::vector<MemberRequest> requests;
  /** The number of the prepared statement to execute; 0 for none. */
  PreparedNumber prepared = 0;
};

/** The settings and prepared statements on a connection to a member. */
struct LinkState {
  std::map<std::string, std::string> values;
  /** The numbers of the prepared statements. */
  std::map<PreparedStatement, PreparedNumber> prepared;

  /** Whether the connection has exactly the session's settings. */
  bool Matches(const SessionState& session) const {
    return this->values == session.values;
  }

  /** The requests that give the connection the session's settings and prepare
   * `statement`, if it is not nullptr. A reset also discards prepared
   * statements, so the statement is prepared again after it. */
  LinkSetup SetupFor(const SessionState& session,
                     const PreparedStatement* statement);

  /** Records that a request of SetupFor succeeded. */
  void OnRequestDone(const MemberRequest& request);

 private:
  bool NeedsReset(const SessionState& session) const;

  /** The size of the prepared statements' shapes. */
  std::size_t prepared_bytes = 0;
  PreparedNumber last_number = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_SESSION_STATE_H_
