#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_RECORD_COMPARISON_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_RECORD_COMPARISON_H_

// Defines RecordComparison, the protocol by which two processes find and
// exchange the records in which their tables differ.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/membership/delta_outbox.h"
#include "lacewingferry/decisions/membership/membership_table.h"

namespace lacewingferry {

/**
 * Compares the table of this process with that of a peer. The two exchange a
 * hash of the whole table, then the hash of each bucket, then the versions in
 * the buckets that differ, and last the records that are newer on either side.
 * Each comparison covers a limited number of buckets, so that a zone that was
 * partitioned for long catches up in steps.
 */
class RecordComparison {
 public:
  using SendHook =
      std::function<void(const std::string& peer_url, const PeerBody& body)>;

  RecordComparison(MembershipTable& table, DeltaOutbox& outbox, SendHook send);

  /** Sends the hash of the table to a peer. */
  void Start(const std::string& peer_url);

  /** Answers with the bucket hashes, if the tables differ, and with the
   * unreachable zones. */
  void OnDigest(const std::string& peer_url, const MembershipDigest& digest,
                const std::vector<UnreachableZone>& unreachable);

  /** Sends the versions in the buckets that differ. Returns whether none
   * differs. */
  bool OnBuckets(const std::string& peer_url, const MembershipBuckets& theirs);

  /** Sends the records that are newer here and requests those that are newer at
   * the peer. */
  void OnVersions(std::chrono::steady_clock::time_point now,
                  const std::string& peer_url,
                  const MembershipVersions& theirs);

  /** Sends the requested records. */
  void OnPull(std::chrono::steady_clock::time_point now,
              const std::string& peer_url, const MembershipPull& pull);

 private:
  MembershipTable& table;
  DeltaOutbox& outbox;
  SendHook send;
  std::uint32_t next_bucket = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_RECORD_COMPARISON_H_
