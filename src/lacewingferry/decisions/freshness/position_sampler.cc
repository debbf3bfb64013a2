#include "lacewingferry/decisions/freshness/position_sampler.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** While reads of an age come, so many questions are asked in its time. Each
 * answer tells of the time between. */
constexpr int kSamplesPerAge = 2;
/** After the last such read the samples are as far apart as this. */
constexpr int kIdleSamplesPerAge = 16;
constexpr milliseconds kShortestInterval{20};
/** Sequences start below this, so that they are short on the way; an answer to
 * an earlier run of the process meets none of the open questions. */
constexpr std::uint64_t kSequenceSpan = 60000;
constexpr milliseconds kLongestInterval{500};
/** No replica that lags by more than this is expected to catch up soon. */
constexpr milliseconds kLongestInterest{20000};
/** Answers are late or lost after this many further questions. */
constexpr std::size_t kMostQuestions = 16;
/** More proxies than this don't wait for one answer of the primary. */
constexpr std::size_t kMostAskers = 64;
/** The earlier samples that an answer tells of at the most. */
constexpr int kMostEarlier = 64;
constexpr milliseconds kFinestHistory{5};
/** Makes up for what the division above cuts off. */
constexpr milliseconds kRounding{1};

}  // namespace

PositionSampler::PositionSampler(DatabaseId database_id,
                                 PositionSamplerHooks sampler_hooks,
                                 std::uint64_t first_sequence)
    : database(std::move(database_id)),
      hooks(std::move(sampler_hooks)),
      next_sequence(first_sequence % kSequenceSpan) {}

void PositionSampler::SetPrimaryOwners(std::vector<NodeId> owners) {
  this->primary_owners = std::move(owners);
}

void PositionSampler::Want(steady_clock::time_point now, milliseconds max_age) {
  if (max_age >= this->longest_age || now >= this->wanted_until) {
    this->longest_age = std::min(max_age, kLongestInterest);
    this->wanted_until = now + this->longest_age;
  }
  const milliseconds interval =
      std::clamp(max_age / kSamplesPerAge, kShortestInterval, kLongestInterval);
  if (this->last_asked && now - *this->last_asked < interval) return;
  this->Ask(now);
}

std::optional<steady_clock::time_point> PositionSampler::NextWakeup() const {
  if (!this->last_asked) return std::nullopt;
  const steady_clock::time_point next =
      *this->last_asked + std::clamp(this->longest_age / kIdleSamplesPerAge,
                                     kShortestInterval, kLongestInterval);
  if (next >= this->wanted_until) return std::nullopt;
  return next;
}

void PositionSampler::OnTick(steady_clock::time_point now) {
  const auto next = this->NextWakeup();
  if (next && *next <= now) this->Ask(now);
}

void PositionSampler::Ask(steady_clock::time_point now) {
  this->last_asked = now;
  if (this->hooks.ask_primary(now) || this->primary_owners.empty()) return;
  const Question question{this->next_sequence++, now};
  milliseconds lacking = kLongestInterest;
  if (this->last_answered) {
    lacking = std::min(
        lacking, std::chrono::ceil<milliseconds>(now - *this->last_answered));
  }
  this->questions.push_back(question);
  if (this->questions.size() > kMostQuestions) this->questions.pop_front();
  const NodeId& owner =
      this->primary_owners[this->turn++ % this->primary_owners.size()];
  this->hooks.probe(owner,
                    ProbedDatabase{this->database, question.sequence, lacking});
}

void PositionSampler::OnProbe(steady_clock::time_point now, const NodeId& from,
                              const ProbedDatabase& question) {
  this->askers.push_back(Asker{from, question.sequence, question.lacking, now});
  if (this->askers.size() > kMostAskers) this->askers.pop_front();
  this->hooks.ask_primary(now);
}

void PositionSampler::OnSample(const SampledPosition& sample) {
  const auto found =
      std::find_if(this->questions.begin(), this->questions.end(),
                   [&sample](const Question& question) {
                     return question.sequence == sample.sequence;
                   });
  if (found == this->questions.end()) return;
  this->samples.Add(found->asked_at, sample.position);
  this->AddEarlier(found->asked_at, sample);
  if (!this->last_answered || *this->last_answered < found->asked_at) {
    this->last_answered = found->asked_at;
  }
  this->questions.erase(found);
}

/** The question left here before it arrived there. So what held a length of
 * time before the arrival held at most that length before the sending. */
void PositionSampler::AddEarlier(steady_clock::time_point asked_at,
                                 const SampledPosition& sample) {
  milliseconds earlier{0};
  LogPosition position = sample.position;
  for (const std::uint64_t lower : sample.lower_by) {
    if (lower > position.offset) return;
    position.offset -= lower;
    // An empty log has no term.
    if (position.offset == 0) position = {};
    earlier += sample.spacing;
    this->samples.Add(
        asked_at - earlier - earlier / kClockDriftParts - kRounding, position);
  }
}

SampledPosition PositionSampler::MakeAnswer(const Asker& asker,
                                            const LogPosition& position) const {
  SampledPosition answer{this->database, asker.sequence, position, {}, {}};
  const milliseconds lacking =
      std::clamp(asker.lacking, milliseconds(0), kLongestInterest);
  answer.spacing = std::max(kFinestHistory, lacking / kMostEarlier);
  const auto oldest = this->samples.EarliestSince({});
  LogPosition above = position;
  for (milliseconds earlier = answer.spacing;
       earlier < lacking + answer.spacing; earlier += answer.spacing) {
    const auto held = this->samples.EarliestSince(asker.arrived_at - earlier);
    if (!held) break;
    const bool empty = held->position == LogPosition{};
    if (held->position.term != above.term && !empty) break;
    if (oldest->asked_at > asker.arrived_at - earlier + answer.spacing) break;
    answer.lower_by.push_back(above.offset - held->position.offset);
    above = held->position;
  }
  return answer;
}

void PositionSampler::OnPrimaryPosition(steady_clock::time_point asked_at,
                                        const LogPosition& position) {
  this->samples.Add(asked_at, position);
  while (!this->askers.empty() && this->askers.front().arrived_at <= asked_at) {
    const Asker& asker = this->askers.front();
    this->hooks.answer(asker.node, this->MakeAnswer(asker, position));
    this->askers.pop_front();
  }
}

}  // namespace lacewingferry
