#ifndef LACEWINGFERRY_DECISIONS_ROSTER_ENDED_RUNS_H_
#define LACEWINGFERRY_DECISIONS_ROSTER_ENDED_RUNS_H_

// Defines EndedRuns, the replicated memory of members' runs that ended and may
// have been the only ones with some acknowledged commits.

#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/fleet_command.h"

namespace lacewingferry {

/** A run that ended, with its log. */
struct EndedRun {
  MemberRun run;
  Endpoint endpoint;
  /** Whether an entry for a later run took its address or its ID. Otherwise the
   * member said farewell. Either way it may still acknowledge commits until its
   * process ends. */
  bool displaced = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("run", self.run);
    visit("endpoint", self.endpoint);
    visit("displaced", self.displaced);
  }
};

/** What a database's ended runs ask of its next primary. */
struct EndedRunsOfDatabase {
  /** A successor must have this position: the primary had it when runs that are
   * no longer listed had ended. */
  LogPosition floor;
  /** The runs that may have acknowledged commits beyond the floor. */
  std::vector<EndedRun> runs;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("floor", self.floor);
    visit("runs", self.runs);
  }
};

/**
 * A commit is acknowledged once one replica has received it. When that
 * replica's run ends, its log is gone, and a remaining replica that is behind
 * would look like the newest one. So an ended run is remembered until the
 * primary's position, read after its end, is known to cover what it
 * acknowledged, or until another primary leads that has everything.
 *
 * All control replicas apply the same commands and hold the same state.
 */
class EndedRuns {
 public:
  /** What is known of a database; nothing ended if it isn't listed. */
  const EndedRunsOfDatabase& Of(const DatabaseId& database) const;

  /** Remembers a run that ended. Of one address only the last run is kept: they
   * are covered together. */
  void Add(const DatabaseId& database, const EndedRun& ended);

  /** Forgets the runs that a position covers; false if the command comes from
   * another term or the term has no primary. */
  bool Cover(const CoverEndedRuns& cover, const DatabaseTerm* entry);

  /** Forgets all runs once a primary leads that holds every acknowledged
   * commit. */
  void OnPrimaryConfirmed(const DatabaseTerm& entry);

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("databases", self.databases);
  }

 private:
  std::map<DatabaseId, EndedRunsOfDatabase> databases;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_ROSTER_ENDED_RUNS_H_
