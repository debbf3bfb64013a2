#ifndef LACEWINGFERRY_CORE_MESSAGES_LOG_RECORDS_H_
#define LACEWINGFERRY_CORE_MESSAGES_LOG_RECORDS_H_

// Defines LogRecord, what a replica of the control log keeps on its disk.

#include <cstdint>
#include <string>
#include <variant>

#include "lacewingferry/core/control_configuration.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/consensus_messages.h"

namespace lacewingferry {

/** The identity of the replica on this disk. */
struct IdentityRecord {
  VoterId voter;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("voter", self.voter);
  }
};

/** The newest term that the replica has seen and its vote in that term. */
struct VoteRecord {
  std::uint64_t term = 0;
  /** Empty when it has not voted in this term. */
  VoterId voted_for;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("voted_for", self.voted_for);
  }
};

/** The state after an entry, and where the log goes on. */
struct SnapshotRecord {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  ControlConfiguration configuration;
  std::string state;
  /** The entry before the first one kept; at most last_index, so that a
   * follower slightly behind needs no snapshot. */
  std::uint64_t base_index = 0;
  std::uint64_t base_term = 0;
  /** The first segment of the log that belongs to this snapshot. */
  std::uint64_t first_segment = 1;
  /** The first segment of the snapshot before; segments from it up to
   * first_segment are to be removed. */
  std::uint64_t previous_segment = 1;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("last_index", self.last_index);
    visit("last_term", self.last_term);
    visit("configuration", self.configuration);
    visit("state", self.state);
    visit("base_index", self.base_index);
    visit("base_term", self.base_term);
    visit("first_segment", self.first_segment);
    visit("previous_segment", self.previous_segment);
  }
};

/** Any record on the disk. A codec numbers the alternatives by their order, so
 * new ones are added at the end. */
using LogRecord =
    std::variant<IdentityRecord, VoteRecord, SnapshotRecord, ControlEntry>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_LOG_RECORDS_H_
