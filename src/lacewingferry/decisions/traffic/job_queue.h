#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_JOB_QUEUE_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_JOB_QUEUE_H_

// Defines JobQueue, the requests that wait for a connection of one member.

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "lacewingferry/decisions/traffic/job.h"

namespace lacewingferry {

/** Holds requests in the order of their arrival, each until its deadline. */
class JobQueue {
 public:
  /** Adds a job; returns false without taking it if the queue is full. */
  bool Push(Job& job);

  /** Takes the next job; none if the queue is empty. */
  std::optional<Job> Pop();

  /** Takes all jobs whose deadline has passed. */
  std::vector<Job> TakeExpired(std::chrono::steady_clock::time_point now);

  /** Takes all jobs. */
  std::vector<Job> TakeAll();

  /** The earliest deadline; none if the queue is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->jobs.size(); }

 private:
  std::deque<Job> jobs;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_JOB_QUEUE_H_
