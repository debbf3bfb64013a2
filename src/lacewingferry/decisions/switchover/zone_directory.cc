#include "lacewingferry/decisions/switchover/zone_directory.h"

#include <string>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Long enough for proxies to find a new control leader and report to it. */
constexpr milliseconds kReportCollectionTime{1500};
/** Proxies that start together find the leader closer together than this. */
constexpr milliseconds kJoinPause{200};

}  // namespace

void ZoneDirectory::Reset(steady_clock::time_point now, bool just_started) {
  this->zones.clear();
  this->cache.clear();
  this->complete_from = now + kReportCollectionTime;
  this->last_joined = now;
  this->started_with_fleet = just_started;
  this->lists_in_use = false;
  this->given = false;
  this->completion_taken = false;
}

bool ZoneDirectory::TakeCompleted(steady_clock::time_point now) {
  if (this->completion_taken || this->zones.empty()) return false;
  this->completion_taken = this->IsComplete(now);
  return this->completion_taken;
}

bool ZoneDirectory::IsComplete(steady_clock::time_point now) const {
  if (now >= this->complete_from || this->given) return true;
  return this->started_with_fleet && !this->lists_in_use &&
         now >= this->last_joined + kJoinPause;
}

void ZoneDirectory::OnReport(steady_clock::time_point now, const NodeId& node,
                             const AvailabilityZone& zone, bool draining,
                             bool knows_list) {
  LastReports& reports = this->zones[zone];
  const bool known = reports.count(node) > 0;
  if (!known && !draining) this->last_joined = now;
  if (knows_list && !this->given) this->lists_in_use = true;
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
  if (!this->IsComplete(now)) return std::nullopt;
  const auto known = this->cache.find(zone);
  if (known != this->cache.end()) return known->second;
  const auto reports = this->zones.find(zone);
  if (reports == this->zones.end()) return std::nullopt;
  this->given = true;
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
