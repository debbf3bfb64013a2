#include "lacewingferry/decisions/limits/job_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

/** More waiting requests than this can't be served before their deadlines. */
constexpr std::size_t kMaxWaiting = 1000;
/** Consecutive writes before a waiting read is served. */
constexpr std::uint32_t kWritesPerRead = 3;

bool IsRead(const Job& job) { return job.request.kind == RequestKind::kRead; }

std::vector<Job> Join(std::vector<Job> first, std::vector<Job> second) {
  std::move(second.begin(), second.end(), std::back_inserter(first));
  return first;
}

}  // namespace

std::optional<Job> JobQueue::Push(Job job) {
  FairQueue& queue = IsRead(job) ? this->reads : this->writes;
  queue.Push(std::move(job));
  if (this->Size() <= kMaxWaiting) return std::nullopt;
  FairQueue& longer =
      this->reads.Size() > this->writes.Size() ? this->reads : this->writes;
  return longer.TakeFromLargestCustomer();
}

std::optional<Job> JobQueue::Pop() {
  const bool reads_turn =
      this->writes.Size() == 0 || this->writes_in_a_row >= kWritesPerRead;
  if (reads_turn && this->reads.Size() > 0) {
    this->writes_in_a_row = 0;
    return this->reads.Pop();
  }
  ++this->writes_in_a_row;
  return this->writes.Pop();
}

std::size_t JobQueue::CountAhead(const Job& job) const {
  if (IsRead(job)) {
    const std::size_t reads_ahead = this->reads.CountAhead(job);
    return reads_ahead +
           std::min(this->writes.Size(), kWritesPerRead * (reads_ahead + 1));
  }
  const std::size_t writes_ahead = this->writes.CountAhead(job);
  return writes_ahead +
         std::min(this->reads.Size(), writes_ahead / kWritesPerRead + 1);
}

std::vector<Job> JobQueue::TakeExpired(
    std::chrono::steady_clock::time_point now) {
  return Join(this->writes.TakeExpired(now), this->reads.TakeExpired(now));
}

std::vector<Job> JobQueue::TakeAll() {
  return Join(this->writes.TakeAll(), this->reads.TakeAll());
}

std::optional<std::chrono::steady_clock::time_point> JobQueue::NextDeadline()
    const {
  const auto write = this->writes.NextDeadline();
  const auto read = this->reads.NextDeadline();
  if (!write) return read;
  if (!read) return write;
  return std::min(*write, *read);
}

}  // namespace lacewingferry
