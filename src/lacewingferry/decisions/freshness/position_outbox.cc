#include "lacewingferry/decisions/freshness/position_outbox.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Messages to the same proxy are collected for this long and sent together. */
constexpr milliseconds kBatchDelay{1};
/** Unused budget accumulates for at most this long. */
constexpr milliseconds kMaxSavedBudget{1000};
/** Bytes of a message without its entries, and of an entry without the name of
 * its database. docs/design/data-path-reads.md derives them. */
constexpr std::uint64_t kMessageBytes = 25;
constexpr std::uint64_t kProbeBytes = 12;
constexpr std::uint64_t kSampleBytes = 22;

/** The encoded size of a number in a codec with variable-length integers. */
std::uint64_t EncodedSize(std::uint64_t number) {
  constexpr std::uint64_t kOneByte = 0x7f;
  constexpr std::uint64_t kThreeBytes = 0xffff;
  if (number <= kOneByte) return 1;
  return number <= kThreeBytes ? 3 : 9;
}

std::uint64_t HistoryBytes(const SampledPosition& answer) {
  std::uint64_t bytes = 0;
  for (const std::uint64_t lower : answer.lower_by) {
    bytes += EncodedSize(lower);
  }
  return bytes;
}

}  // namespace

PositionOutbox::PositionOutbox(Send send_hook, std::uint64_t budget)
    : send(std::move(send_hook)), bytes_a_second(budget) {}

void PositionOutbox::ScheduleSend(steady_clock::time_point now) {
  if (this->due) return;
  this->budget_charged_until =
      std::max(this->budget_charged_until, now - kMaxSavedBudget);
  this->due = std::max(now + kBatchDelay, this->budget_charged_until);
}

void PositionOutbox::Add(steady_clock::time_point now, const NodeId& node,
                         const ProbedDatabase& probe) {
  // A newer probe of the same database replaces a pending one, since its answer
  // proves more.
  auto& probes = this->pending[node].probe.databases;
  const auto same = std::find_if(probes.begin(), probes.end(),
                                 [&probe](const ProbedDatabase& other) {
                                   return other.database == probe.database;
                                 });
  if (same != probes.end()) {
    *same = probe;
  } else {
    probes.push_back(probe);
  }
  this->ScheduleSend(now);
}

void PositionOutbox::Add(steady_clock::time_point now, const NodeId& node,
                         const SampledPosition& answer) {
  auto& answers = this->pending[node].sample.samples;
  const auto same = std::find_if(answers.begin(), answers.end(),
                                 [&answer](const SampledPosition& other) {
                                   return other.database == answer.database;
                                 });
  if (same != answers.end()) {
    *same = answer;
  } else {
    answers.push_back(answer);
  }
  this->ScheduleSend(now);
}

void PositionOutbox::ChargeBudget(std::uint64_t bytes) {
  this->budget_charged_until +=
      std::chrono::duration_cast<steady_clock::duration>(
          std::chrono::nanoseconds(std::chrono::seconds(1)) * bytes /
          this->bytes_a_second);
}

void PositionOutbox::OnTick(steady_clock::time_point now) {
  if (!this->due || now < *this->due) return;
  this->due.reset();
  std::map<NodeId, Pending> ready;
  ready.swap(this->pending);
  for (const auto& entry : ready) {
    const Pending& message = entry.second;
    if (!message.probe.databases.empty()) {
      std::uint64_t bytes = kMessageBytes;
      for (const ProbedDatabase& probe : message.probe.databases) {
        bytes += kProbeBytes + probe.database.Value().size();
      }
      this->ChargeBudget(bytes);
      this->send(entry.first, message.probe);
    }
    if (!message.sample.samples.empty()) {
      std::uint64_t bytes = kMessageBytes;
      for (const SampledPosition& answer : message.sample.samples) {
        bytes += kSampleBytes + answer.database.Value().size();
        bytes += HistoryBytes(answer);
      }
      this->ChargeBudget(bytes);
      this->send(entry.first, message.sample);
    }
  }
}

std::optional<steady_clock::time_point> PositionOutbox::NextWakeup() const {
  return this->due;
}

}  // namespace lacewingferry
