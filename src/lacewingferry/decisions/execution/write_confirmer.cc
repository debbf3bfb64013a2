#include "lacewingferry/decisions/execution/write_confirmer.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <utility>

namespace lacewingferry {
namespace {

/**
 * Returns the newest position that a majority of the members holds. The
 * primary's own row comes from the same statement. A replica whose row has
 * another term follows another primary and doesn't count. A member has several
 * rows after it reconnects; it counts once, with the lowest position.
 */
LogPosition MajorityPosition(const std::vector<GroupMemberState>& rows,
                             std::uint64_t term, std::uint32_t group_size,
                             const std::vector<MemberId>& members) {
  std::map<MemberId, LogPosition> known;
  for (const GroupMemberState& row : rows) {
    if (row.term != term) continue;
    if (std::find(members.begin(), members.end(), row.member) ==
        members.end()) {
      continue;
    }
    const auto position_entry = known.emplace(row.member, row.durable).first;
    position_entry->second = std::min(position_entry->second, row.durable);
  }
  const std::size_t majority = group_size / 2 + 1;
  if (known.size() < majority) return {};
  std::vector<LogPosition> durable;
  durable.reserve(known.size());
  for (const auto& item : known) durable.push_back(item.second);
  const auto middle =
      durable.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(durable.begin(), middle, durable.end(),
                   std::greater<LogPosition>());
  return *middle;
}

}  // namespace

void WriteConfirmer::SetMembers(std::uint32_t full_group_size,
                                std::vector<MemberId> counted) {
  if (full_group_size == this->group_size && counted == this->members) return;
  this->group_size = full_group_size;
  this->members = std::move(counted);
  this->confirmed = LogPosition{};
}

void WriteConfirmer::OnStatus(const std::vector<GroupMemberState>& rows) {
  const GroupMemberState& self = SelfState(rows);
  if (!self.primary || self.term != this->term) return;
  this->newest = std::max(this->newest, self.durable);
  this->confirmed = std::max(
      this->confirmed,
      MajorityPosition(rows, this->term, this->group_size, this->members));
}

}  // namespace lacewingferry
