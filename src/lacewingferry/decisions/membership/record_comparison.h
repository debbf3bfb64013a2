#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_RECORD_COMPARISON_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_RECORD_COMPARISON_H_

// Defines RecordComparison, the steps by which two tables find and exchange
// the records that differ.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/membership/delta_outbox.h"
#include "lacewingferry/decisions/membership/membership_table.h"

namespace lacewingferry {

/**
 * Compares this process's table with a peer's: first one hash, then a hash a
 * bucket, then the versions in the buckets that differ, and then the records
 * that are newer on either side. Each comparison covers a part of the buckets
 * only, so that a zone which was cut off for long is caught up in steps.
 */
class RecordComparison {
 public:
  using SendHook =
      std::function<void(const std::string& peer_url, const PeerBody& body)>;

  RecordComparison(MembershipTable& table, DeltaOutbox& outbox, SendHook send);

  /** Begins a comparison. */
  void Begin(const std::string& peer_url);

  /** Answers with the buckets, and with the zones that can't be reached. */
  void OnDigest(const std::string& peer_url, const MembershipDigest& digest,
                const std::vector<UnreachableZone>& unreachable);

  /** Goes on with the buckets that differ. Returns whether none did. */
  bool OnBuckets(const std::string& peer_url, const MembershipBuckets& theirs);

  /** Sends what is newer here and asks for what is newer there. */
  void OnVersions(std::chrono::steady_clock::time_point now,
                  const std::string& peer_url,
                  const MembershipVersions& theirs);

  /** Sends the records that were asked for. */
  void OnPull(std::chrono::steady_clock::time_point now,
              const std::string& peer_url, const MembershipPull& pull);

 private:
  MembershipTable& table;
  DeltaOutbox& outbox;
  SendHook send;
  std::uint32_t first_bucket = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_RECORD_COMPARISON_H_
