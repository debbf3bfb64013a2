#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_TABLE_H_

// Defines MembershipTable, the newest record of each process and member.

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
 * Holds the newest record of each subject and the hashes by which two tables
 * are compared. The hashes count records that are alive only, so that a record
 * of one that is gone can be dropped after a while without a difference.
 */
class MembershipTable {
 public:
  static constexpr std::size_t kBuckets = 64;

  explicit MembershipTable(MembershipFaults seeded) : faults(seeded) {}

  /** Takes a record if it is newer than the one held; says whether it was. */
  bool Apply(std::chrono::steady_clock::time_point now,
             const MembershipRecord& record);

  /** The record of a process, of a member, or of a key; null if unknown. */
  const MembershipRecord* Find(const NodeId& node) const;
  const MembershipRecord* Find(const MemberId& member) const;
  const MembershipRecord* Find(std::uint64_t key) const;

  /** Calls back with each process, or each member, that is not gone. */
  void EachNode(const std::function<void(const NodeState&)>& visit) const;
  void EachMember(
      const std::function<void(const MemberAnnouncement&)>& visit) const;

  /** The hash over all records, and over those of each bucket. */
  std::uint64_t Root() const;
  std::vector<std::uint64_t> BucketHashes() const;

  /** All versions in a bucket, with those of subjects that are gone. */
  std::vector<KeyVersion> Versions(std::uint32_t bucket) const;

  /** The bucket of a key. */
  static std::uint32_t BucketOf(std::uint64_t key);

  /** Drops the records of subjects that were gone before a time. */
  void DropGone(std::chrono::steady_clock::time_point before);

 private:
  struct Held {
    MembershipRecord record;
    std::chrono::steady_clock::time_point taken;
  };

  std::array<std::map<std::uint64_t, Held>, kBuckets> buckets;
  std::array<std::uint64_t, kBuckets> hashes{};
  MembershipFaults faults;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
