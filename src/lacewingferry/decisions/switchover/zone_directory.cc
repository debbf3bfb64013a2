#include "lacewingferry/decisions/switchover/zone_directory.h"

#include <string>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Proxies that lost the former leader have found the new one by then. */
constexpr milliseconds kReportsComplete{1500};

}  // namespace

void ZoneDirectory::Restart(steady_clock::time_point now) {
  this->zones.clear();
  this->made.clear();
  this->complete_from = now + kReportsComplete;
}

void ZoneDirectory::OnReport(steady_clock::time_point now, const NodeId& node,
                             const AvailabilityZone& zone, bool draining) {
  Heard& heard = this->zones[zone];
  const bool known = heard.count(node) > 0;
  if (draining) {
    heard.erase(node);
  } else {
    heard[node] = now;
  }
  if (heard.empty()) this->zones.erase(zone);
  if (known == draining) this->made.clear();
}

void ZoneDirectory::DropSilent(steady_clock::time_point now) {
  for (auto zone = this->zones.begin(); zone != this->zones.end();) {
    Heard& heard = zone->second;
    for (auto proxy = heard.begin(); proxy != heard.end();) {
      const bool silent = now - proxy->second > this->silence;
      if (silent) this->made.clear();
      proxy = silent ? heard.erase(proxy) : std::next(proxy);
    }
    zone = heard.empty() ? this->zones.erase(zone) : std::next(zone);
  }
}

std::optional<ZoneProxies> ZoneDirectory::Of(steady_clock::time_point now,
                                             const AvailabilityZone& zone) {
  if (now < this->complete_from) return std::nullopt;
  const auto known = this->made.find(zone);
  if (known != this->made.end()) return known->second;
  const auto heard = this->zones.find(zone);
  if (heard == this->zones.end()) return std::nullopt;
  return this->made[zone] = this->Make(heard->second);
}

ZoneProxies ZoneDirectory::Make(const Heard& heard) const {
  ZoneProxies proxies;
  proxies.zones = static_cast<std::uint32_t>(this->zones.size());
  const std::string key = std::to_string(proxies.zones);
  proxies.proxies.reserve(heard.size());
  for (const auto& entry : heard) {
    proxies.proxies.push_back(entry.first);
    proxies.digest += RendezvousWeight(key, entry.first.Value());
  }
  proxies.digest |= 1U;
  return proxies;
}

}  // namespace lacewingferry
