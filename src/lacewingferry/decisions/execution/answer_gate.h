#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_ANSWER_GATE_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_ANSWER_GATE_H_

// Defines AnswerGate, which tells whether this proxy may still speak for a
// primary of a term.

#include <chrono>
#include <cstdint>

namespace lacewingferry {

/**
 * Holds the proxy's lease and the terms that it has given up. The gate is
 * asked at the moment of each answer, never earlier: a write may be confirmed
 * before and answered after control replaced the primary.
 */
class AnswerGate {
 public:
  /** Takes the end of the lease by this proxy's own clock, already shortened
   * for drift. A proxy without control holds its lease for ever. */
  void SetLease(std::chrono::steady_clock::time_point until) {
    this->lease_until = until;
  }

  /** Gives up a term and all before it for good. */
  void ReleaseTerm(std::uint64_t term);

  /** Whether an answer of a primary of the term may leave now. */
  bool Open(std::chrono::steady_clock::time_point now,
            std::uint64_t term) const {
    return now < this->lease_until && term > this->released_term;
  }

  /** The last term that was given up; 0 for none. */
  std::uint64_t ReleasedTerm() const { return this->released_term; }

 private:
  std::chrono::steady_clock::time_point lease_until =
      std::chrono::steady_clock::time_point::max();
  std::uint64_t released_term = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_ANSWER_GATE_H_
