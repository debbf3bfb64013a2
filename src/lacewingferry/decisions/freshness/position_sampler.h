#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_SAMPLER_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_SAMPLER_H_

// Defines PositionSampler, which learns where a database's primary stands and
// tells it to the proxies that ask.

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/position_messages.h"
#include "lacewingferry/decisions/freshness/primary_samples.h"

namespace lacewingferry {

/** What a PositionSampler acts through. */
struct PositionSamplerHooks {
  /** Sends a question to another proxy. */
  std::function<void(const NodeId&, const ProbedDatabase&)> probe;
  /** Sends an answer to another proxy. */
  std::function<void(const NodeId&, const SampledPosition&)> answer;
  /** Asks the primary on an own connection; false if this proxy has none. */
  std::function<bool(std::chrono::steady_clock::time_point now)> ask_primary;
};

/**
 * Samples the primary's position on demand. A proxy that owns a connection to
 * the primary asks the member itself; any other asks such an owner, who
 * answers with a status that it asked for after the question had come. Each
 * sample counts from the moment at which this proxy asked, so that no clock of
 * another machine enters the proof.
 */
class PositionSampler {
 public:
  PositionSampler(DatabaseId database, PositionSamplerHooks hooks,
                  std::uint64_t first_sequence);

  /** Takes the proxies that own connections to the primary. */
  void SetPrimaryOwners(std::vector<NodeId> owners);

  /** Takes that a read of a stated age came. Asks for a sample if the last
   * question is a part of the stated age ago, and goes on to ask now and then
   * for as long as the stated age, so that a lagging replica can be judged
   * later. */
  void Want(std::chrono::steady_clock::time_point now,
            std::chrono::milliseconds max_age);

  /** Asks if it is time. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Takes a question of another proxy. */
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const ProbedDatabase& question);

  /** Takes an answer of another proxy. */
  void OnSample(const SampledPosition& sample);

  /** Takes a position that the primary itself told. The proxy's lease on the
   * primary's term must hold at the moment of the call. */
  void OnPrimaryPosition(std::chrono::steady_clock::time_point asked_at,
                         const LogPosition& position);

  /** Takes the position that came with an answer of the primary. Its owner's
   * lease held when it answered, so the primary had not passed the position at
   * sent_at. Such samples cost no message. */
  void OnPrimaryAnswer(std::chrono::steady_clock::time_point sent_at,
                       const LogPosition& position) {
    this->samples.Add(sent_at, position);
  }

  const PrimarySamples& Samples() const { return this->samples; }

 private:
  struct Question {
    std::uint64_t sequence = 0;
    std::chrono::steady_clock::time_point asked_at;
  };
  struct Asker {
    NodeId node;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds lacking{0};
    std::chrono::steady_clock::time_point arrived_at;
  };

  void Ask(std::chrono::steady_clock::time_point now);
  void AddEarlier(std::chrono::steady_clock::time_point asked_at,
                  const SampledPosition& sample);
  SampledPosition MakeAnswer(const Asker& asker,
                             const LogPosition& position) const;

  DatabaseId database;
  PositionSamplerHooks hooks;
  std::uint64_t next_sequence;
  /** The longest age that was stated lately, and how long it counts. */
  std::chrono::milliseconds longest_age{0};
  std::chrono::steady_clock::time_point wanted_until;
  std::vector<NodeId> primary_owners;
  std::size_t turn = 0;
  std::optional<std::chrono::steady_clock::time_point> last_asked;
  /** When the newest question was asked that got its answer. */
  std::optional<std::chrono::steady_clock::time_point> last_answered;
  std::deque<Question> questions;
  std::deque<Asker> askers;
  PrimarySamples samples;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_SAMPLER_H_
