#include "lacewingferry/decisions/traffic/forward_table.h"

#include <set>
#include <utility>

namespace lacewingferry {

std::uint64_t ForwardTable::Add(ForwardedJob job) {
  const std::uint64_t id = this->next_id++;
  this->jobs.emplace(id, std::move(job));
  return id;
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

std::optional<std::chrono::steady_clock::time_point>
ForwardTable::NextDeadline() const {
  std::optional<std::chrono::steady_clock::time_point> earliest;
  for (const auto& entry : this->jobs) {
    const auto deadline = entry.second.job.deadline;
    if (!earliest || deadline < *earliest) earliest = deadline;
  }
  return earliest;
}

}  // namespace lacewingferry
