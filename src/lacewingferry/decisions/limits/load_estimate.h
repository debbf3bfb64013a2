#ifndef LACEWINGFERRY_DECISIONS_LIMITS_LOAD_ESTIMATE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_LOAD_ESTIMATE_H_

// Defines LoadEstimate, which estimates how long a new request will take from
// the times of earlier ones.

#include <chrono>
#include <cstddef>

namespace lacewingferry {

/** Keeps moving averages of how long requests hold a connection and how long
 * answers wait for confirmation, and of the deviation of the latter. The
 * estimate includes the deviation because refusing a write costs less than an
 * answer that comes too late. */
class LoadEstimate {
 public:
  /** Records how long a request held its connection. */
  void AddHold(std::chrono::nanoseconds time);

  /** Records how long an answer waited for its confirmation. */
  void AddConfirmation(std::chrono::nanoseconds time);

  /** Lowers the averages a little. Called when a request is refused because of
   * them, so that outdated slow times don't cause refusals for ever. */
  void Decay();

  std::chrono::nanoseconds Hold() const { return this->hold; }
  std::chrono::nanoseconds Confirmation() const { return this->confirmation; }

  /** The expected time until a request is answered that has others ahead of it,
   * each of which needs one of the connections. */
  std::chrono::nanoseconds TimeToAnswer(std::size_t ahead,
                                        std::size_t connections,
                                        bool confirmed) const;

 private:
  std::chrono::nanoseconds hold{0};
  std::chrono::nanoseconds confirmation{0};
  std::chrono::nanoseconds deviation{0};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_LOAD_ESTIMATE_H_
