#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_TERM_LEASE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_TERM_LEASE_H_

// Defines TermLease, which says whether a proxy may acknowledge commits in a
// term.

#include <chrono>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/database_term.h"

namespace lacewingferry {

/**
 * The traffic thread's lease on the term of one group. After a recall no new
 * commits are started. Commits in flight may still be acknowledged within the
 * grace period; after it nothing is acknowledged in the recalled terms.
 */
class TermLease {
 public:
  /** Sets the lease on a term and its expiry time. */
  void Grant(std::uint64_t granted_term,
             std::chrono::steady_clock::time_point expires_at);

  /** The term of the newest lease; 0 before the first. */
  std::uint64_t Term() const { return this->term; }
  std::chrono::steady_clock::time_point Until() const { return this->until; }

  /** Whether statements that need the lease may be started in the group's
   * current term. */
  bool InForce(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry) const;

  /** Whether the lease on the current term expired without renewal. This
   * proxy has then lost contact with control, while other proxies may still
   * serve. */
  bool Expired(std::chrono::steady_clock::time_point now,
               const DatabaseTerm& entry) const;

  /** Whether a commit that was sent under the lease on sent_term may be
   * acknowledged now. */
  bool Covers(std::chrono::steady_clock::time_point now,
              std::uint64_t sent_term) const;

  /** Recalls the lease on terms before before_term. */
  void Recall(std::chrono::steady_clock::time_point now,
              std::uint64_t before_term,
              std::chrono::milliseconds grace_period);

  /** Completes a recall if no commit is in flight or the grace period is over.
   * Returns the term before which nothing is acknowledged any more; none if no
   * recall was completed. */
  std::optional<std::uint64_t> FinishRecall(
      std::chrono::steady_clock::time_point now, bool in_flight);

  /** When the grace period of the pending recall ends; none if no recall is
   * pending. */
  std::optional<std::chrono::steady_clock::time_point> RecallDeadline() const;

 private:
  struct Recalled {
    std::uint64_t before_term = 0;
    std::chrono::steady_clock::time_point limit;
  };

  std::uint64_t term = 0;
  std::chrono::steady_clock::time_point until;
  /** Commits in terms before this one are no longer acknowledged. */
  std::uint64_t lowest_term = 0;
  std::optional<Recalled> recall;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_TERM_LEASE_H_
