#ifndef LACEWINGFERRY_DECISIONS_LIMITS_JOB_QUEUE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_JOB_QUEUE_H_

// Defines JobQueue, the requests that wait for a connection to one member.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/job.h"
#include "lacewingferry/decisions/limits/fair_queue.h"

namespace lacewingferry {

/** Holds writes and reads, each until its deadline. While both are waiting,
 * three of four jobs served are writes. */
class JobQueue {
 public:
  /** Adds a job. If the queue is full, removes and returns a job of the
   * customer with the most, as FairQueue chooses it. */
  std::optional<Job> Push(Job job);

  /** Removes and returns the next job; none if the queue is empty. */
  std::optional<Job> Pop();

  /** The maximum number of jobs that are served before a new one. */
  std::size_t CountAhead(const Job& job) const;

  /** Removes and returns all jobs whose deadline has passed. */
  std::vector<Job> TakeExpired(std::chrono::steady_clock::time_point now);

  /** Removes and returns all jobs. */
  std::vector<Job> TakeAll();

  /** The earliest deadline; none if the queue is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->writes.Size() + this->reads.Size(); }

 private:
  FairQueue writes;
  FairQueue reads;
  std::uint32_t writes_in_a_row = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_JOB_QUEUE_H_
