#include "lacewingferry/decisions/freshness/position_sampler.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** While reads with a max_age arrive, the primary is sampled this many times
 * per max_age. Each answer also covers the time since the previous one. */
constexpr int kSamplesPerAge = 2;
/** After the last such read, the primary is sampled this many times per
 * max_age. */
constexpr int kIdleSamplesPerAge = 16;
constexpr milliseconds kMinInterval{20};
/** Sequence numbers start below this, so that their encoding is short. An
 * answer to an earlier run of the process matches no outstanding probe. */
constexpr std::uint64_t kSequenceSpan = 60000;
constexpr milliseconds kMaxInterval{500};
/** A replica that lags by more than this is not expected to catch up soon. */
constexpr milliseconds kMaxTrackedLag{20000};
/** Maximum outstanding probes. An older one counts as lost. */
constexpr std::size_t kMaxProbes = 16;
/** Maximum proxies that wait for one answer of the primary. */
constexpr std::size_t kMaxAskers = 64;
/** Maximum earlier samples in one answer. */
constexpr int kMaxEarlierSamples = 64;
constexpr milliseconds kMinHistorySpacing{5};
/** Compensates for the truncation in dividing by kClockDriftParts. */
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

void PositionSampler::RequestSamples(steady_clock::time_point now,
                                     milliseconds max_age) {
  if (max_age >= this->longest_age || now >= this->sampling_until) {
    this->longest_age = std::min(max_age, kMaxTrackedLag);
    this->sampling_until = now + this->longest_age;
  }
  const milliseconds interval =
      std::clamp(max_age / kSamplesPerAge, kMinInterval, kMaxInterval);
  if (this->last_asked && now - *this->last_asked < interval) return;
  this->TakeSample(now);
}

std::optional<steady_clock::time_point> PositionSampler::NextWakeup() const {
  if (!this->last_asked) return std::nullopt;
  const steady_clock::time_point next =
      *this->last_asked + std::clamp(this->longest_age / kIdleSamplesPerAge,
                                     kMinInterval, kMaxInterval);
  if (next >= this->sampling_until) return std::nullopt;
  return next;
}

void PositionSampler::OnTick(steady_clock::time_point now) {
  const auto next = this->NextWakeup();
  if (next && *next <= now) this->TakeSample(now);
}

void PositionSampler::TakeSample(steady_clock::time_point now) {
  this->last_asked = now;
  if (this->hooks.query_primary(now) || this->primary_owners.empty()) return;
  const SentProbe probe{this->next_sequence++, now};
  milliseconds lacking = kMaxTrackedLag;
  if (this->last_answered) {
    lacking = std::min(
        lacking, std::chrono::ceil<milliseconds>(now - *this->last_answered));
  }
  this->sent_probes.push_back(probe);
  if (this->sent_probes.size() > kMaxProbes) this->sent_probes.pop_front();
  const NodeId& owner =
      this->primary_owners[this->next_owner++ % this->primary_owners.size()];
  this->hooks.probe(owner,
                    ProbedDatabase{this->database, probe.sequence, lacking});
}

void PositionSampler::OnProbe(steady_clock::time_point now, const NodeId& from,
                              const ProbedDatabase& probe) {
  this->askers.push_back(Asker{from, probe.sequence, probe.lacking, now});
  if (this->askers.size() > kMaxAskers) this->askers.pop_front();
  this->hooks.query_primary(now);
}

void PositionSampler::OnSample(const SampledPosition& sample) {
  const auto found =
      std::find_if(this->sent_probes.begin(), this->sent_probes.end(),
                   [&sample](const SentProbe& probe) {
                     return probe.sequence == sample.sequence;
                   });
  if (found == this->sent_probes.end()) return;
  this->samples.Add(found->asked_at, sample.position);
  this->AddEarlier(found->asked_at, sample);
  if (!this->last_answered || *this->last_answered < found->asked_at) {
    this->last_answered = found->asked_at;
  }
  this->sent_probes.erase(found);
}

/** The owner received the probe after this proxy had sent it. So a position
 * that the primary had not passed a given time before the receipt was not
 * passed that long before the sending either. */
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
      std::clamp(asker.lacking, milliseconds(0), kMaxTrackedLag);
  answer.spacing = std::max(kMinHistorySpacing, lacking / kMaxEarlierSamples);
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
