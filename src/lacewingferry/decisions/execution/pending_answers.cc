#include "lacewingferry/decisions/execution/pending_answers.h"

#include <utility>
#include <vector>

namespace lacewingferry {

using std::chrono::steady_clock;

PendingAnswers::PendingAnswers(MayAnswerHook may_answer_hook,
                               WaitTimeHook wait_time_hook)
    : may_answer(std::move(may_answer_hook)),
      report_wait_time(std::move(wait_time_hook)) {}

void PendingAnswers::Add(PendingAnswer answer) {
  const LogPosition position = answer.position;
  this->answers.emplace(position, std::move(answer));
}

void PendingAnswers::Release(steady_clock::time_point now,
                             const WriteConfirmer& confirmer) {
  std::vector<PendingAnswer> sendable;
  for (auto it = this->answers.begin(); it != this->answers.end();) {
    if (!confirmer.IsConfirmed(it->first)) break;
    if (!this->may_answer(now, it->second.term)) {
      ++it;
      continue;
    }
    sendable.push_back(std::move(it->second));
    it = this->answers.erase(it);
  }
  for (const PendingAnswer& answer : sendable) {
    const bool wrote = answer.job.request.kind != RequestKind::kRead;
    if (wrote) this->report_wait_time(now - answer.since);
    answer.job.reply(answer.answer);
  }
}

template <typename Predicate>
void PendingAnswers::SendFallbackIf(Predicate predicate) {
  std::vector<PendingAnswer> ended;
  for (auto it = this->answers.begin(); it != this->answers.end();) {
    if (!predicate(it->second)) {
      ++it;
      continue;
    }
    ended.push_back(std::move(it->second));
    it = this->answers.erase(it);
  }
  for (const PendingAnswer& answer : ended) {
    answer.job.reply(answer.fallback);
  }
}

void PendingAnswers::EndTerms(std::uint64_t last) {
  this->SendFallbackIf(
      [last](const PendingAnswer& answer) { return answer.term <= last; });
}

void PendingAnswers::Expire(steady_clock::time_point now) {
  this->SendFallbackIf([now](const PendingAnswer& answer) {
    return answer.job.deadline <= now;
  });
}

std::optional<steady_clock::time_point> PendingAnswers::NextDeadline() const {
  std::optional<steady_clock::time_point> earliest;
  for (const auto& [position, answer] : this->answers) {
    const auto deadline = answer.job.deadline;
    if (!earliest || deadline < *earliest) earliest = deadline;
  }
  return earliest;
}

std::optional<steady_clock::time_point> PendingAnswers::OldestSince() const {
  std::optional<steady_clock::time_point> oldest;
  for (const auto& [position, answer] : this->answers) {
    if (!oldest || answer.since < *oldest) oldest = answer.since;
  }
  return oldest;
}

}  // namespace lacewingferry
