#include "tests/support/raft_chaos.h"

#include <cstdlib>
#include <iterator>
#include <optional>
#include <random>

#include "lacewingferry/adapters/msgpack/log_codec.h"

namespace lacewingferry::tests {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kChaos{12'000};
constexpr milliseconds kHealing{8'000};
constexpr milliseconds kStep{20};
constexpr double kFailureChance = 0.1;
/** Small groups more often, since they run faster. */
constexpr std::size_t kVoters[] = {3, 3, 3, 3, 5, 5, 5, 7, 9};

class Chaos {
 public:
  explicit Chaos(const ChaosOptions& options)
      : random(options.seed * 7919), group(GroupOf(options)) {}

  ChaosResult Run() {
    for (milliseconds t{0}; t < kChaos; t += kStep) {
      this->ProposeSomewhere();
      if (std::bernoulli_distribution(kFailureChance)(this->random)) {
        this->FailSomething();
      }
      this->group.RunFor(kStep);
    }
    this->Heal();
    this->RequireProgress();
    this->result.violations.insert(this->result.violations.end(),
                                   this->group.Violations().begin(),
                                   this->group.Violations().end());
    this->result.committed = this->group.Committed();
    return this->result;
  }

 private:
  static model::GroupOptions GroupOf(const ChaosOptions& options) {
    model::GroupOptions group = ChaosGroupOptions(options.seed);
    group.faults = options.faults;
    group.keep_identity = options.keep_identity;
    return group;
  }

  std::size_t Pick() { return this->random() % this->group.Size(); }

  void ProposeSomewhere() {
    const std::size_t i = this->Pick();
    this->group.Propose(i, "command " + std::to_string(++this->proposed));
    const auto leader = this->group.Leader();
    if (leader) this->group.Propose(*leader, "c" + std::to_string(proposed));
  }

  void FailSomething() {
    const std::size_t i = this->Pick();
    switch (this->random() % 8) {
      case 0:
        this->group.Crash(i);
        ++this->result.crashes;
        break;
      case 1:
        this->group.Disk(i).CrashInWrite(1 + this->random() % 4);
        ++this->result.crashes;
        break;
      case 2:
        this->group.Isolate(i, true);
        ++this->result.partitions;
        break;
      case 3:
        this->group.Cut(i, this->Pick(), true);
        ++this->result.partitions;
        break;
      case 4:
        this->LoseDisk(i);
        break;
      case 5:
        this->group.Isolate(i, false);
        break;
      default:
        this->StartAll();
        break;
    }
  }

  /** At most one disk is lost until its voter is out of the configuration:
   * losing a majority of the disks may lose committed entries. */
  void LoseDisk(std::size_t i) {
    const auto leader = this->group.Leader();
    if (!leader || !this->group.Runs(i)) return;
    const RaftNode& node = this->group.Node(*leader);
    const bool settled =
        node.Status(this->group.Queue().Now()).refusal == ChangeRefusal::kNone;
    if (this->lost && (!settled || node.Configuration().Find(*this->lost))) {
      return;
    }
    this->lost = this->group.Node(i).Self();
    this->group.LoseDisk(i);
    ++this->result.disks_lost;
  }

  void StartAll() {
    for (std::size_t i = 0; i < this->group.Size(); ++i) {
      if (!this->group.Runs(i)) this->group.Start(i);
    }
  }

  void Heal() {
    for (std::size_t i = 0; i < this->group.Size(); ++i) {
      this->group.Disk(i).CancelCrash();
      this->group.Isolate(i, false);
    }
    this->StartAll();
    this->group.SetNetwork(0, milliseconds(5));
    this->group.RunFor(kHealing);
  }

  void RequireProgress() {
    const auto leader = this->group.Leader();
    const auto index =
        leader ? this->group.Propose(*leader, "last") : std::nullopt;
    this->group.RunFor(milliseconds(1000));
    if (!index || this->group.Committed() < *index) {
      this->result.violations.emplace_back("no progress");
    }
  }

  std::mt19937_64 random;
  model::ConsensusGroup group;
  ChaosResult result;
  std::optional<VoterId> lost;
  std::uint64_t proposed = 0;
};

}  // namespace

model::GroupOptions ChaosGroupOptions(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  model::GroupOptions options;
  options.seed = seed;
  options.voters = kVoters[random() % std::size(kVoters)];
  options.spares = 2;
  options.codec = MakeLogCodec();
  options.raft.snapshot_entries = 100;
  options.raft.retained_entries = 20;
  RepairSettings repair;
  repair.voters = options.voters;
  repair.voter_silence = milliseconds(1500);
  repair.learner_silence = milliseconds(2000);
  options.repair = repair;
  options.latency = [](std::size_t, std::size_t) { return microseconds(1500); };
  options.jitter = milliseconds(random() % 2 == 0 ? 5 : 300);
  options.loss = random() % 2 == 0 ? 0.02 : 0.15;
  options.duplication = 0.05;
  options.clock_drift = 0.02;
  return options;
}

ChaosResult RunRaftChaos(const ChaosOptions& options) {
  return Chaos(options).Run();
}

std::vector<std::uint64_t> ChaosSeeds(std::uint64_t count) {
  const char* wanted = std::getenv("FERRY_RAFT_SEEDS");
  const char* first = std::getenv("FERRY_RAFT_FIRST_SEED");
  const std::uint64_t begin = first ? std::strtoull(first, nullptr, 10) : 1;
  if (wanted) count = std::strtoull(wanted, nullptr, 10);
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t i = 0; i < count; ++i) seeds.push_back(begin + i);
  return seeds;
}

}  // namespace lacewingferry::tests
