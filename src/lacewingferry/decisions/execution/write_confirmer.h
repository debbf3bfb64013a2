#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_WRITE_CONFIRMER_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_WRITE_CONFIRMER_H_

// WriteConfirmer tracks the position up to which a majority of the members
// holds a database's log.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/**
 * Counts a majority of the whole group by member identity, including the
 * primary if it is a counted member. Any other replica of the primary, such as
 * a replacement that control has not admitted yet, is not counted, since the
 * next failover doesn't query it. A position is confirmed only once the
 * majority holds an entry of the primary's own term: entries of an earlier term
 * can still be overwritten by those of a term in between, even if a majority
 * holds them. One report confirms all positions up to the one that the majority
 * reached.
 */
class WriteConfirmer {
 public:
  /** Sets the counted members and the size of the complete group. If either
   * changes, positions confirmed before have to be confirmed again by the new
   * members; control relies on this for its next membership change. */
  void SetMembers(std::uint32_t full_group_size, std::vector<MemberId> counted);

  /** Sets the term of the primary whose reports are used. */
  void SetTerm(std::uint64_t current) { this->term = current; }

  /** Processes the rows reported by the primary; ignores reports of another
   * term. */
  void OnStatus(const std::vector<GroupMemberState>& rows);

  /** Whether the position is confirmed, so that no promotion can lose it. */
  bool IsConfirmed(const LogPosition& position) const {
    return this->confirmed.term == this->term && position <= this->confirmed;
  }

  /** Whether the primary's log has an entry of its own term. Until then
   * nothing can be confirmed. */
  bool TermBegun() const { return this->newest.term == this->term; }

  /** The newest position that a majority is known to hold. */
  const LogPosition& Confirmed() const { return this->confirmed; }

 private:
  std::uint32_t group_size = 3;
  std::vector<MemberId> members;
  std::uint64_t term = 0;
  LogPosition newest;
  LogPosition confirmed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_WRITE_CONFIRMER_H_
