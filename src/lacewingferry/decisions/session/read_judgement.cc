#include "lacewingferry/decisions/session/read_judgement.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

/** In a group up to this size a replica and the primary are a majority. */
constexpr std::uint32_t kLargestPairMajority = 3;

ReadVerdict Refuse(RefusalCode code, std::string detail) {
  ReadVerdict verdict;
  verdict.refusal = NotRun{code, std::move(detail)};
  return verdict;
}

bool LacksSession(const ReadEvidence& evidence) {
  return evidence.session_position &&
         evidence.before.applied < *evidence.session_position;
}

bool YoungEnough(const ReadEvidence& evidence) {
  if (!evidence.max_age) return true;
  if (evidence.age && *evidence.age <= *evidence.max_age) return true;
  return evidence.fresh_position &&
         evidence.before.applied >= *evidence.fresh_position;
}

LogPosition WithSession(const ReadEvidence& evidence, LogPosition position) {
  return std::max(position, evidence.session_position.value_or(LogPosition{}));
}

/** What is confirmed of that which a replica showed. A mark of another term
 * says nothing: the replica's tail may not be in that term's log. */
LogPosition ConfirmedPart(const ReadEvidence& evidence) {
  const LogPosition& seen = evidence.after.applied;
  if (evidence.confirmed.term != seen.term) return {};
  return std::min(seen, evidence.confirmed);
}

ReadVerdict JudgeAtPrimary(const ReadEvidence& evidence) {
  const bool leads = evidence.before.primary && evidence.after.primary &&
                     evidence.before.term == evidence.view_term &&
                     evidence.after.term == evidence.view_term;
  if (!leads) {
    return Refuse(RefusalCode::kNoPrimary,
                  "the member is not the primary of this term");
  }
  if (LacksSession(evidence)) {
    // A later term than the view's means that the view is late; the primary of
    // the session's own term or a later one has lost what the session saw.
    if (evidence.session_position->term > evidence.view_term) {
      return Refuse(RefusalCode::kNoPrimary,
                    "the session has seen a later term than this proxy");
    }
    return Refuse(RefusalCode::kTermLost,
                  "the database no longer holds what the session has seen of "
                  "term " +
                      std::to_string(evidence.session_position->term));
  }
  ReadVerdict verdict;
  verdict.position = WithSession(evidence, evidence.after.applied);
  verdict.await_confirmation = evidence.confirmed < evidence.after.applied;
  return verdict;
}

ReadVerdict JudgeAtReplica(const ReadEvidence& evidence) {
  if (evidence.before.primary || evidence.after.primary) {
    return Refuse(RefusalCode::kNoReplicaFreshEnough,
                  "the member believes that it is the primary");
  }
  if (LacksSession(evidence)) {
    return Refuse(RefusalCode::kNoReplicaFreshEnough,
                  "the member has not yet applied the session's writes");
  }
  if (!YoungEnough(evidence)) {
    return Refuse(RefusalCode::kNoReplicaFreshEnough,
                  "the member's data is not proven to be of the stated age");
  }
  const LogPosition& seen = evidence.after.applied;
  const bool on_majority = evidence.counted &&
                           seen.term == evidence.after.term &&
                           evidence.group_size <= kLargestPairMajority;
  ReadVerdict verdict;
  verdict.position =
      WithSession(evidence, on_majority ? seen : ConfirmedPart(evidence));
  return verdict;
}

}  // namespace

ReadVerdict JudgeRead(const ReadEvidence& evidence) {
  return evidence.primary ? JudgeAtPrimary(evidence) : JudgeAtReplica(evidence);
}

}  // namespace lacewingferry
