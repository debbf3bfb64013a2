#include "lacewingferry/decisions/traffic/write_confirmer.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

/**
 * The newest position that a majority of the group holds. The primary's own
 * row comes from the same statement; a replica whose row names another term
 * follows another primary and doesn't count.
 */
LogPosition MajorityPosition(const std::vector<MemberStatus>& rows,
                             std::uint32_t group_size) {
  const MemberStatus& self = SelfStatus(rows);
  if (!self.primary) return {};
  std::vector<LogPosition> durable;
  for (const MemberStatus& row : rows) {
    if (row.term == self.term) durable.push_back(row.durable);
  }
  const std::size_t majority = group_size / 2 + 1;
  if (durable.size() < majority) return {};
  std::sort(durable.rbegin(), durable.rend());
  return durable[majority - 1];
}

}  // namespace

void WriteConfirmer::Add(const LogPosition& position,
                         ConfirmHook on_confirmed) {
  this->pending.emplace(position, std::move(on_confirmed));
}

void WriteConfirmer::OnStatus(const std::vector<MemberStatus>& rows) {
  const LogPosition majority = MajorityPosition(rows, this->group_size);
  this->confirmed = std::max(this->confirmed, majority);
  std::vector<ConfirmHook> done;
  const auto end = this->pending.upper_bound(this->confirmed);
  for (auto it = this->pending.begin(); it != end; ++it) {
    // A position of an earlier term than the confirmed one belongs to a write
    // that EndTermsBefore ends; offsets of two terms can't be compared.
    if (it->first.term == majority.term) done.push_back(std::move(it->second));
  }
  for (auto it = this->pending.begin(); it != end;) {
    it = it->first.term == majority.term ? this->pending.erase(it)
                                         : std::next(it);
  }
  for (const ConfirmHook& hook : done) hook(Confirmation::kConfirmed);
}

void WriteConfirmer::EndTermsBefore(std::uint64_t term) {
  std::vector<ConfirmHook> ended;
  const auto end = this->pending.lower_bound(LogPosition{term, 0});
  for (auto it = this->pending.begin(); it != end; ++it) {
    ended.push_back(std::move(it->second));
  }
  this->pending.erase(this->pending.begin(), end);
  for (const ConfirmHook& hook : ended) hook(Confirmation::kTermEnded);
}

}  // namespace lacewingferry
