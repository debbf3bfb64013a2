#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_PROMOTION_CALLS_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_PROMOTION_CALLS_H_

// Defines PromotionCalls, the calls for promotions that a control leader makes
// for one group of members.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/decisions/switchover/promotion_record.h"
#include "lacewingferry/decisions/switchover/switchover_context.h"

namespace lacewingferry {

/**
 * The platform checks no fence, and a call may take effect after its caller
 * gave it up or was replaced. So a call is open from its writing until it is
 * known that it has no effect, that its effect was the one that was seen, or
 * that it can't take effect any more. While calls are open, only the member
 * that they name may become or stay the primary: then a late effect changes
 * nothing.
 *
 * At any time all open calls of a group name one member. A new leader doesn't
 * know of its predecessors' calls, and assumes open ones for the member that
 * was chosen last, by the control log.
 *
 * What bounds an open call is outside the process: the caller's kernel drops
 * what the platform hasn't received within promotion_delivery_limit, and the
 * platform carries out what it took within promotion_effect_limit.
 *
 * It exists from the beginning of a leader's office to its end, through all
 * terms of the group.
 */
class PromotionCalls : public std::enable_shared_from_this<PromotionCalls> {
 public:
  PromotionCalls(const SwitchoverContext& shared, DatabaseId group,
                 std::chrono::steady_clock::time_point office_began);

  /** Whether a call may be made. Not in the first time of an office, in which
   * a call of the former leader may still arrive, nor beside another. */
  bool MayCall(std::chrono::steady_clock::time_point now) const;

  /** The only member that may become or stay the primary, since a call for its
   * promotion may be open; none if no call is. */
  std::optional<MemberId> OnlyCandidate(
      std::chrono::steady_clock::time_point now,
      const DatabaseTerm& entry) const;

  /** Calls for the promotion of a term's primary; member_term is the newest
   * term that its group's members have told. Asks allowed right before the
   * call is written, and calls done once, unless the office ended. */
  void Call(const DatabaseTerm& entry, std::uint64_t member_term,
            std::function<bool()> allowed,
            std::function<void(PromotionResult)> done);

  /** Takes that a member was seen leading a term. The only call that can have
   * brought that about isn't open any more. */
  void OnLeads(const MemberId& member, std::uint64_t member_term);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** The calls of this office that are open. */
  struct OpenCalls {
    MemberId member;
    /** How many were written and aren't known to have no effect. */
    std::size_t written = 0;
    TimePoint expire_at;
    /** The first of them, and what the members' newest term was then. */
    std::uint64_t first_call = 0;
    std::uint64_t first_member_term = 0;
    /** Whether no call of a former leader was open when it was written. */
    bool alone = false;
  };

  bool FormerCallsOpen(TimePoint now) const;
  bool OwnCallsOpen(TimePoint now) const;
  void OnWritten(const MadeCall& made, std::uint64_t member_term);
  void OnEnded(const MadeCall& made, const PromotionOutcome& outcome);

  const SwitchoverContext& context;
  DatabaseId database;
  TimePoint office_began;
  std::uint64_t last_call = 0;
  /** The call that has no outcome yet, and the one that was written last. */
  std::optional<std::uint64_t> in_flight;
  std::uint64_t last_written = 0;
  OpenCalls open;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_PROMOTION_CALLS_H_
