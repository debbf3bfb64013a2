#include <algorithm>

#include "lacewingferry/decisions/traffic/owned_members.h"

namespace lacewingferry {

using std::chrono::steady_clock;

std::size_t OwnedMembers::SeatsOf(const MemberId& member) const {
  constexpr auto kUnlimited = std::numeric_limits<std::size_t>::max();
  if (this->seats == nullptr)
    return this->settings.needs_seats ? 0 : kUnlimited;
  if (!this->seats->witnessed) return kUnlimited;
  const auto found = this->seats->ends.find(member);
  if (found == this->seats->ends.end()) return 0;
  return static_cast<std::size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [this](steady_clock::time_point end) { return end > this->event_time; }));
}

void OwnedMembers::LimitToSeats() {
  if (this->seats == nullptr) return;
  for (auto& [member, entry] : this->owned) {
    entry.executor->LimitConnections(this->event_time, this->SeatsOf(member));
  }
}

void OwnedMembers::OnSeats(steady_clock::time_point now,
                           const SeatTablePtr& table) {
  this->event_time = now;
  this->seats = table;
  this->LimitToSeats();
}

void OwnedMembers::AddConnections(
    std::map<MemberId, std::size_t>& counts) const {
  for (const auto& [member, entry] : this->owned) {
    counts[member] += entry.executor->Connections();
  }
}

std::size_t OwnedMembers::Connections(const MemberId& member) const {
  const auto found = this->owned.find(member);
  return found == this->owned.end() ? 0 : found->second.executor->Connections();
}

std::size_t OwnedMembers::Unfinished() const {
  std::size_t count = 0;
  for (const auto& entry : this->owned) {
    count += entry.second.executor->Unfinished() + entry.second.gate->Held();
  }
  return count;
}

std::size_t OwnedMembers::OpenTransactions() const {
  std::size_t count = 0;
  for (const auto& entry : this->owned) {
    count += entry.second.executor->OpenTransactions();
  }
  return count;
}

std::size_t OwnedMembers::Connections() const {
  std::size_t count = 0;
  for (const auto& entry : this->owned) {
    count += entry.second.executor->Connections();
  }
  return count;
}

}  // namespace lacewingferry
