#ifndef LACEWINGFERRY_DECISIONS_CHOICE_SLOW_START_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_SLOW_START_H_

// Defines SlowStart, the growing part of the reads that a member gets after it
// has returned.

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingferry {

/** A member that returns has a cold cache and connections to open, so it
 * starts with a tenth of the reads and has all of them after
 * kSlowStartTime. */
class SlowStart {
 public:
  /** The time until a member has its whole part again. */
  static constexpr std::chrono::seconds kSlowStartTime{5};

  /** Takes that the member returned. */
  void Begin(std::chrono::steady_clock::time_point now) { this->began = now; }

  /** Whether the member doesn't have its whole part yet. */
  bool Running(std::chrono::steady_clock::time_point now) const {
    return this->began && now - *this->began < kSlowStartTime;
  }

  /** Whether the next read may go to the member. Of n calls about n times the
   * present part return true, evenly spread. */
  bool Admit(std::chrono::steady_clock::time_point now);

 private:
  std::optional<std::chrono::steady_clock::time_point> began;
  /** The sum of the parts since a read was last let through, in
   * thousandths. */
  std::int64_t due = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_SLOW_START_H_
