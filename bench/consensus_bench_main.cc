// Measures the replicated control log in virtual time: the gap without a
// leader after its crash, the traffic at idle and for each change, and the
// processor time for each change. It judges nothing.
//
// Usage: consensus_bench [--write FILE] [--beside FILE]

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "bench/model/consensus_group.h"
#include "bench/report/bench_options.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t kGapSeeds = 500;
constexpr milliseconds kSettling{3000};
constexpr milliseconds kIdle{10'000};
constexpr milliseconds kPoll{1};
constexpr milliseconds kGapLimit{30'000};
constexpr int kChanges = 2000;
constexpr milliseconds kChangeInterval{10};
constexpr std::size_t kChangeBytes = 200;
constexpr std::size_t kPlaces = 3;
constexpr microseconds kWithinPlace{500};

/** Where the voters stand, one place after the other. */
struct Network {
  const char* name;
  microseconds between_places;
};

struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

GroupOptions OptionsFor(const Network& network, std::size_t voters,
                        std::uint64_t seed) {
  GroupOptions options;
  options.voters = voters;
  options.seed = seed;
  options.codec = MakeLogCodec();
  const microseconds between = network.between_places;
  options.latency = [between](std::size_t from, std::size_t to) {
    return from % kPlaces == to % kPlaces ? kWithinPlace : between;
  };
  options.jitter = microseconds(200);
  options.clock_drift = 0.0001;
  return options;
}

/** The time from a leader's crash until another serves. */
milliseconds MeasureGap(const Network& network, std::size_t voters,
                        std::uint64_t seed) {
  ConsensusGroup group(OptionsFor(network, voters, seed));
  group.RunFor(kSettling + milliseconds(seed % 50));
  const auto leader = group.Leader();
  if (!leader) return kGapLimit;
  group.Crash(*leader);
  for (milliseconds gap{0}; gap < kGapLimit; gap += kPoll) {
    const auto next = group.Leader();
    if (next && group.CanServeReads(*next)) return gap;
    group.RunFor(kPoll);
  }
  return kGapLimit;
}

std::size_t EncodedSize(const ConsensusMessage& message) {
  PeerMessage peer{NodeId("control-1"), "tcp://10.0.0.1:7400", {}};
  std::visit([&peer](const auto& body) { peer.body = body; }, message);
  return EncodePeerMessage(peer).size();
}

struct ChangeCost {
  Traffic idle;
  Traffic changing;
  std::uint64_t committed = 0;
  microseconds processor{0};
};

/** Proposes changes at a fixed rate. */
void RunChanges(ConsensusGroup& group, std::size_t leader) {
  for (int i = 0; i < kChanges; ++i) {
    group.Propose(leader, std::string(kChangeBytes, 'x'));
    group.RunFor(kChangeInterval);
  }
  group.RunFor(milliseconds(1000));
}

ChangeCost MeasureChanges(const Network& network, std::size_t voters) {
  Traffic traffic;
  bool sized = true;
  GroupOptions options = OptionsFor(network, voters, 1);
  options.on_send = [&](const ConsensusMessage& message) {
    ++traffic.messages;
    if (sized) traffic.bytes += EncodedSize(message);
  };
  ConsensusGroup group(options);
  group.RunFor(kSettling);
  ChangeCost cost;
  traffic = {};
  group.RunFor(kIdle);
  cost.idle = traffic;
  traffic = {};
  const std::uint64_t before = group.Committed();
  RunChanges(group, group.Leader().value());
  cost.changing = traffic;
  cost.committed = group.Committed() - before;
  sized = false;
  const std::clock_t start = std::clock();
  RunChanges(group, group.Leader().value());
  const std::chrono::duration<double> used(
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
  cost.processor = std::chrono::duration_cast<microseconds>(used);
  return cost;
}

/** The figures of one row of the table. */
report::FigureRow MeasureRow(const Network& network, std::size_t voters) {
  std::vector<milliseconds> gaps;
  for (std::uint64_t seed = 1; seed <= kGapSeeds; ++seed) {
    gaps.push_back(MeasureGap(network, voters, seed));
  }
  std::sort(gaps.begin(), gaps.end());
  const ChangeCost cost = MeasureChanges(network, voters);
  const std::chrono::duration<double> idle = kIdle;
  const std::chrono::duration<double> changing =
      kChanges * kChangeInterval + std::chrono::seconds(1);
  const double messages = static_cast<double>(cost.idle.messages);
  const double bytes = static_cast<double>(cost.idle.bytes);
  const auto changes = static_cast<double>(cost.committed);
  return {
      std::string(network.name) + ", " + std::to_string(voters) + " voters",
      {{"gap_median_ms", static_cast<double>(gaps[gaps.size() / 2].count())},
       {"gap_worst_ms", static_cast<double>(gaps.back().count())},
       {"idle_messages_per_s", messages / idle.count()},
       {"idle_kb_per_s", bytes / idle.count() / 1000},
       {"messages_per_change", (static_cast<double>(cost.changing.messages) -
                                messages * changing.count() / idle.count()) /
                                   changes},
       {"bytes_per_change", (static_cast<double>(cost.changing.bytes) -
                             bytes * changing.count() / idle.count()) /
                                changes},
       {"us_per_change",
        static_cast<double>(cost.processor.count()) / changes}}};
}

void PrintRow(const report::FigureRow& row) {
  std::printf("%-26s", row.name.c_str());
  for (const auto& figure : row.figures) {
    std::printf(" %12.1f", figure.second);
  }
  std::printf("\n");
}

/** All figures but the processor time, which depends on the machine. */
report::FigureRow WithoutTime(report::FigureRow row) {
  row.figures.pop_back();
  return row;
}

std::vector<report::FigureRow> PrintTable() {
  std::vector<report::FigureRow> figures;
  const Network networks[] = {{"zones 1.5 ms", microseconds(1500)},
                              {"regions 8 ms", microseconds(8000)},
                              {"regions 20 ms", microseconds(20'000)}};
  std::printf("%-26s %12s %12s %12s %12s %12s %12s %12s\n", "", "gap ms",
              "gap ms", "idle", "idle", "messages", "bytes", "us");
  std::printf("%-26s %12s %12s %12s %12s %12s %12s %12s\n", "one way", "median",
              "worst", "messages/s", "kB/s", "per change", "per change",
              "per change");
  for (const Network& network : networks) {
    for (const std::size_t voters : {3, 5, 9}) {
      const report::FigureRow row = MeasureRow(network, voters);
      PrintRow(row);
      figures.push_back(WithoutTime(row));
    }
  }
  std::printf(
      "\nAll traffic passes the leader; a follower has 1/(voters - 1) of it.\n"
      "us per change: processor time of all voters and the model together,\n"
      "heartbeats included, at %lld ms between changes of %zu bytes.\n"
      "Gaps over %llu seeds.\n",
      static_cast<long long>(kChangeInterval.count()), kChangeBytes,
      static_cast<unsigned long long>(kGapSeeds));
  return figures;
}

int Main(int argc, char** argv) {
  cxxopts::Options usage("consensus_bench", "The replicated control log");
  report::AddFigureOptions(usage);
  const auto arguments = usage.parse(argc, argv);
  report::ReportFigures("consensus_bench", PrintTable(),
                        report::FigureFilesOf(arguments));
  return 0;
}

}  // namespace
}  // namespace lacewingferry

int main(int argc, char** argv) {
  return lacewingferry::report::RunBench("consensus_bench", [argc, argv] {
    return lacewingferry::Main(argc, argv);
  });
}
