#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_OBSERVATION_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_OBSERVATION_H_

// MemberObservation is what the traffic to a member shows of its health.

#include <chrono>
#include <cstdint>
#include <functional>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** One observation of a member through this proxy's own connections. */
enum class MemberObservation : std::uint8_t {
  /** A batch was answered or a connection opened. */
  kAnswered,
  /** A connection could not be opened. */
  kRefused,
  /** An open connection broke. */
  kLost,
  /** A batch or an attempt to connect has been outstanding for too long. */
  kUnresponsive,
};

/** Receives observations. Must not call back into the traffic decisions. */
using MemberObservationHook =
    std::function<void(const MemberId&, MemberObservation,
                       std::chrono::steady_clock::time_point now)>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_MEMBER_OBSERVATION_H_
