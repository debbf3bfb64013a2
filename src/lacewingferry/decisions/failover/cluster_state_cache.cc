#include "lacewingferry/decisions/failover/cluster_state_cache.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** The primary of a database by the view, if the proxy owns connections to it;
 * else nullptr. */
const RoutedMember* OwnedPrimary(const DatabaseView& database,
                                 const NodeId& proxy) {
  for (const RoutedMember& member : database.members) {
    if (member.info.id != database.primary) continue;
    for (const SlotShare& share : member.owners) {
      if (share.owner == proxy) return &member;
    }
  }
  return nullptr;
}

}  // namespace

bool ClusterStateCache::OnUpdate(const ClusterUpdate& update) {
  bool changed = false;
  for (const DatabaseTerm& entry : update.databases) {
    DatabaseTerm& known = this->databases[entry.database];
    if (entry.revision <= known.revision) continue;
    known = entry;
    changed = true;
  }
  // An update that starts after the known revision leaves a gap. Its entries
  // are used, but the known revision stays, so that the gap is requested again.
  if (update.from_revision <= this->revision) {
    this->revision = std::max(this->revision, update.revision);
  }
  return changed;
}

const DatabaseTerm* ClusterStateCache::Find(const DatabaseId& database) const {
  const auto found = this->databases.find(database);
  return found == this->databases.end() ? nullptr : &found->second;
}

void ClusterStateCache::Overlay(RoutingView& view) const {
  for (auto& item : view.databases) {
    const DatabaseTerm* entry = this->Find(item.first);
    if (entry == nullptr) continue;
    DatabaseView& database = item.second;
    database.term = entry->term;
    database.primary = entry->primary;
    database.group_size = entry->group_size;
    database.counted_members = entry->members;
  }
}

std::vector<DatabaseStamp> ClusterStateCache::OwnedStamps(
    const RoutingView& view, const NodeId& proxy) const {
  std::vector<DatabaseStamp> stamps;
  for (const auto& item : this->databases) {
    const auto database = view.databases.find(item.first);
    if (database == view.databases.end()) continue;
    if (OwnedPrimary(database->second, proxy) == nullptr) continue;
    stamps.push_back(DatabaseStamp{item.first, item.second.term,
                                   item.second.members_revision});
  }
  return stamps;
}

std::vector<WatchedPrimary> ClusterStateCache::OwnedPrimaries(
    const RoutingView& view, const NodeId& proxy) const {
  std::vector<WatchedPrimary> primaries;
  for (const auto& item : this->databases) {
    const auto database = view.databases.find(item.first);
    if (database == view.databases.end()) continue;
    const RoutedMember* primary = OwnedPrimary(database->second, proxy);
    if (primary == nullptr) continue;
    primaries.push_back(WatchedPrimary{item.second.term, primary->info});
  }
  return primaries;
}

}  // namespace lacewingferry
