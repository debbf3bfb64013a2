#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_FAIR_QUEUE_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_FAIR_QUEUE_H_

// Defines FairQueue, waiting requests that are served in turn by customer and
// by session.

#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "lacewingferry/decisions/traffic/job.h"

namespace lacewingferry {

/**
 * Customers take turns, the sessions of a customer take turns among each
 * other, and the requests of a session go by their deadline. A customer that
 * sends much therefore delays itself and not the others.
 */
class FairQueue {
 public:
  void Push(Job job);

  /** Takes the next job; none if the queue is empty. */
  std::optional<Job> Pop();

  /** Takes the latest job of the customer that has the most; none if the
   * queue is empty. */
  std::optional<Job> TakeFromLongest();

  /** How many waiting jobs are served before a new one at the most. */
  std::size_t CountAhead(const Job& job) const;

  /** How many jobs a customer has waiting. */
  std::size_t CountOf(const CustomerId& customer) const;

  /** Takes all jobs whose deadline has passed. */
  std::vector<Job> TakeExpired(std::chrono::steady_clock::time_point now);

  /** Takes all jobs. */
  std::vector<Job> TakeAll();

  /** The earliest deadline; none if the queue is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->deadlines.size(); }

 private:
  struct SessionQueue {
    SessionId id;
    std::multimap<std::chrono::steady_clock::time_point, Job> jobs;
  };
  struct CustomerQueue {
    CustomerId id;
    std::size_t size = 0;
    /** The session whose turn is next stands first. */
    std::list<SessionQueue> sessions;
  };

  const CustomerQueue* FindCustomer(const CustomerId& customer) const;
  template <typename Predicate>
  std::vector<Job> TakeIf(Predicate predicate);

  /** The customer whose turn is next stands first. */
  std::list<CustomerQueue> customers;
  std::multiset<std::chrono::steady_clock::time_point> deadlines;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_FAIR_QUEUE_H_
