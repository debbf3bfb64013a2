#ifndef STANDIN_REPLICATION_MESSAGE_H_
#define STANDIN_REPLICATION_MESSAGE_H_

// Defines ReplicationMessage, what members say to each other over a
// replication connection.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "standin/log_entry.h"

namespace lacewingferry::standin {

/** A replica's first message: who it is and what its log holds. */
struct HelloMessage {
  std::string member;
  /** The highest term that the replica was told. */
  std::uint64_t term = 0;
  /** The last position of each term in the replica's log. */
  std::vector<LogPosition> log_terms;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
    visit("term", self.term);
    visit("log_terms", self.log_terms);
  }
};

/** The primary's answer: its term, and up to where the logs are equal. */
struct StartMessage {
  std::uint64_t term = 0;
  std::uint64_t common_offset = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("common_offset", self.common_offset);
  }
};

/** The primary's next entries. */
struct EntriesMessage {
  std::vector<LogEntry> entries;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("entries", self.entries);
  }
};

/** What a replica has made durable and what its reads see. */
struct AckMessage {
  std::uint64_t term = 0;
  LogPosition durable;
  LogPosition applied;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("durable", self.durable);
    visit("applied", self.applied);
  }
};

/** Any message of the replication protocol. */
using ReplicationMessage =
    std::variant<HelloMessage, StartMessage, EntriesMessage, AckMessage>;

}  // namespace lacewingferry::standin

#endif  // STANDIN_REPLICATION_MESSAGE_H_
