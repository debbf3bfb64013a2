#include "lacewingferry/decisions/switchover/promotion_calls.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {

using std::chrono::steady_clock;

PromotionCalls::PromotionCalls(const SwitchoverContext& shared,
                               DatabaseId group, steady_clock::time_point began)
    : context(shared), database(std::move(group)), office_began(began) {}

bool PromotionCalls::FormerCallsOpen(steady_clock::time_point now) const {
  return now <
         this->office_began + this->context.settings.promotion_effect_limit;
}

bool PromotionCalls::OwnCallsOpen(steady_clock::time_point now) const {
  if (this->open.written == 0) return false;
  const bool unanswered = this->in_flight == this->last_written;
  return unanswered || now < this->open.expire_at;
}

bool PromotionCalls::MayCall(steady_clock::time_point now) const {
  if (this->in_flight) return false;
  return now >=
         this->office_began + this->context.settings.promotion_delivery_limit;
}

std::optional<MemberId> PromotionCalls::OnlyCandidate(
    steady_clock::time_point now, const DatabaseTerm& entry) const {
  if (this->OwnCallsOpen(now)) return this->open.member;
  if (!this->FormerCallsOpen(now)) return std::nullopt;
  const MemberId& last_chosen =
      entry.primary.Empty() ? entry.former_primary : entry.primary;
  if (last_chosen.Empty()) return std::nullopt;
  return last_chosen;
}

void PromotionCalls::Call(const DatabaseTerm& entry, std::uint64_t member_term,
                          std::function<bool()> allowed,
                          std::function<void(PromotionResult)> done) {
  MadeCall made;
  made.number = ++this->last_call;
  made.term = entry.term;
  made.call = {this->database, entry.primary, this->context.self,
               this->context.hooks.fence(),
               this->context.settings.promotion_delivery_limit};
  made.called_at = this->context.hooks.now();
  this->in_flight = made.number;
  this->context.hooks.events.record(MakeCalledRecord(made));
  const std::weak_ptr<PromotionCalls> weak = this->weak_from_this();
  PromotionCallHooks hooks;
  hooks.allowed = std::move(allowed);
  hooks.in_office = [weak] { return !weak.expired(); };
  // Both are recorded after the end of the office, too.
  hooks.written = [&shared = this->context, made, member_term, weak] {
    shared.hooks.events.record(MakeWrittenRecord(made));
    if (const auto self = weak.lock()) self->OnWritten(made, member_term);
  };
  hooks.done = [&shared = this->context, made, weak,
                done = std::move(done)](const PromotionOutcome& outcome) {
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        shared.hooks.now() - made.called_at);
    shared.hooks.events.record(MakeEndedRecord(made, outcome, took));
    shared.hooks.promotion_ended(outcome.result);
    const auto self = weak.lock();
    if (!self) return;
    self->OnEnded(made, outcome);
    done(outcome.result);
  };
  this->context.hooks.promotion.promote(made.call, std::move(hooks));
}

void PromotionCalls::OnWritten(const MadeCall& made,
                               std::uint64_t member_term) {
  const steady_clock::time_point now = this->context.hooks.now();
  if (!this->OwnCallsOpen(now)) {
    this->open = OpenCalls{};
    this->open.member = made.call.member;
    this->open.first_call = made.number;
    this->open.first_member_term = member_term;
    this->open.alone = !this->FormerCallsOpen(now);
  }
  ++this->open.written;
  this->last_written = made.number;
}

void PromotionCalls::OnEnded(const MadeCall& made,
                             const PromotionOutcome& outcome) {
  this->in_flight.reset();
  const bool counted = made.number == this->last_written &&
                       made.number >= this->open.first_call &&
                       this->open.written > 0;
  if (!counted) return;
  const bool may_take_effect = outcome.result == PromotionResult::kAccepted ||
                               outcome.result == PromotionResult::kUnknown;
  if (!may_take_effect) {
    --this->open.written;
    return;
  }
  this->open.expire_at = std::max(
      this->open.expire_at, this->context.hooks.now() +
                                this->context.settings.promotion_effect_limit);
}

void PromotionCalls::OnLeads(const MemberId& member,
                             std::uint64_t member_term) {
  const bool only_cause = this->open.written == 1 && this->open.alone &&
                          this->open.member == member &&
                          member_term > this->open.first_member_term;
  if (only_cause) this->open.written = 0;
}

}  // namespace lacewingferry
