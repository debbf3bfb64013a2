#include "lacewingferry/decisions/choice/member_choice.h"

#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Whether the time to an outcome is representative of an answer. Otherwise a
 * member that refuses at once would look like the fastest. */
bool ReflectsAnswerTime(const Outcome& outcome) {
  const auto* refusal = std::get_if<NotRun>(&outcome);
  return refusal == nullptr ||
         refusal->code == RefusalCode::kNoReplicaFreshEnough;
}

std::optional<milliseconds> ReportedAge(const Outcome& outcome) {
  if (const auto* answer = std::get_if<Answered>(&outcome)) {
    return answer->age_bound;
  }
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    return refusal->replica_age;
  }
  return std::nullopt;
}

}  // namespace

MemberChoice::MemberChoice(std::uint64_t seed, BreakerHook on_change)
    : guards(seed, std::move(on_change)) {}

void MemberChoice::Rebuild(steady_clock::time_point now,
                           const DatabaseView* view,
                           const AvailabilityZone& zone, const NodeId& node) {
  this->routes.Rebuild(view, zone, node);
  this->guards.Rebuild(now, view);
}

std::optional<RouteDecision> MemberChoice::ChooseForRead(
    steady_clock::time_point now, const StatementRequest& request,
    const MemberSet& tried) {
  for (std::size_t place = 0; place < this->guards.MemberCount(); ++place) {
    this->routes.ObserveSilence(place, this->guards.Silence(now, place));
  }
  const auto due = this->guards.TrialDue(now);
  if (due && !tried.Has(*due)) {
    const auto trial =
        this->routes.Choose(now, request, this->guards.AllBut(*due));
    if (trial) return trial;
  }
  MemberSet excluded = tried;
  excluded.Add(this->guards.PassedOver(now));
  const auto decision = this->routes.Choose(now, request, excluded);
  return decision ? decision : this->routes.Choose(now, request, tried);
}

std::optional<RouteDecision> MemberChoice::Choose(
    steady_clock::time_point now, const StatementRequest& request,
    const MemberSet& tried) {
  if (request.kind != RequestKind::kRead) {
    return this->routes.Choose(now, request, tried);
  }
  const auto decision = this->ChooseForRead(now, request, tried);
  if (decision) this->guards.OnSent(now, decision->place);
  return decision;
}

void MemberChoice::OnOutcome(steady_clock::time_point now,
                             const EndedAttempt& attempt,
                             const Outcome& outcome) {
  if (ReflectsAnswerTime(outcome)) {
    this->routes.Observe(attempt.place, attempt.took);
  }
  const auto age = ReportedAge(outcome);
  if (age) this->routes.ObserveAge(now, attempt.place, *age);
  if (!attempt.read) return;
  const bool returned = this->guards.OnOutcome(now, attempt.place, outcome);
  if (returned) this->routes.ResetEstimate(attempt.place);
}

}  // namespace lacewingferry
