#include "lacewingferry/decisions/gateway/term_lease.h"

#include <algorithm>

namespace lacewingferry {

using std::chrono::steady_clock;

void TermLease::Grant(std::uint64_t granted_term,
                      steady_clock::time_point expires_at) {
  this->term = granted_term;
  this->until = expires_at;
}

bool TermLease::InForce(steady_clock::time_point now,
                        const DatabaseTerm& entry) const {
  return entry.phase == TermPhase::kSteady && this->term != 0 &&
         this->term == entry.term && !this->recall &&
         this->Covers(now, this->term);
}

bool TermLease::Expired(steady_clock::time_point now,
                        const DatabaseTerm& entry) const {
  const bool had_one = this->term != 0 && this->term == entry.term;
  return had_one && entry.phase == TermPhase::kSteady && now >= this->until;
}

bool TermLease::Covers(steady_clock::time_point now,
                       std::uint64_t sent_term) const {
  return sent_term == this->term && this->term >= this->lowest_term &&
         now < this->until;
}

void TermLease::Recall(steady_clock::time_point now, std::uint64_t before_term,
                       std::chrono::milliseconds grace_period) {
  if (this->recall && this->recall->before_term >= before_term) return;
  this->recall = Recalled{before_term, now + grace_period};
}

std::optional<std::uint64_t> TermLease::FinishRecall(
    steady_clock::time_point now, bool in_flight) {
  if (!this->recall) return std::nullopt;
  if (in_flight && now < this->recall->limit) return std::nullopt;
  const std::uint64_t before_term = this->recall->before_term;
  this->lowest_term = std::max(this->lowest_term, before_term);
  this->recall.reset();
  return before_term;
}

std::optional<steady_clock::time_point> TermLease::RecallDeadline() const {
  if (!this->recall) return std::nullopt;
  return this->recall->limit;
}

}  // namespace lacewingferry
