#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_PRIMARY_FAILURE_DETECTOR_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_PRIMARY_FAILURE_DETECTOR_H_

// Defines PrimaryFailureDetector, which decides from a primary's responses
// whether the primary is lost.

#include <chrono>
#include <optional>

#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** When a primary counts as lost. */
struct FailureDetectorSettings {
  /** The fewest consecutive failures. The port closes the connection after a
   * failure, so each but the first is over a new connection. */
  int min_failures = 2;
  /** The time since the first failed request after which a primary is lost if
   * every failure was a refused connection, that is, if its VM answers that no
   * process listens. */
  std::chrono::milliseconds refused_timeout{300};
  /** The same if any of the requests got no answer at all. */
  std::chrono::milliseconds silent_timeout{650};
  /** The same for a primary that accepts connections but doesn't answer on
   * them, as an overloaded member may do for a while. */
  std::chrono::milliseconds slow_timeout{4000};
};

/** Counts the failures since the last answer. A response that the primary is
 * busy counts as an answer. */
class PrimaryFailureDetector {
 public:
  explicit PrimaryFailureDetector(
      FailureDetectorSettings detector_settings = {});

  /** Takes the response to a request that was sent at the given time. */
  void OnResponse(std::chrono::steady_clock::time_point asked_at,
                  MemberResponse response);

  /** Clears the failures, for a new primary or after this process was
   * suspended: it may have missed answers during that time. */
  void Reset();

  bool Lost(std::chrono::steady_clock::time_point now) const;

 private:
  FailureDetectorSettings settings;
  int failures = 0;
  bool all_refused = true;
  std::optional<std::chrono::steady_clock::time_point> first_failure;
  std::optional<std::chrono::steady_clock::time_point> slow_since;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_PRIMARY_FAILURE_DETECTOR_H_
