#include "lacewingferry/decisions/switchover/zone_directory.h"

#include <string>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Long enough for proxies to find a new control leader and report to it. */
constexpr milliseconds kReportCollectionTime{1500};

}  // namespace

void ZoneDirectory::Reset(steady_clock::time_point now) {
  this->zones.clear();
  this->cache.clear();
  this->complete_from = now + kReportCollectionTime;
}

void ZoneDirectory::OnReport(steady_clock::time_point now, const NodeId& node,
                             const AvailabilityZone& zone, bool draining) {
  LastReports& reports = this->zones[zone];
  const bool known = reports.count(node) > 0;
  if (draining) {
    reports.erase(node);
  } else {
    reports[node] = now;
  }
  if (reports.empty()) this->zones.erase(zone);
  if (known == draining) this->cache.clear();
}

void ZoneDirectory::DropSilent(steady_clock::time_point now) {
  for (auto zone = this->zones.begin(); zone != this->zones.end();) {
    LastReports& reports = zone->second;
    for (auto proxy = reports.begin(); proxy != reports.end();) {
      const bool silent = now - proxy->second > this->report_timeout;
      if (silent) this->cache.clear();
      proxy = silent ? reports.erase(proxy) : std::next(proxy);
    }
    zone = reports.empty() ? this->zones.erase(zone) : std::next(zone);
  }
}

std::optional<ZoneProxies> ZoneDirectory::ProxiesIn(
    steady_clock::time_point now, const AvailabilityZone& zone) {
  if (now < this->complete_from) return std::nullopt;
  const auto known = this->cache.find(zone);
  if (known != this->cache.end()) return known->second;
  const auto reports = this->zones.find(zone);
  if (reports == this->zones.end()) return std::nullopt;
  return this->cache[zone] = this->Build(reports->second);
}

ZoneProxies ZoneDirectory::Build(const LastReports& reports) const {
  ZoneProxies proxies;
  proxies.zones = static_cast<std::uint32_t>(this->zones.size());
  const std::string key = std::to_string(proxies.zones);
  proxies.proxies.reserve(reports.size());
  for (const auto& entry : reports) {
    proxies.proxies.push_back(entry.first);
    proxies.digest += RendezvousWeight(key, entry.first.Value());
  }
  proxies.digest |= 1U;
  return proxies;
}

}  // namespace lacewingferry
