#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_OUTBOX_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_OUTBOX_H_

// Defines PositionOutbox, which holds probes and samples of primaries'
// positions until they are sent.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/core/messages/position_messages.h"

namespace lacewingferry {

/**
 * Sends all probes that are pending for a proxy as one message, and all samples
 * as another, within a budget of bytes per second. When the budget is used up,
 * messages are delayed and samples become sparser. The age bounds that they
 * prove then grow but stay valid.
 */
class PositionOutbox {
 public:
  using Send = std::function<void(const NodeId&, const PeerBody&)>;

  PositionOutbox(Send send, std::uint64_t bytes_a_second);

  /** Adds a probe or a sample to be sent to a proxy. */
  void Add(std::chrono::steady_clock::time_point now, const NodeId& node,
           const ProbedDatabase& probe);
  void Add(std::chrono::steady_clock::time_point now, const NodeId& node,
           const SampledPosition& answer);

  /** Sends what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  struct Pending {
    PositionProbe probe;
    PositionSample sample;
  };

  void ScheduleSend(std::chrono::steady_clock::time_point now);
  void ChargeBudget(std::uint64_t bytes);

  Send send;
  std::uint64_t bytes_a_second;
  std::map<NodeId, Pending> pending;
  std::optional<std::chrono::steady_clock::time_point> due;
  /** The time at which the budget covers all bytes sent so far. */
  std::chrono::steady_clock::time_point budget_charged_until;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_POSITION_OUTBOX_H_
