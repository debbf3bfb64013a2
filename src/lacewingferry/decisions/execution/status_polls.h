#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_STATUS_POLLS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_STATUS_POLLS_H_

// StatusPolls decides when to poll a primary for the writes its replicas hold.

#include <chrono>
#include <optional>

namespace lacewingferry {

/**
 * Results of requests to the primary also carry its state, so under load no
 * polls are needed. Otherwise the first poll is sent a little before the usual
 * confirmation time has passed, and further ones at intervals that grow with
 * the age of the oldest wait.
 */
class StatusPolls {
 public:
  /** Records that the primary reported its state. */
  void OnStatus(std::chrono::steady_clock::time_point now) {
    this->last_status = now;
  }

  /** Record that a poll was sent, or that it was answered or lost. */
  void OnSent(std::chrono::steady_clock::time_point now) {
    this->outstanding = true;
    this->last_status = now;
  }
  void OnEnded() { this->outstanding = false; }

  /** When the next poll is due, given when the oldest wait began and how long a
   * confirmation usually takes; none while a poll is outstanding. */
  std::optional<std::chrono::steady_clock::time_point> Due(
      std::chrono::steady_clock::time_point oldest_wait,
      std::chrono::nanoseconds usual_confirmation_time) const;

  /** When the next poll takes precedence over queued requests; none while a
   * poll is outstanding. */
  std::optional<std::chrono::steady_clock::time_point> Overdue(
      std::chrono::steady_clock::time_point oldest_wait,
      std::chrono::nanoseconds usual_confirmation_time) const;

 private:
  std::chrono::nanoseconds Interval(
      std::chrono::steady_clock::time_point oldest_wait) const;

  bool outstanding = false;
  std::chrono::steady_clock::time_point last_status;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_STATUS_POLLS_H_
