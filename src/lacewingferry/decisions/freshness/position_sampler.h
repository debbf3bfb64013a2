#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_SAMPLER_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_SAMPLER_H_

// Defines PositionSampler, which samples the log position of a database's
// primary and reports it to proxies that ask.

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "lacewingferry/core/messages/position_messages.h"
#include "lacewingferry/decisions/freshness/primary_samples.h"

namespace lacewingferry {

/** Functions that a PositionSampler calls. */
struct PositionSamplerHooks {
  /** Sends a probe to another proxy. */
  std::function<void(const NodeId&, const ProbedDatabase&)> probe;
  /** Sends an answer to another proxy. */
  std::function<void(const NodeId&, const SampledPosition&)> answer;
  /** Queries the primary over this proxy's own connection; false if it has
   * none. */
  std::function<bool(std::chrono::steady_clock::time_point now)> query_primary;
};

/**
 * Samples the primary's position on demand. A proxy that owns a connection to
 * the primary queries it directly. Any other proxy sends a probe to such an
 * owner, which answers with a status that it requested after the probe arrived.
 * Each sample counts from when this proxy sent the query or the probe, so the
 * proof doesn't depend on the clock of another VM.
 */
class PositionSampler {
 public:
  PositionSampler(DatabaseId database, PositionSamplerHooks hooks,
                  std::uint64_t first_sequence);

  /** Sets the proxies that own connections to the primary. */
  void SetPrimaryOwners(std::vector<NodeId> owners);

  /** Called when a read with a max_age arrives. Takes a sample unless the
   * last one was requested less than a fraction of max_age ago, and goes
   * on sampling at a lower rate for max_age, so that a lagging replica
   * can be judged later. */
  void RequestSamples(std::chrono::steady_clock::time_point now,
                      std::chrono::milliseconds max_age);

  /** Takes a sample if one is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Handles a probe from another proxy. */
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const ProbedDatabase& probe);

  /** Handles another proxy's answer to a probe. */
  void OnSample(const SampledPosition& sample);

  /** Records a position that the primary reported to this proxy. This proxy's
   * lease on the primary's term must hold at the time of the call. */
  void OnPrimaryPosition(std::chrono::steady_clock::time_point asked_at,
                         const LogPosition& position);

  /** Records the position in an answer of the primary to a request. The lease
   * of the connection's owner held when it answered, so the primary had not
   * passed the position at sent_at. Such samples cost no message. */
  void OnPrimaryAnswer(std::chrono::steady_clock::time_point sent_at,
                       const LogPosition& position) {
    this->samples.Add(sent_at, position);
  }

  const PrimarySamples& Samples() const { return this->samples; }

 private:
  struct SentProbe {
    std::uint64_t sequence = 0;
    std::chrono::steady_clock::time_point asked_at;
  };
  struct Asker {
    NodeId node;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds lacking{0};
    std::chrono::steady_clock::time_point arrived_at;
  };

  void TakeSample(std::chrono::steady_clock::time_point now);
  void AddEarlier(std::chrono::steady_clock::time_point asked_at,
                  const SampledPosition& sample);
  SampledPosition MakeAnswer(const Asker& asker,
                             const LogPosition& position) const;

  DatabaseId database;
  PositionSamplerHooks hooks;
  std::uint64_t next_sequence;
  /** The longest max_age of recent reads, and until when it counts. */
  std::chrono::milliseconds longest_age{0};
  std::chrono::steady_clock::time_point sampling_until;
  std::vector<NodeId> primary_owners;
  std::size_t next_owner = 0;
  std::optional<std::chrono::steady_clock::time_point> last_asked;
  /** When the latest probe that has been answered was sent. */
  std::optional<std::chrono::steady_clock::time_point> last_answered;
  std::deque<SentProbe> sent_probes;
  std::deque<Asker> askers;
  PrimarySamples samples;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_SAMPLER_H_
