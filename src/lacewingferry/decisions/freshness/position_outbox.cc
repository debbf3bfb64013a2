#include "lacewingferry/decisions/freshness/position_outbox.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Questions of this time to the same proxy go together. */
constexpr milliseconds kBatchDelay{1};
/** So much of the budget may be spent at once after a pause. */
constexpr milliseconds kBurst{1000};
/** The bytes of a message without its entries, and of an entry without the
 * name of its database. docs/design/data-path-reads.md counts them. */
constexpr std::uint64_t kMessageBytes = 25;
constexpr std::uint64_t kProbeBytes = 12;
constexpr std::uint64_t kSampleBytes = 22;

/** The bytes of a number, as codecs with numbers of varying length have it. */
std::uint64_t BytesOfNumber(std::uint64_t number) {
  constexpr std::uint64_t kOneByte = 0x7f;
  constexpr std::uint64_t kThreeBytes = 0xffff;
  if (number <= kOneByte) return 1;
  return number <= kThreeBytes ? 3 : 9;
}

std::uint64_t BytesOfHistory(const SampledPosition& answer) {
  std::uint64_t bytes = 0;
  for (const std::uint64_t lower : answer.lower_by) {
    bytes += BytesOfNumber(lower);
  }
  return bytes;
}

}  // namespace

PositionOutbox::PositionOutbox(Send send_hook, std::uint64_t budget)
    : send(std::move(send_hook)), bytes_a_second(budget) {}

void PositionOutbox::Schedule(steady_clock::time_point now) {
  if (this->due) return;
  this->paid_until = std::max(this->paid_until, now - kBurst);
  this->due = std::max(now + kBatchDelay, this->paid_until);
}

void PositionOutbox::Add(steady_clock::time_point now, const NodeId& node,
                         const ProbedDatabase& question) {
  // A newer question about the same database takes the place of one that
  // still waits: its answer proves more.
  auto& questions = this->waiting[node].probe.databases;
  const auto same = std::find_if(questions.begin(), questions.end(),
                                 [&question](const ProbedDatabase& other) {
                                   return other.database == question.database;
                                 });
  if (same != questions.end()) {
    *same = question;
  } else {
    questions.push_back(question);
  }
  this->Schedule(now);
}

void PositionOutbox::Add(steady_clock::time_point now, const NodeId& node,
                         const SampledPosition& answer) {
  auto& answers = this->waiting[node].sample.samples;
  const auto same = std::find_if(answers.begin(), answers.end(),
                                 [&answer](const SampledPosition& other) {
                                   return other.database == answer.database;
                                 });
  if (same != answers.end()) {
    *same = answer;
  } else {
    answers.push_back(answer);
  }
  this->Schedule(now);
}

void PositionOutbox::Spend(std::uint64_t bytes) {
  this->paid_until += std::chrono::duration_cast<steady_clock::duration>(
      std::chrono::nanoseconds(std::chrono::seconds(1)) * bytes /
      this->bytes_a_second);
}

void PositionOutbox::OnTick(steady_clock::time_point now) {
  if (!this->due || now < *this->due) return;
  this->due.reset();
  std::map<NodeId, Waiting> ready;
  ready.swap(this->waiting);
  for (const auto& entry : ready) {
    const Waiting& message = entry.second;
    if (!message.probe.databases.empty()) {
      std::uint64_t bytes = kMessageBytes;
      for (const ProbedDatabase& question : message.probe.databases) {
        bytes += kProbeBytes + question.database.Value().size();
      }
      this->Spend(bytes);
      this->send(entry.first, message.probe);
    }
    if (!message.sample.samples.empty()) {
      std::uint64_t bytes = kMessageBytes;
      for (const SampledPosition& answer : message.sample.samples) {
        bytes += kSampleBytes + answer.database.Value().size();
        bytes += BytesOfHistory(answer);
      }
      this->Spend(bytes);
      this->send(entry.first, message.sample);
    }
  }
}

std::optional<steady_clock::time_point> PositionOutbox::NextWakeup() const {
  return this->due;
}

}  // namespace lacewingferry
