#include "lacewingferry/decisions/traffic/position_sampler.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** While reads of an age come, it is split into this many samples. */
constexpr int kSamplesPerAge = 8;
/** The same for data that is about as old as the reads allow, where a sparse
 * sample decides wrongly. */
constexpr int kSamplesIfClose = 32;
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

void PositionSampler::Want(steady_clock::time_point now, milliseconds max_age,
                           std::optional<std::chrono::nanoseconds> known_age) {
  if (max_age >= this->longest_age || now >= this->wanted_until) {
    this->longest_age = std::min(max_age, kLongestInterest);
    this->wanted_until = now + this->longest_age;
  }
  const bool close =
      known_age && std::chrono::abs(*known_age - max_age) < max_age / 4;
  const int parts = close ? kSamplesIfClose : kSamplesPerAge;
  const milliseconds interval =
      std::clamp(max_age / parts, kShortestInterval, kLongestInterval);
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
  this->questions.push_back(question);
  if (this->questions.size() > kMostQuestions) this->questions.pop_front();
  const NodeId& owner =
      this->primary_owners[this->turn++ % this->primary_owners.size()];
  this->hooks.probe(owner, ProbedDatabase{this->database, question.sequence});
}

void PositionSampler::OnProbe(steady_clock::time_point now, const NodeId& from,
                              std::uint64_t sequence) {
  this->askers.push_back(Asker{from, sequence, now});
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
  this->questions.erase(found);
}

void PositionSampler::OnPrimaryPosition(steady_clock::time_point asked_at,
                                        const LogPosition& position) {
  this->samples.Add(asked_at, position);
  while (!this->askers.empty() && this->askers.front().arrived_at <= asked_at) {
    const Asker& asker = this->askers.front();
    this->hooks.answer(
        asker.node, SampledPosition{this->database, asker.sequence, position});
    this->askers.pop_front();
  }
}

}  // namespace lacewingferry
