#ifndef LACEWINGFERRY_CORE_MESSAGES_POSITION_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_POSITION_MESSAGES_H_

// Defines the messages by which an owner of a replica's connections learns
// where the primary stands.

#include <chrono>
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
  /** The time before the question for which the sender lacks samples. */
  std::chrono::milliseconds lacking{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("sequence", self.sequence);
    visit("lacking", self.lacking);
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
 * after the question had arrived, and where it had stood before. */
struct SampledPosition {
  DatabaseId database;
  std::uint64_t sequence = 0;
  LogPosition position;
  /** Where the primary stood earlier, at equal distances before the question's
   * arrival: by how much each offset is lower than the one before it. All are
   * of the position's term. A length of time needs no common clock. */
  std::chrono::milliseconds spacing{0};
  std::vector<std::uint64_t> lower_by;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("sequence", self.sequence);
    visit("position", self.position);
    visit("spacing", self.spacing);
    visit("lower_by", self.lower_by);
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
