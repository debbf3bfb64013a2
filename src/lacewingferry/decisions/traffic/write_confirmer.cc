#include "lacewingferry/decisions/traffic/write_confirmer.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace lacewingferry {
namespace {

/**
 * The newest position that a majority of the group holds. The primary's own
 * row comes from the same statement; a replica whose row names another term
 * follows another primary and doesn't count.
 */
LogPosition MajorityPosition(const std::vector<MemberStatus>& rows,
                             std::uint64_t term, std::uint32_t group_size) {
  std::vector<LogPosition> durable;
  for (const MemberStatus& row : rows) {
    if (row.term == term) durable.push_back(row.durable);
  }
  const std::size_t majority = group_size / 2 + 1;
  if (durable.size() < majority) return {};
  const auto middle =
      durable.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(durable.begin(), middle, durable.end(),
                   std::greater<LogPosition>());
  return *middle;
}

}  // namespace

void WriteConfirmer::OnStatus(const std::vector<MemberStatus>& rows) {
  const MemberStatus& self = SelfStatus(rows);
  if (!self.primary || self.term != this->term) return;
  this->newest = std::max(this->newest, self.durable);
  this->confirmed = std::max(
      this->confirmed, MajorityPosition(rows, this->term, this->group_size));
}

}  // namespace lacewingferry
