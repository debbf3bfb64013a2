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
enum class InquiryVerdict : std::uint8_t {
  kOpen,
  /** A majority of the members has lost the primary. */
  kLost,
  /** It could not be proved that the primary is lost. */
  kNotProven,
};

/**
 * Asks, for each replica, an owner of its connections to probe the primary and
 * the replica from the replica's own zone. A replica has lost the primary if
 * it answers itself while the primary doesn't answer from there.
 *
 * The primary is lost when the replicas that lost it are a majority of the
 * whole group. Then it can't acknowledge writes, whether it is dead or on the
 * smaller side of a cut, and those that replace it can be reached. A single
 * observer that can't reach the primary proves a cut, not a death: as long as
 * the primary may have a majority, it stays. What the primary's own zone sees
 * doesn't count, since a primary that is cut off looks alive there.
 */
class PrimaryInquiry {
 public:
  /** Starts to ask. The context must outlive the inquiry. */
  PrimaryInquiry(std::chrono::steady_clock::time_point now,
                 const FailoverContext& context, const DatabaseTerm& entry,
                 std::uint64_t inquiry_id);

  /** Takes an observer's answer. */
  void OnReply(const ObserveReply& reply);

  /** Asks further owners when it is due, and ends at the limit. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** What has been found. */
  InquiryVerdict Verdict() const { return this->verdict; }

  std::uint64_t Term() const { return this->entry.term; }

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

 private:
  void AskAll();
  void Judge();

  const FailoverContext& context;
  DatabaseTerm entry;
  std::uint64_t inquiry_id;
  std::chrono::steady_clock::time_point limit;
  std::chrono::steady_clock::time_point next_ask;
  std::size_t asked = 0;
  /** Whether each replica that was reported on has lost the primary. */
  std::map<MemberId, bool> lost;
  InquiryVerdict verdict = InquiryVerdict::kOpen;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_INQUIRY_H_
