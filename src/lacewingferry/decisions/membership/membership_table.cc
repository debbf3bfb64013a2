#include "lacewingferry/decisions/membership/membership_table.h"

#include <string>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

std::uint64_t KeyOf(const NodeId& node) {
  return RendezvousWeight("node", node.Value());
}

std::uint64_t KeyOf(const MemberId& member) {
  return RendezvousWeight("member", member.Value());
}

std::uint64_t KeyOf(const MembershipRecord& record) {
  if (const auto* node = std::get_if<NodeState>(&record.subject)) {
    return KeyOf(node->info.id);
  }
  return KeyOf(std::get<MemberAnnouncement>(record.subject).info.id);
}

/** A record's contribution to the hash of its bucket; 0 for a tombstone. */
std::uint64_t HashOf(std::uint64_t key, const MembershipRecord& record) {
  if (record.gone) return 0;
  const RecordVersion version = record.Version();
  return RendezvousWeight(std::to_string(key),
                          std::to_string(version.incarnation) + '.' +
                              std::to_string(version.sequence));
}

}  // namespace

std::uint32_t MembershipTable::BucketOf(std::uint64_t key) {
  return static_cast<std::uint32_t>(key % kBuckets);
}

bool MembershipTable::Apply(std::chrono::steady_clock::time_point now,
                            const MembershipRecord& record) {
  const std::uint64_t key = KeyOf(record);
  const std::uint32_t bucket = BucketOf(key);
  auto& records = this->buckets[bucket];
  const auto found = records.find(key);
  if (found != records.end()) {
    RecordVersion known = found->second.record.Version();
    RecordVersion offered = record.Version();
    if (this->faults.ignore_incarnation) {
      known.incarnation = offered.incarnation = 0;
    }
    const bool differs = known < offered || offered < known;
    const bool newer = known < offered;
    if (!newer && !(differs && this->faults.accept_older)) return false;
    this->hashes[bucket] ^= HashOf(key, found->second.record);
  }
  records[key] = Entry{record, now};
  this->hashes[bucket] ^= HashOf(key, record);
  return true;
}

const MembershipRecord* MembershipTable::Find(std::uint64_t key) const {
  const auto& records = this->buckets[BucketOf(key)];
  const auto found = records.find(key);
  return found == records.end() ? nullptr : &found->second.record;
}

const MembershipRecord* MembershipTable::Find(const NodeId& node) const {
  return this->Find(KeyOf(node));
}

const MembershipRecord* MembershipTable::Find(const MemberId& member) const {
  return this->Find(KeyOf(member));
}

void MembershipTable::ForEachNode(
    const std::function<void(const NodeState&)>& visit) const {
  for (const auto& bucket : this->buckets) {
    for (const auto& entry : bucket) {
      const MembershipRecord& record = entry.second.record;
      const auto* node = std::get_if<NodeState>(&record.subject);
      if (node != nullptr && !record.gone) visit(*node);
    }
  }
}

void MembershipTable::ForEachMember(
    const std::function<void(const MemberAnnouncement&)>& visit) const {
  for (const auto& bucket : this->buckets) {
    for (const auto& entry : bucket) {
      const MembershipRecord& record = entry.second.record;
      const auto* member = std::get_if<MemberAnnouncement>(&record.subject);
      if (member != nullptr && !record.gone) visit(*member);
    }
  }
}

std::uint64_t MembershipTable::RootHash() const {
  std::uint64_t root = 0;
  for (const std::uint64_t hash : this->hashes) root ^= hash;
  return root;
}

std::vector<std::uint64_t> MembershipTable::BucketHashes() const {
  return {this->hashes.begin(), this->hashes.end()};
}

std::vector<KeyVersion> MembershipTable::VersionsInBucket(
    std::uint32_t bucket) const {
  std::vector<KeyVersion> versions;
  for (const auto& entry : this->buckets[bucket]) {
    versions.push_back(KeyVersion{entry.first, entry.second.record.Version()});
  }
  return versions;
}

void MembershipTable::PurgeTombstones(
    std::chrono::steady_clock::time_point before) {
  for (auto& bucket : this->buckets) {
    for (auto it = bucket.begin(); it != bucket.end();) {
      const bool purge =
          it->second.record.gone && it->second.applied_at < before;
      it = purge ? bucket.erase(it) : std::next(it);
    }
  }
}

}  // namespace lacewingferry
