#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_DELTA_OUTBOX_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_DELTA_OUTBOX_H_

// Defines DeltaOutbox, which resends deltas until they are acknowledged.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** Collects the records for each peer, sends them in batches, and resends each
 * batch a limited number of times until it is acknowledged. The comparison of
 * digests finds records that are lost even so. */
class DeltaOutbox {
 public:
  using SendHook = std::function<void(const std::string& peer_url,
                                      const MembershipDelta& delta)>;

  explicit DeltaOutbox(SendHook send_hook) : send(std::move(send_hook)) {}

  /** Adds a record to the next batch for a peer. */
  void Add(const std::string& peer_url, const MembershipRecord& record);

  /** Sends records that a comparison of tables found to be newer here, marked
   * as compared. */
  void SendComparisonResult(std::chrono::steady_clock::time_point now,
                            const std::string& peer_url,
                            const std::vector<MembershipRecord>& records);

  /** Sends all collected batches. */
  void Flush(std::chrono::steady_clock::time_point now);

  /** Resends the deltas whose acknowledgement is overdue; drops a delta after
   * the last attempt. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Stops resending a delta that a peer acknowledged. */
  void OnAck(std::uint64_t delta_id);

  /** Drops all collected and unacknowledged records for a peer that is gone. */
  void RemovePeer(const std::string& peer_url);

 private:
  struct SentDelta {
    std::string peer_url;
    MembershipDelta delta;
    std::chrono::steady_clock::time_point next_retry;
    int attempts = 1;
  };

  void SendBatches(std::chrono::steady_clock::time_point now,
                   const std::string& peer_url,
                   const std::vector<MembershipRecord>& records, bool compared);

  SendHook send;
  std::map<std::string, std::vector<MembershipRecord>> batches;
  std::map<std::uint64_t, SentDelta> unacknowledged;
  std::uint64_t last_id = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_DELTA_OUTBOX_H_
