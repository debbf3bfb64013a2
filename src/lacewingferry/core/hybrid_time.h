#ifndef LACEWINGFERRY_CORE_HYBRID_TIME_H_
#define LACEWINGFERRY_CORE_HYBRID_TIME_H_

// Defines HybridTime, the time by which events of all processes are ordered.

#include <chrono>

namespace lacewingferry {

/**
 * A hybrid logical time: close to the wall time, and larger than the time of
 * every event that came before, also in another process that sent a message.
 * The logical part is carried as further microseconds.
 */
using HybridTime = std::chrono::time_point<std::chrono::system_clock,
                                           std::chrono::microseconds>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_HYBRID_TIME_H_
