#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_INQUIRY_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_INQUIRY_H_

// Defines PrimaryInquiry, which gathers evidence on whether a primary is lost.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/decisions/failover/failover_context.h"

namespace lacewingferry {

/** What an inquiry has found. */
enum class InquiryResult : std::uint8_t {
  kPending,
  /** A majority of the members has lost the primary. */
  kLost,
  /** It could not be proved that the primary is lost. */
  kNotProven,
};

/**
 * For each replica, asks a proxy that owns connections to it to probe the
 * primary and the replica from the replica's own zone. A replica has lost the
 * primary if the replica answers the proxy and the primary doesn't.
 *
 * The primary is lost when the replicas that lost it are a majority of the
 * whole group. Then it can't acknowledge writes, whether it has failed or is on
 * the minority side of a network partition, and the members that replace it can
 * be reached. A single observer that can't reach the primary proves a
 * partition, not a failure: as long as the primary may have a majority, it
 * stays. Observations from the primary's own zone don't count, since a primary
 * that is cut off looks alive there.
 */
class PrimaryInquiry {
 public:
  /** Sends the first requests. The context must outlive the inquiry. */
  PrimaryInquiry(std::chrono::steady_clock::time_point now,
                 const FailoverContext& context, const DatabaseTerm& entry,
                 std::uint64_t inquiry_id);

  /** Processes an observer's answer. */
  void OnReply(const ObserveReply& reply);

  /** Asks further proxies when it is due, and ends the inquiry at its
   * deadline. */
  void OnTick(std::chrono::steady_clock::time_point now);

  InquiryResult Result() const { return this->result; }

  std::uint64_t Term() const { return this->entry.term; }

  /** When OnTick must be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

 private:
  void SendRequests();
  void Evaluate();

  const FailoverContext& context;
  DatabaseTerm entry;
  std::uint64_t inquiry_id;
  std::chrono::steady_clock::time_point deadline;
  std::chrono::steady_clock::time_point next_request;
  std::size_t rounds = 0;
  /** For each replica that was reported on, whether it has lost the primary. */
  std::map<MemberId, bool> lost_primary;
  InquiryResult result = InquiryResult::kPending;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_INQUIRY_H_
