#ifndef STANDIN_MEMBER_STATE_H_
#define STANDIN_MEMBER_STATE_H_

// Defines MemberState, the rules of terms: who may be primary, who may be
// followed, and what a fence forbids.

#include <cstdint>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** A member's role and term. What it promises is held by its fields alone, so
 * that they can be stored and read back. */
struct MemberState {
  /** The highest term that the member was told. */
  std::uint64_t term = 0;
  /** Whether the member is the primary of its term. */
  bool primary = false;
  /** Whether the term was told by a fence and has no primary here yet. */
  bool fenced = false;
  /** Where the primary's log is followed; port 0 for nowhere. */
  Endpoint followed;

  /** Raises the term and gives up any role in a lower one. Returns whether it
   * was accepted; a repeated fence of the same term is accepted until the term
   * has a primary here. */
  bool Fence(std::uint64_t new_term);

  /** Makes the member primary of the term that fenced it. Returns whether it
   * was accepted; also true when it is primary of that term already. */
  bool Promote(std::uint64_t new_term);

  /** Follows the primary of a term. Returns whether it was accepted: not for a
   * lower term, and not at the primary of that same term. */
  bool Follow(std::uint64_t new_term, const Endpoint& primary_log);

  /** Takes the term of a primary's stream. Returns whether the stream may be
   * followed: not when its term is lower than the highest one told, and not
   * after a fence. */
  bool AcceptStream(std::uint64_t stream_term);

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("primary", self.primary);
    visit("fenced", self.fenced);
    visit("followed", self.followed);
  }
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_MEMBER_STATE_H_
