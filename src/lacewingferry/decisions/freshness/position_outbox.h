#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_OUTBOX_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_OUTBOX_H_

// Defines PositionOutbox, the questions and answers about primaries' positions
// that wait to be sent.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/messages/position_messages.h"

namespace lacewingferry {

/**
 * Sends all that one proxy has for another as one message, and spends no more
 * bytes a second than its budget. When the budget is used up, messages wait
 * and samples grow sparse; the bounds on age that they prove grow with that
 * and stay true.
 */
class PositionOutbox {
 public:
  using Send = std::function<void(const NodeId&, const PeerBody&)>;

  PositionOutbox(Send send, std::uint64_t bytes_a_second);

  /** Adds a question or an answer for a proxy. */
  void Add(std::chrono::steady_clock::time_point now, const NodeId& node,
           const ProbedDatabase& question);
  void Add(std::chrono::steady_clock::time_point now, const NodeId& node,
           const SampledPosition& answer);

  /** Sends what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  struct Waiting {
    PositionProbe probe;
    PositionSample sample;
  };

  void Schedule(std::chrono::steady_clock::time_point now);
  void Spend(std::uint64_t bytes);

  Send send;
  std::uint64_t bytes_a_second;
  std::map<NodeId, Waiting> waiting;
  std::optional<std::chrono::steady_clock::time_point> due;
  /** The time at which all that was sent is paid for by the budget. */
  std::chrono::steady_clock::time_point paid_until;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_OUTBOX_H_
