#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_STATUS_POLLS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_STATUS_POLLS_H_

// Defines StatusPolls, when a primary is asked which writes its replicas hold.

#include <chrono>
#include <optional>

namespace lacewingferry {

/**
 * Each answer of the primary to a request carries its state as well, so under
 * load nothing has to be asked. Else the first question is sent a little
 * before the usual time of a confirmation has passed, and the next ones at
 * pauses that grow with the age of the oldest wait.
 */
class StatusPolls {
 public:
  /** Takes that the primary told its state. */
  void OnStatus(std::chrono::steady_clock::time_point now) {
    this->last_status = now;
  }

  /** Takes that a question was sent, or that it was answered or lost. */
  void OnSent(std::chrono::steady_clock::time_point now) {
    this->running = true;
    this->last_status = now;
  }
  void OnEnded() { this->running = false; }

  /** When the next question is due, given when the oldest wait began and how
   * long a confirmation usually takes; none while one is on its way. */
  std::optional<std::chrono::steady_clock::time_point> Due(
      std::chrono::steady_clock::time_point oldest_wait,
      std::chrono::nanoseconds usual) const;

  /** When the question goes before the waiting requests. */
  std::optional<std::chrono::steady_clock::time_point> Overdue(
      std::chrono::steady_clock::time_point oldest_wait,
      std::chrono::nanoseconds usual) const;

 private:
  std::chrono::nanoseconds Pause(
      std::chrono::steady_clock::time_point oldest_wait) const;

  bool running = false;
  std::chrono::steady_clock::time_point last_status;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_STATUS_POLLS_H_
