#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_PRIMARY_WATCH_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_PRIMARY_WATCH_H_

// Defines PrimaryWatch, which concludes from a primary's answers whether it is
// lost.

#include <chrono>
#include <optional>

#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** How much silence proves that a primary is lost. */
struct WatchSettings {
  /** Failures in a row, the last ones over new connections. */
  int failures = 2;
  /** From the first failed question on, for a primary whose machine answers
   * that nothing listens. */
  std::chrono::milliseconds refused_for{300};
  /** The same for one that doesn't answer at all. */
  std::chrono::milliseconds silent_for{650};
  /** The same for one that takes connections and doesn't answer on them, as an
   * overloaded member may do for a while. */
  std::chrono::milliseconds slow_for{4000};
};

/** Counts the failures since the last answer. A busy primary is alive. */
class PrimaryWatch {
 public:
  explicit PrimaryWatch(WatchSettings watch_settings = {});

  /** Takes the outcome of a question that was sent at the given time. */
  void OnOutcome(std::chrono::steady_clock::time_point asked,
                 MemberResponse response);

  /** Forgets the failures, for a new primary or after the watching process was
   * suspended: what it missed then proves nothing. */
  void Reset();

  bool Lost(std::chrono::steady_clock::time_point now) const;

 private:
  WatchSettings settings;
  int failures = 0;
  bool all_refused = true;
  std::optional<std::chrono::steady_clock::time_point> first_failure;
  std::optional<std::chrono::steady_clock::time_point> slow_since;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_PRIMARY_WATCH_H_
