#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_TERM_LEASE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_TERM_LEASE_H_

// Defines TermLease, what a proxy's traffic may acknowledge in a term.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/database_term.h"

namespace lacewingferry {

/**
 * The lease on one group's term as the traffic thread holds it. A recall stops
 * new acknowledgements at once; those under way may end within its patience,
 * and nothing is acknowledged in the recalled terms after that.
 */
class TermLease {
 public:
  /** Takes a lease on a term that lasts until a time. */
  void Grant(std::uint64_t granted_term,
             std::chrono::steady_clock::time_point lasts_until);

  /** The term of the newest lease; 0 before the first. */
  std::uint64_t Term() const { return this->term; }
  std::chrono::steady_clock::time_point Until() const { return this->until; }

  /** Whether new work may be acknowledged in the group's present term. */
  bool InForce(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry) const;

  /** Whether the lease on the present term ended by itself: this proxy has lost
   * control, while others may serve. */
  bool RanOut(std::chrono::steady_clock::time_point now,
              const DatabaseTerm& entry) const;

  /** Whether what was sent under the lease on a term may be acknowledged. */
  bool Covers(std::chrono::steady_clock::time_point now,
              std::uint64_t sent_term) const;

  void Recall(std::chrono::steady_clock::time_point now,
              std::uint64_t before_term, std::chrono::milliseconds patience);

  /** Ends a recall when nothing is under way or its patience has ended; gives
   * the term before which nothing is acknowledged any more. */
  std::optional<std::uint64_t> FinishRecall(
      std::chrono::steady_clock::time_point now, bool under_way);

  /** When the patience of a recall ends; none without one. */
  std::optional<std::chrono::steady_clock::time_point> RecallLimit() const;

 private:
  struct Recalled {
    std::uint64_t before_term = 0;
    std::chrono::steady_clock::time_point limit;
  };

  std::uint64_t term = 0;
  std::chrono::steady_clock::time_point until;
  /** The lowest term that was not given up. */
  std::uint64_t lowest_term = 0;
  std::optional<Recalled> recall;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_TERM_LEASE_H_
