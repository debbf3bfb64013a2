#ifndef LACEWINGFERRY_DECISIONS_ROSTER_PEER_SILENCE_H_
#define LACEWINGFERRY_DECISIONS_ROSTER_PEER_SILENCE_H_

// Defines PeerSilence, which notices connections between processes that went
// silent without being closed.

#include <chrono>
#include <map>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Notes when each process was last heard, and which ones to connect to anew:
 * those that are sent messages and answer nothing. */
class PeerSilence {
 public:
  explicit PeerSilence(std::chrono::milliseconds longest_silence)
      : limit(longest_silence) {}

  void OnSent(std::chrono::steady_clock::time_point now, const NodeId& node);
  void OnHeard(const NodeId& node);

  /** The processes to connect to anew; each again after another silence. */
  std::vector<NodeId> TakeSilent(std::chrono::steady_clock::time_point now);

 private:
  std::chrono::milliseconds limit;
  /** Since when a process has been sent messages without an answer. */
  std::map<NodeId, std::chrono::steady_clock::time_point> unanswered_since;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_ROSTER_PEER_SILENCE_H_
