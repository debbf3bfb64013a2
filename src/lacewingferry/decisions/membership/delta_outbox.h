#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_DELTA_OUTBOX_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_DELTA_OUTBOX_H_

// Defines DeltaOutbox, which repeats deltas until they are acknowledged.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/messages/membership_messages.h"

namespace lacewingferry {

/** Collects the records for each receiver, sends them in batches and repeats
 * a batch a few times. What is still lost then is found by the digests. */
class DeltaOutbox {
 public:
  using SendHook = std::function<void(const std::string& peer_url,
                                      const MembershipDelta& delta)>;

  explicit DeltaOutbox(SendHook send_hook) : send(std::move(send_hook)) {}

  /** Adds a record to a receiver's next batch. */
  void Add(const std::string& peer_url, const MembershipRecord& record);

  /** Sends records that a comparison found. */
  void SendCompared(std::chrono::steady_clock::time_point now,
                    const std::string& peer_url,
                    const std::vector<MembershipRecord>& records);

  /** Sends the batches that were begun. */
  void Flush(std::chrono::steady_clock::time_point now);

  /** Repeats what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Takes an acknowledgement. */
  void OnAck(std::uint64_t delta_id);

  /** Drops what waits for a receiver that is gone. */
  void Forget(const std::string& peer_url);

 private:
  struct Sent {
    std::string peer_url;
    MembershipDelta delta;
    std::chrono::steady_clock::time_point due;
    int attempts = 1;
  };

  void SendAll(std::chrono::steady_clock::time_point now,
               const std::string& peer_url,
               const std::vector<MembershipRecord>& records, bool compared);

  SendHook send;
  std::map<std::string, std::vector<MembershipRecord>> collected;
  std::map<std::uint64_t, Sent> unacknowledged;
  std::uint64_t last_id = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_DELTA_OUTBOX_H_
