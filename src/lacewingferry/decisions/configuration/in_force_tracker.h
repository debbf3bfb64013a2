#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_IN_FORCE_TRACKER_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_IN_FORCE_TRACKER_H_

// Defines InForceTracker, which tracks the configuration revision that each
// proxy runs.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** A proxy that runs an earlier revision than the one in force; revision 0 if
 * it has reported none. */
struct LaggingNode {
  NodeId id;
  std::uint64_t revision = 0;
};

/** Which proxies run the revision in force. */
struct InForceSummary {
  std::uint64_t revision = 0;
  /** The number of proxies that run the revision, out of `total` proxies that
   * the configuration lists. */
  std::size_t in_force = 0;
  std::size_t total = 0;
  /** The other proxies, ordered by name. */
  std::vector<LaggingNode> lagging;
};

/** Collects the revisions that proxies report. Used on the control thread
 * only. */
class InForceTracker {
 public:
  /**
   * Records a proxy's report. Within one run of the proxy the recorded revision
   * never decreases, so late and duplicated reports have no effect. A larger
   * incarnation is a later run of the proxy and replaces the recorded revision.
   * Reports of earlier runs are ignored.
   */
  void Report(const NodeId& node, std::uint64_t incarnation,
              std::uint64_t revision);

  /** Compares the reports with the configuration, and drops reports of proxies
   * that it does not list. */
  InForceSummary Summarize(const ConfigurationInForce& configuration);

 private:
  /** The last report of a proxy. */
  struct Reported {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
  };

  void RemoveUnlisted(const ConfigurationInForce& configuration);

  std::map<NodeId, Reported> reports;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_IN_FORCE_TRACKER_H_
