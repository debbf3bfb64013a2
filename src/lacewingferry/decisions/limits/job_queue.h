#ifndef LACEWINGFERRY_DECISIONS_LIMITS_JOB_QUEUE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_JOB_QUEUE_H_

// Defines JobQueue, the requests that wait for a connection of one member.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/job.h"
#include "lacewingferry/decisions/limits/fair_queue.h"

namespace lacewingferry {

/** Holds writes and reads, each until its deadline. While both wait, writes
 * take three turns of four. */
class JobQueue {
 public:
  /** Adds a job. Returns the job that finds no place in a full queue: the
   * latest of the customer that has the most. */
  std::optional<Job> Push(Job job);

  /** Takes the next job; none if the queue is empty. */
  std::optional<Job> Pop();

  /** How many jobs are served before a new one at the most. */
  std::size_t CountAhead(const Job& job) const;

  /** Takes all jobs whose deadline has passed. */
  std::vector<Job> TakeExpired(std::chrono::steady_clock::time_point now);

  /** Takes all jobs. */
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
