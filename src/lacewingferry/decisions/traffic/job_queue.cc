#include "lacewingferry/decisions/traffic/job_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

/** More waiting requests than this could not be served within a deadline. */
constexpr std::size_t kMostWaiting = 1000;

}  // namespace

bool JobQueue::Push(Job& job) {
  if (this->jobs.size() >= kMostWaiting) return false;
  this->jobs.push_back(std::move(job));
  return true;
}

std::optional<Job> JobQueue::Pop() {
  if (this->jobs.empty()) return std::nullopt;
  Job job = std::move(this->jobs.front());
  this->jobs.pop_front();
  return job;
}

std::vector<Job> JobQueue::TakeExpired(
    std::chrono::steady_clock::time_point now) {
  std::vector<Job> expired;
  const auto live = std::stable_partition(
      this->jobs.begin(), this->jobs.end(),
      [now](const Job& job) { return job.deadline > now; });
  std::move(live, this->jobs.end(), std::back_inserter(expired));
  this->jobs.erase(live, this->jobs.end());
  return expired;
}

std::vector<Job> JobQueue::TakeAll() {
  std::vector<Job> all(std::make_move_iterator(this->jobs.begin()),
                       std::make_move_iterator(this->jobs.end()));
  this->jobs.clear();
  return all;
}

std::optional<std::chrono::steady_clock::time_point> JobQueue::NextDeadline()
    const {
  std::optional<std::chrono::steady_clock::time_point> earliest;
  for (const Job& job : this->jobs) {
    if (!earliest || job.deadline < *earliest) earliest = job.deadline;
  }
  return earliest;
}

}  // namespace lacewingferry
