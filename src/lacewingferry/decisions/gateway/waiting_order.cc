#include "lacewingferry/decisions/gateway/waiting_order.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace lacewingferry {
namespace {

/** A statement with its turn: how many statements of its customer and priority
 * are served before it. */
struct Turn {
  std::size_t number = 0;
  RunPtr run;
};

bool IsBefore(const Turn& a, const Turn& b) {
  return std::tie(a.run->priority, a.number, a.run->customer_priority,
                  a.run->deadline) < std::tie(b.run->priority, b.number,
                                              b.run->customer_priority,
                                              b.run->deadline);
}

std::vector<Turn> InTurns(std::vector<RunPtr> runs) {
  std::stable_sort(runs.begin(), runs.end(), ServedBefore);
  std::map<std::pair<std::uint32_t, CustomerId>, std::size_t> taken;
  std::vector<Turn> turns;
  turns.reserve(runs.size());
  for (RunPtr& run : runs) {
    const std::size_t number = taken[{run->priority, run->customer}]++;
    turns.push_back(Turn{number, std::move(run)});
  }
  std::stable_sort(turns.begin(), turns.end(), IsBefore);
  return turns;
}

}  // namespace

void SortFairly(std::vector<RunPtr>* waiting) {
  const bool by_customer =
      std::any_of(waiting->begin(), waiting->end(),
                  [](const RunPtr& run) { return !run->customer.Empty(); });
  if (!by_customer) {
    std::stable_sort(waiting->begin(), waiting->end(), ServedBefore);
    return;
  }
  std::vector<Turn> turns = InTurns(std::move(*waiting));
  waiting->clear();
  for (Turn& turn : turns) waiting->push_back(std::move(turn.run));
}

std::size_t CountServedBefore(const std::vector<RunPtr>& waiting,
                              const RunPtr& run) {
  Turn own{0, run};
  for (const RunPtr& other : waiting) {
    const bool same =
        other->priority == run->priority && other->customer == run->customer;
    if (same && !ServedBefore(run, other)) ++own.number;
  }
  std::map<CustomerId, std::size_t> taken;
  std::size_t before = 0;
  for (const RunPtr& other : waiting) {
    Turn turn{0, other};
    if (other->priority == run->priority) {
      turn.number = taken[other->customer]++;
    }
    if (!IsBefore(own, turn)) ++before;
  }
  return before;
}

}  // namespace lacewingferry
