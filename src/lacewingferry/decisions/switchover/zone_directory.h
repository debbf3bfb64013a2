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

  /** Forgets all proxies when this process becomes the control leader. */
  void Reset(std::chrono::steady_clock::time_point now);

  /** Records a report. A draining proxy accepts no sessions and is left out. */
  void OnReport(std::chrono::steady_clock::time_point now, const NodeId& node,
                const AvailabilityZone& zone, bool draining);

  /** Removes the proxies whose last report is too old. */
  void DropSilent(std::chrono::steady_clock::time_point now);

  /** The proxies of a zone; none while some may not have reported yet or while
   * the zone has none. */
  std::optional<ZoneProxies> ProxiesIn(
      std::chrono::steady_clock::time_point now, const AvailabilityZone& zone);

 private:
  using LastReports = std::map<NodeId, std::chrono::steady_clock::time_point>;

  ZoneProxies Build(const LastReports& reports) const;

  std::chrono::milliseconds report_timeout;
  std::chrono::steady_clock::time_point complete_from;
  std::map<AvailabilityZone, LastReports> zones;
  /** The lists that were built since the last change. */
  std::map<AvailabilityZone, ZoneProxies> cache;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_
