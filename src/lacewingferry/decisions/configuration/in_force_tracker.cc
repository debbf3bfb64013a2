#include "lacewingferry/decisions/configuration/in_force_tracker.h"

#include <algorithm>
#include <iterator>

namespace lacewingferry {

void InForceTracker::Report(const NodeId& node, std::uint64_t incarnation,
                            std::uint64_t revision) {
  Reported& reported = this->reports[node];
  if (incarnation < reported.incarnation) {
    return;
  }
  if (incarnation > reported.incarnation) {
    reported = Reported{incarnation, revision};
    return;
  }
  reported.revision = std::max(reported.revision, revision);
}

InForceSummary InForceTracker::Summarize(
    const ConfigurationInForce& configuration) {
  this->RemoveUnlisted(configuration);
  InForceSummary summary;
  summary.revision = configuration.revision;
  summary.total = configuration.proxies.size();
  for (const auto& [id, proxy] : configuration.proxies) {
    const auto report = this->reports.find(id);
    const std::uint64_t revision =
        report == this->reports.end() ? 0 : report->second.revision;
    if (revision >= configuration.revision) {
      ++summary.in_force;
    } else {
      summary.lagging.push_back(LaggingNode{id, revision});
    }
  }
  return summary;
}

void InForceTracker::RemoveUnlisted(const ConfigurationInForce& configuration) {
  for (auto i = this->reports.begin(); i != this->reports.end();) {
    const bool named = configuration.proxies.count(i->first) != 0;
    i = named ? std::next(i) : this->reports.erase(i);
  }
}

}  // namespace lacewingferry
