#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_

// Defines ZoneDirectory, which lists the proxies of each availability zone that
// accept sessions.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "lacewingferry/core/messages/fleet_messages.h"

namespace lacewingferry {

/**
 * Lists the proxies that report to the control leader. A new leader learns of
 * them one by one and gives out no list until all of them have had the time to
 * report: an incomplete list would move groups away from proxies that still
 * serve them.
 */
class ZoneDirectory {
 public:
  explicit ZoneDirectory(std::chrono::milliseconds timeout)
      : report_timeout(timeout) {}

  /** Forgets all proxies when this process becomes the control leader;
   * `just_started` says whether the process was started a moment ago. */
  void Reset(std::chrono::steady_clock::time_point now, bool just_started);

  /** Records a report. A draining proxy accepts no sessions and is left out.
   * `knows_list` says whether the proxy knows a list of its zone, so that the
   * fleet was running before this process became the leader. */
  void OnReport(std::chrono::steady_clock::time_point now, const NodeId& node,
                const AvailabilityZone& zone, bool draining, bool knows_list);

  /** Whether the lists became complete since the last call. Proxies have to be
   * told then, since their next reports may be far. */
  bool TakeCompleted(std::chrono::steady_clock::time_point now);

  /** Removes the proxies whose last report is too old. */
  void DropSilent(std::chrono::steady_clock::time_point now);

  /** The proxies of a zone; none while some may not have reported yet or while
   * the zone has none. If the whole fleet was started together, no list is in
   * use that one with gaps could contradict; the lists are then given as soon
   * as no further proxy has joined for a moment. Proxies that outlived the
   * control processes look for the leader all the time, so that they report by
   * then. */
  std::optional<ZoneProxies> ProxiesIn(
      std::chrono::steady_clock::time_point now, const AvailabilityZone& zone);

 private:
  using LastReports = std::map<NodeId, std::chrono::steady_clock::time_point>;

  ZoneProxies Build(const LastReports& reports) const;
  bool IsComplete(std::chrono::steady_clock::time_point now) const;

  std::chrono::milliseconds report_timeout;
  std::chrono::steady_clock::time_point complete_from;
  /** When a proxy was last heard of for the first time. */
  std::chrono::steady_clock::time_point last_joined;
  /** Whether this process was started shortly before it became the leader. */
  bool started_with_fleet = false;
  /** Whether any proxy knew a list before this process gave one. */
  bool lists_in_use = false;
  /** Whether this process has given a list. */
  bool given = false;
  /** Whether TakeCompleted has returned true. */
  bool completion_taken = false;
  std::map<AvailabilityZone, LastReports> zones;
  /** The lists that were built since the last change. */
  std::map<AvailabilityZone, ZoneProxies> cache;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_
