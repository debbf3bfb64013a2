#ifndef LACEWINGFERRY_CORE_MESSAGES_FORWARD_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_FORWARD_MESSAGES_H_

// Defines the messages that carry a request from the proxy that received it
// to the proxy that owns a connection to the chosen member, and back.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** A request for a connection that the receiver owns. It goes one hop at the
 * most. */
struct ForwardRequest {
  std::uint64_t forward_id = 0;
  MemberId member;
  /** The term that the sender routed by. */
  std::uint64_t term = 0;
  StatementRequest request;
  /** The time since the request was first sent to this owner; zero for the
   * first sending. */
  std::chrono::milliseconds since_first_sent{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("forward_id", self.forward_id);
    visit("member", self.member);
    visit("term", self.term);
    visit("request", self.request);
    visit("since_first_sent", self.since_first_sent);
  }
};

/** The answer to a ForwardRequest. */
struct ForwardReply {
  std::uint64_t forward_id = 0;
  DatabaseId database;
  Outcome outcome;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("forward_id", self.forward_id);
    visit("database", self.database);
    visit("outcome", self.outcome);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_FORWARD_MESSAGES_H_
