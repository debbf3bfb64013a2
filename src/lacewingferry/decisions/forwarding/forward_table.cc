#include "lacewingferry/decisions/forwarding/forward_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingferry {
namespace {

/** Time without a reply after which a request is resent for the first time:
 * the request or its reply may have been lost. */
constexpr std::chrono::milliseconds kFirstResend{300};

}  // namespace

ForwardRequest ForwardTable::Add(std::chrono::steady_clock::time_point now,
                                 ForwardedJob job) {
  const std::uint64_t id = this->next_id++;
  job.message.forward_id = id;
  job.first_sent = now;
  job.next_resend = now + kFirstResend;
  const auto added = this->jobs.emplace(id, std::move(job));
  return added.first->second.message;
}

std::vector<ForwardResend> ForwardTable::DueResends(
    std::chrono::steady_clock::time_point now) {
  std::vector<ForwardResend> due;
  for (auto& entry : this->jobs) {
    ForwardedJob& job = entry.second;
    if (job.next_resend > now || job.job.deadline <= now) continue;
    const auto waited = now - job.first_sent;
    job.message.since_first_sent =
        std::chrono::ceil<std::chrono::milliseconds>(waited);
    job.message.request.timeout =
        std::chrono::floor<std::chrono::milliseconds>(job.job.deadline - now);
    job.next_resend = now + waited;
    due.push_back(ForwardResend{job.owner, job.message});
  }
  return due;
}

std::optional<ForwardedJob> ForwardTable::Take(std::uint64_t forward_id,
                                               const NodeId& owner) {
  const auto found = this->jobs.find(forward_id);
  if (found == this->jobs.end() || found->second.owner != owner) {
    return std::nullopt;
  }
  ForwardedJob job = std::move(found->second);
  this->jobs.erase(found);
  return job;
}

template <typename Predicate>
std::vector<ForwardedJob> ForwardTable::TakeIf(Predicate predicate) {
  std::vector<ForwardedJob> taken;
  for (auto it = this->jobs.begin(); it != this->jobs.end();) {
    if (predicate(it->second)) {
      taken.push_back(std::move(it->second));
      it = this->jobs.erase(it);
    } else {
      ++it;
    }
  }
  return taken;
}

std::vector<ForwardedJob> ForwardTable::TakeExpired(
    std::chrono::steady_clock::time_point now) {
  return this->TakeIf(
      [now](const ForwardedJob& job) { return job.job.deadline <= now; });
}

std::vector<ForwardedJob> ForwardTable::TakeOwnedBy(const NodeId& owner) {
  return this->TakeIf(
      [&owner](const ForwardedJob& job) { return job.owner == owner; });
}

std::vector<NodeId> ForwardTable::Owners() const {
  std::set<NodeId> owners;
  for (const auto& entry : this->jobs) owners.insert(entry.second.owner);
  return {owners.begin(), owners.end()};
}

std::optional<std::chrono::steady_clock::time_point> ForwardTable::NextWakeup()
    const {
  std::optional<std::chrono::steady_clock::time_point> earliest;
  for (const auto& entry : this->jobs) {
    const auto deadline =
        std::min(entry.second.job.deadline, entry.second.next_resend);
    if (!earliest || deadline < *earliest) earliest = deadline;
  }
  return earliest;
}

}  // namespace lacewingferry
