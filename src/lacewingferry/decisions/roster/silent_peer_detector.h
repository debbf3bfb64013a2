#ifndef LACEWINGFERRY_DECISIONS_ROSTER_SILENT_PEER_DETECTOR_H_
#define LACEWINGFERRY_DECISIONS_ROSTER_SILENT_PEER_DETECTOR_H_

// Defines SilentPeerDetector, which detects connections between processes that
// stopped delivering messages without being closed.

#include <chrono>
#include <map>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Finds the processes that were sent messages and have sent none back within
 * the timeout, so that the caller reconnects to them. */
class SilentPeerDetector {
 public:
  explicit SilentPeerDetector(std::chrono::milliseconds silence_timeout)
      : timeout(silence_timeout) {}

  void OnSent(std::chrono::steady_clock::time_point now, const NodeId& node);
  void OnReceived(const NodeId& node);

  /** Returns the processes to reconnect to. Each is returned again after
   * another timeout without a message from it. */
  std::vector<NodeId> TakeSilentPeers(
      std::chrono::steady_clock::time_point now);

 private:
  std::chrono::milliseconds timeout;
  /** When the first message without an answer was sent to each process, or when
   * the process was last returned by TakeSilentPeers, if that was later. */
  std::map<NodeId, std::chrono::steady_clock::time_point> unanswered_since;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_ROSTER_SILENT_PEER_DETECTOR_H_
