#ifndef LACEWINGFERRY_TESTS_SUPPORT_LINE_GATEWAY_H_
#define LACEWINGFERRY_TESTS_SUPPORT_LINE_GATEWAY_H_

// Defines LineGateway, a gateway in virtual time whose clients and members
// speak the platform's lines, and what must hold for each statement that runs.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bench/model/session_gateway.h"
#include "platform/member_lines.h"
#include "tests/support/line_member.h"

namespace lacewingferry::testing {

/** A gateway before members that read its lines as the page has them. */
class LineGateway {
 public:
  LineGateway();

  ClientId Open(const std::string& host) { return this->gateway.Open(host); }

  /** At members a reset rolls an open transaction back. */
  void EndTransactionsOnReset() { this->reset_ends_transactions = true; }
  /** Members answer by this from now on where it has an answer. */
  void SetRefusal(LineRefusal hook) { this->refusal = std::move(hook); }

  /** What befalls the requests at members from now on. */
  void SetTroubles(LineTroubles hook) { this->troubles = std::move(hook); }

  /** Sends a client's statement and waits for its answer. */
  ClientReply Ask(ClientId client, const std::string& text);
  /** The same under an identifier of the client's choice. */
  ClientReply AskAs(ClientId client, const std::string& id,
                    const std::string& text);

  /** What is wrong with what members ran: a statement that no client sent, one
   * that isn't what its client had said, or one under other values. Empty if
   * all is well. */
  std::vector<std::string> Faults() const;

  /** The reads and writes that members ran. */
  std::vector<LineRun> Runs() const;
  /** The identifiers of the writes that took effect, one for each time. */
  std::vector<std::string> Kept() const;
  /** The identifier of the statement that was sent last. */
  std::string LastId() const { return "c" + std::to_string(this->last_id); }

 private:
  /** A connection to a member, from its opening on. */
  struct Connection {
    LineMember member;
    platform::ReplyAssembler assembler;
  };
  /** What a session holds by the answers that its client got. */
  struct Session {
    std::map<std::string, std::string> values;
    /** Verb and shape by name. */
    std::map<std::string, std::pair<std::string, std::string>> prepared;
    bool in_transaction = false;
  };

  void Send(LinkId link, const std::vector<MemberRequest>& requests);
  void Expect(const Session& session, const std::string& id, std::string text);
  static void Note(Session* session, std::string text);

  model::SessionGateway gateway;
  bool reset_ends_transactions = false;
  LineRefusal refusal;
  LineTroubles troubles;
  std::map<LinkId, Connection> connections;
  std::map<ClientId, Session> sessions;
  /** What must run under each identifier. */
  std::map<std::string, LineRun> expected;
  int last_id = 0;
};

}  // namespace lacewingferry::testing

#endif  // LACEWINGFERRY_TESTS_SUPPORT_LINE_GATEWAY_H_
