#include "lacewingferry/decisions/execution/pending_answers.h"

#include <utility>
#include <vector>

namespace lacewingferry {

using std::chrono::steady_clock;

PendingAnswers::PendingAnswers(GateHook gate_hook, WaitedHook waited_hook)
    : gate(std::move(gate_hook)), waited(std::move(waited_hook)) {}

void PendingAnswers::Add(PendingAnswer answer) {
  const LogPosition position = answer.position;
  this->answers.emplace(position, std::move(answer));
}

void PendingAnswers::Release(steady_clock::time_point now,
                             const WriteConfirmer& confirmer) {
  std::vector<PendingAnswer> leaving;
  for (auto it = this->answers.begin(); it != this->answers.end();) {
    if (!confirmer.Covers(it->first)) break;
    if (!this->gate(now, it->second.term)) {
      ++it;
      continue;
    }
    leaving.push_back(std::move(it->second));
    it = this->answers.erase(it);
  }
  for (const PendingAnswer& answer : leaving) {
    const bool wrote = answer.job.request.kind != RequestKind::kRead;
    if (wrote) this->waited(now - answer.since);
    answer.job.reply(answer.answer);
  }
}

template <typename Predicate>
void PendingAnswers::GiveUpIf(Predicate predicate) {
  std::vector<PendingAnswer> given_up;
  for (auto it = this->answers.begin(); it != this->answers.end();) {
    if (!predicate(it->second)) {
      ++it;
      continue;
    }
    given_up.push_back(std::move(it->second));
    it = this->answers.erase(it);
  }
  for (const PendingAnswer& answer : given_up) {
    answer.job.reply(answer.otherwise);
  }
}

void PendingAnswers::EndTerms(std::uint64_t last) {
  this->GiveUpIf(
      [last](const PendingAnswer& answer) { return answer.term <= last; });
}

void PendingAnswers::Expire(steady_clock::time_point now) {
  this->GiveUpIf([now](const PendingAnswer& answer) {
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
