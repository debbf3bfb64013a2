// Measures the cost of one routing decision with 1,400 databases known, and
// the allocations that it makes.

#include <benchmark/benchmark.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <string>
#include <unordered_map>
#include <vector>

#include "lacewingferry/decisions/choice/read_routing.h"

namespace {

std::atomic<std::uint64_t> allocations{0};

}  // namespace

// Kept out of line: the compiler would see malloc meet delete otherwise.
[[gnu::noinline]] void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace lacewingferry {
namespace {

constexpr int kDatabases = 1400;
constexpr int kZones = 3;

DatabaseView MakeView(int number) {
  DatabaseView view;
  view.id = DatabaseId("a-database-with-a-name-" + std::to_string(number));
  view.term = 1;
  for (int i = 0; i < kZones; ++i) {
    RoutedMember member;
    member.info.id = MemberId(view.id.Value() + "-member-" + std::to_string(i));
    member.info.zone = AvailabilityZone("zone-" + std::to_string(i));
    member.info.slots = 5;
    member.owners = {{NodeId("proxy-" + std::to_string(2 * i)), 3},
                     {NodeId("proxy-" + std::to_string(2 * i + 1)), 2}};
    view.members.push_back(member);
  }
  view.primary = view.members.front().info.id;
  return view;
}

/** Looks up the database, then chooses the member and the owner. */
void BenchRoutingDecision(benchmark::State& state) {
  std::unordered_map<DatabaseId, RouteTable> tables;
  std::vector<StatementRequest> requests;
  for (int i = 0; i < kDatabases; ++i) {
    const DatabaseView view = MakeView(i);
    tables[view.id].Rebuild(&view, AvailabilityZone("zone-1"),
                            NodeId("proxy-9"));
    StatementRequest request;
    request.database = view.id;
    request.max_age = std::chrono::milliseconds(1000);
    requests.push_back(request);
  }
  const std::chrono::steady_clock::time_point now;
  std::size_t next = 0;
  const std::uint64_t before = allocations;
  for (auto step : state) {
    (void)step;
    const StatementRequest& request = requests[next];
    next = (next + 617) % requests.size();
    const auto found = tables.find(request.database);
    benchmark::DoNotOptimize(found->second.Choose(now, request, MemberSet()));
  }
  const auto made = static_cast<double>(allocations - before);
  state.counters["allocations"] =
      benchmark::Counter(made, benchmark::Counter::kAvgIterations);
}
BENCHMARK(BenchRoutingDecision);

}  // namespace
}  // namespace lacewingferry

BENCHMARK_MAIN();
