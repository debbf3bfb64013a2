#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_WRITE_CONFIRMER_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_WRITE_CONFIRMER_H_

// Defines WriteConfirmer, which knows up to where a majority of the members
// holds a database's log.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/**
 * Counts a majority of the whole group by identity, the primary included if
 * it is one of the members that count. Whoever else follows the primary, such
 * as a replacement that control has not admitted yet, confirms nothing: the
 * next failover doesn't ask it. A position is
 * confirmed only once the majority holds an entry of the primary's own term:
 * entries of an earlier term can still lose against those of a term between,
 * even while a majority holds them. One report confirms all positions up to
 * the one that the majority reached.
 */
class WriteConfirmer {
 public:
  /** Takes the members that count and how many the group has when whole.
   * With other ones than before, what was confirmed by the earlier ones has to
   * be confirmed anew; control relies on it when it changes members again. */
  void SetMembers(std::uint32_t whole_size, std::vector<MemberId> counted);

  /** Takes the term whose primary is asked. */
  void SetTerm(std::uint64_t current) { this->term = current; }

  /** Takes the primary's rows; those of another term change nothing. */
  void OnStatus(const std::vector<GroupMemberState>& rows);

  /** Whether no promotion can lose the position any longer. */
  bool Covers(const LogPosition& position) const {
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
