#ifndef LACEWINGFERRY_DECISIONS_CHOICE_SLOW_START_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_SLOW_START_H_

// Defines SlowStart, which gradually increases the share of reads that a member
// gets after it has returned.

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingferry {

/** A member that returns has a cold cache and connections to open, so it starts
 * with a tenth of its reads and gets all of them after kSlowStartTime. */
class SlowStart {
 public:
  /** The time until a member gets all its reads again. */
  static constexpr std::chrono::seconds kSlowStartTime{5};

  /** Records that the member returned. */
  void Begin(std::chrono::steady_clock::time_point now) { this->began = now; }

  /** Whether the member gets less than its full share of reads. */
  bool Running(std::chrono::steady_clock::time_point now) const {
    return this->began && now - *this->began < kSlowStartTime;
  }

  /** Whether the next read may go to the member. Of n calls about n times the
   * current share return true, evenly spread. */
  bool Admit(std::chrono::steady_clock::time_point now);

 private:
  std::optional<std::chrono::steady_clock::time_point> began;
  /** The sum of the shares since a read was last admitted, in thousandths. */
  std::int64_t credit = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_SLOW_START_H_
