#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_TABLE_H_

// Defines MembershipTable, which stores the newest record of each process and
// member.

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/decisions/membership/membership_faults.h"

namespace lacewingferry {

/**
 * Stores the newest record of each process and member, and the hashes by which
 * two tables are compared. A record that is marked gone is a tombstone. The
 * hashes exclude tombstones, so that purging one does not make two tables
 * differ.
 */
class MembershipTable {
 public:
  static constexpr std::size_t kBuckets = 64;

  explicit MembershipTable(MembershipFaults injected_faults)
      : faults(injected_faults) {}

  /** Stores a record if it is newer than the stored one. Returns whether it
   * was stored. */
  bool Apply(std::chrono::steady_clock::time_point now,
             const MembershipRecord& record);

  /** The record of a process, a member or a key hash; null if unknown. */
  const MembershipRecord* Find(const NodeId& node) const;
  const MembershipRecord* Find(const MemberId& member) const;
  const MembershipRecord* Find(std::uint64_t key) const;

  /** Visits each process, or each member, that is not gone. */
  void ForEachNode(const std::function<void(const NodeState&)>& visit) const;
  void ForEachMember(
      const std::function<void(const MemberAnnouncement&)>& visit) const;

  /** The hash over all live records, and those over the live records of each
   * bucket. */
  std::uint64_t RootHash() const;
  std::vector<std::uint64_t> BucketHashes() const;

  /** The versions of all records in a bucket, including tombstones. */
  std::vector<KeyVersion> VersionsInBucket(std::uint32_t bucket) const;

  static std::uint32_t BucketOf(std::uint64_t key);

  /** Removes the tombstones that were stored before a time. */
  void PurgeTombstones(std::chrono::steady_clock::time_point before);

 private:
  struct Entry {
    MembershipRecord record;
    std::chrono::steady_clock::time_point applied_at;
  };

  std::array<std::map<std::uint64_t, Entry>, kBuckets> buckets;
  std::array<std::uint64_t, kBuckets> hashes{};
  MembershipFaults faults;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
