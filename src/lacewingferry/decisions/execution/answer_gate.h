#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_ANSWER_GATE_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_ANSWER_GATE_H_

// AnswerGate decides whether this proxy may send answers on behalf of the
// primary of a term.

#include <chrono>
#include <cstdint>

namespace lacewingferry {

/**
 * Stores the end of the proxy's lease and the last term that it has released.
 * Has to be checked at the moment each answer is sent, not earlier: a write may
 * be confirmed before control replaces the primary and answered after.
 */
class AnswerGate {
 public:
  /** Sets the end of the lease on this proxy's own clock, already shortened
   * for clock drift. Until the first call the lease never ends, as for a proxy
   * that runs without control. */
  void SetLease(std::chrono::steady_clock::time_point until) {
    this->lease_until = until;
  }

  /** Permanently releases a term and all earlier ones. */
  void ReleaseTerm(std::uint64_t term);

  /** Whether an answer of the primary of the term may be sent now. */
  bool Open(std::chrono::steady_clock::time_point now,
            std::uint64_t term) const {
    return now < this->lease_until && term > this->released_term;
  }

  /** The last released term; 0 for none. */
  std::uint64_t ReleasedTerm() const { return this->released_term; }

 private:
  std::chrono::steady_clock::time_point lease_until =
      std::chrono::steady_clock::time_point::max();
  std::uint64_t released_term = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_ANSWER_GATE_H_
