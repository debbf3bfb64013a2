#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_ENDED_RUN_WATCH_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_ENDED_RUN_WATCH_H_

// Defines EndedRunWatch, which finds out from when on a group's ended runs
// acknowledge nothing more.

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "lacewingferry/decisions/switchover/switchover_context.h"

namespace lacewingferry {

/**
 * A run that left the roster may go on for a while: a member that said farewell
 * ends a moment later, and one whose address another entry has taken runs on if
 * that entry was wrong. Until a run is over, it may acknowledge commits. It is
 * over in one of these cases:
 *
 *   a later run of the same member, in the same group, is on the roster
 *   its address refuses it
 *   it said farewell and gives no answer
 *
 * Where a run was displaced, silence says nothing: it may be cut off from
 * control alone.
 */
class EndedRunWatch : public std::enable_shared_from_this<EndedRunWatch> {
 public:
  EndedRunWatch(const SwitchoverContext& shared, DatabaseId database_id);

  /** Asks the ended runs that aren't known to be over. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** The ended runs that were over at a time. */
  std::vector<MemberRun> OverAt(
      std::chrono::steady_clock::time_point time) const;

 private:
  const std::vector<EndedRun>& Runs() const;
  bool BeganAnew(const MemberRun& run) const;
  void Ask(const EndedRun& ended);

  const SwitchoverContext& context;
  DatabaseId database;
  std::map<MemberRun, std::chrono::steady_clock::time_point> over_since;
  std::set<MemberId> awaiting_answer;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_ENDED_RUN_WATCH_H_
