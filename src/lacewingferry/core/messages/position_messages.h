#ifndef LACEWINGFERRY_CORE_MESSAGES_POSITION_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_POSITION_MESSAGES_H_

// Defines the messages by which an owner of a replica's connections learns
// where the primary stands.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** A question for the position of one database's primary. */
struct ProbedDatabase {
  DatabaseId database;
  /** Names the question at its sender, who remembers when it was asked. */
  std::uint64_t sequence = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("sequence", self.sequence);
  }
};

/** The questions that one proxy has for another. */
struct PositionProbe {
  std::vector<ProbedDatabase> databases;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("databases", self.databases);
  }
};

/** The answer to one question: where the primary stood when it was asked
 * after the question had arrived. */
struct SampledPosition {
  DatabaseId database;
  std::uint64_t sequence = 0;
  LogPosition position;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("sequence", self.sequence);
    visit("position", self.position);
  }
};

/** The answers that one proxy has for another. */
struct PositionSample {
  std::vector<SampledPosition> samples;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("samples", self.samples);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_POSITION_MESSAGES_H_
