#include "bench/model/consensus_group.h"

#include <algorithm>
#include <numeric>

#include "lacewingferry/decisions/consensus/voter_identity.h"

namespace lacewingferry::model {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

NodeId NodeOf(std::size_t i) { return NodeId("control-" + std::to_string(i)); }

std::vector<NodeId> NodesOf(const std::vector<std::size_t>& replicas) {
  std::vector<NodeId> nodes;
  nodes.reserve(replicas.size());
  for (const std::size_t i : replicas) nodes.push_back(NodeOf(i));
  return nodes;
}

std::size_t IndexOf(const NodeId& node) {
  return std::stoul(node.Value().substr(node.Value().rfind('-') + 1));
}

}  // namespace

ConsensusGroup::ConsensusGroup(GroupOptions group_options)
    : options(std::move(group_options)), random(this->options.seed) {
  const std::size_t size = this->options.voters + this->options.spares;
  std::uniform_real_distribution<double> drift(-this->options.clock_drift,
                                               this->options.clock_drift);
  std::vector<std::size_t> all(size);
  std::iota(all.begin(), all.end(), 0);
  this->SetSeeds(all);
  for (std::size_t i = 0; i < size; ++i) {
    Replica& replica = this->replicas.emplace_back();
    replica.disk = std::make_unique<MemoryDisk>(this->random());
    replica.clock_rate += drift(this->random);
  }
  this->Found();
  for (std::size_t i = 0; i < size; ++i) this->Start(i);
}

void ConsensusGroup::Found() {
  ControlConfiguration configuration;
  for (std::size_t i = 0; i < this->options.voters; ++i) {
    const VoterId voter = LoadOrCreateIdentity(
        this->Disk(i).Port(), this->options.codec, this->random);
    configuration.members.push_back({voter, NodeOf(i), ControlRole::kVoter});
  }
  for (std::size_t i = 0; i < this->options.voters; ++i) {
    ControlLog(this->Disk(i).Port(), this->options.codec).Found(configuration);
  }
}

void ConsensusGroup::RunFor(milliseconds duration) {
  this->queue.RunUntil(this->queue.Now() + duration);
}

steady_clock::time_point ConsensusGroup::Local(std::size_t i) const {
  const double ticks =
      static_cast<double>(this->queue.Now().time_since_epoch().count()) *
      this->replicas[i].clock_rate;
  return steady_clock::time_point(
      steady_clock::duration(static_cast<steady_clock::rep>(ticks)));
}

std::optional<std::size_t> ConsensusGroup::Leader() const {
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < this->Size(); ++i) {
    if (!this->Runs(i) || !this->Node(i).IsLeader()) continue;
    if (!found || this->Node(i).Term() > this->Node(*found).Term()) found = i;
  }
  return found;
}

void ConsensusGroup::Start(std::size_t i) {
  Replica& replica = this->replicas[i];
  replica.disk->CancelCrash();
  RaftParts parts;
  parts.self = LoadOrCreateIdentity(replica.disk->Port(), this->options.codec,
                                    this->random);
  parts.settings = this->options.raft;
  parts.repair = this->options.repair;
  parts.hooks = this->Hooks(i);
  parts.storage = replica.disk->Port();
  parts.codec = this->options.codec;
  parts.seed = this->random();
  parts.faults = this->options.faults;
  replica.node = std::make_unique<RaftNode>(std::move(parts), this->Local(i));
  this->ScheduleWakeup(i);
}

void ConsensusGroup::Crash(std::size_t i) {
  this->replicas[i].node.reset();
  this->replicas[i].wakeup_time.reset();
  ++this->replicas[i].wakeup;
}

void ConsensusGroup::LoseDisk(std::size_t i) {
  this->Crash(i);
  this->Disk(i).Wipe(this->options.keep_identity ? "identity" : "");
}

void ConsensusGroup::Cut(std::size_t from, std::size_t to, bool cut) {
  if (cut) {
    this->cuts.emplace(from, to);
  } else {
    this->cuts.erase({from, to});
  }
}

void ConsensusGroup::SetSeeds(const std::vector<std::size_t>& seeds) {
  this->options.raft.seeds = NodesOf(seeds);
}

void ConsensusGroup::ReloadSeeds(std::size_t i,
                                 const std::vector<std::size_t>& seeds) {
  this->replicas[i].node->SetSeeds(NodesOf(seeds));
}

void ConsensusGroup::Isolate(std::size_t i, bool cut) {
  for (std::size_t other = 0; other < this->Size(); ++other) {
    this->Cut(i, other, cut);
    this->Cut(other, i, cut);
  }
}

void ConsensusGroup::SetNetwork(double loss, microseconds jitter) {
  this->options.loss = loss;
  this->options.jitter = jitter;
}

std::optional<std::uint64_t> ConsensusGroup::Propose(std::size_t i,
                                                     std::string payload) {
  std::optional<std::uint64_t> index;
  this->Input(i, [&](RaftNode& node) {
    index = node.Propose(this->Local(i), std::move(payload));
  });
  return index;
}

ChangeResult ConsensusGroup::ProposeChange(std::size_t i,
                                           const MembershipChange& change) {
  ChangeResult result;
  this->Input(i, [&](RaftNode& node) {
    result = node.ProposeChange(this->Local(i), change);
  });
  return result;
}

bool ConsensusGroup::CanServeReads(std::size_t i) const {
  return this->Runs(i) && this->Node(i).CanServeReads(this->Local(i));
}

void ConsensusGroup::Input(std::size_t i,
                           const std::function<void(RaftNode&)>& action) {
  if (!this->Runs(i)) return;
  try {
    action(*this->replicas[i].node);
  } catch (const DiskCrash&) {
    this->Crash(i);
    return;
  } catch (const InternalError& error) {
    this->violations.emplace_back(error.what());
    this->Crash(i);
    return;
  }
  this->CheckReads(i);
  this->ScheduleWakeup(i);
}

void ConsensusGroup::ScheduleWakeup(std::size_t i) {
  Replica& replica = this->replicas[i];
  const auto local = replica.node->NextWakeup();
  if (local == replica.wakeup_time) return;
  replica.wakeup_time = local;
  const std::uint64_t wakeup = ++replica.wakeup;
  if (local == steady_clock::time_point::max()) return;
  const double ticks = static_cast<double>(local.time_since_epoch().count()) /
                       replica.clock_rate;
  const steady_clock::time_point due(
      steady_clock::duration(static_cast<steady_clock::rep>(ticks)));
  this->queue.At(due + microseconds(1), [this, i, wakeup] {
    if (this->replicas[i].wakeup != wakeup) return;
    this->replicas[i].wakeup_time.reset();
    this->Input(i, [&](RaftNode& node) { node.OnTick(this->Local(i)); });
  });
}

RaftHooks ConsensusGroup::Hooks(std::size_t i) {
  Replica& replica = this->replicas[i];
  RaftHooks hooks;
  hooks.send = [this, i](const NodeId& to, const ConsensusMessage& message) {
    this->Send(i, to, message);
  };
  hooks.apply = [this, i](const ControlEntry& e) { this->Apply(i, e); };
  hooks.take_snapshot = [this, &replica] {
    return std::to_string(replica.applied) + ":" +
           std::to_string(replica.state) + ":" +
           std::string(this->options.state_padding, 'p');
  };
  hooks.restore_snapshot = [&replica](const std::string& state) {
    const auto colon = state.find(':');
    replica.applied = state.empty() ? 0 : std::stoull(state);
    replica.state = state.empty() ? 0 : std::stoull(state.substr(colon + 1));
  };
  hooks.leadership_changed = [this](const Leadership& leadership) {
    if (!leadership.self) return;
    const auto [first, is_new] =
        this->leaders.emplace(leadership.term, leadership.leader);
    if (is_new || first->second == leadership.leader) return;
    this->violations.push_back("two leaders in term " +
                               std::to_string(leadership.term));
  };
  hooks.election_failed = this->options.on_election_failed;
  hooks.learner_caught_up = this->options.on_learner_caught_up;
  hooks.snapshot_stored = this->options.on_snapshot_stored;
  hooks.failed = [](const std::string&) {};
  return hooks;
}

void ConsensusGroup::Send(std::size_t from, const NodeId& to,
                          const ConsensusMessage& message) {
  if (this->options.on_send) this->options.on_send(message);
  const std::size_t target = IndexOf(to);
  const int copies = this->Chance(this->options.duplication) ? 2 : 1;
  std::uniform_int_distribution<microseconds::rep> extra(
      0, this->options.jitter.count());
  for (int copy = 0; copy < copies; ++copy) {
    const microseconds jitter(extra(this->random));
    if (this->Chance(this->options.loss)) continue;
    this->queue.After(this->options.latency(from, target) + jitter,
                      [this, from, target, message] {
                        this->Deliver(from, target, message);
                      });
  }
}

void ConsensusGroup::Deliver(std::size_t from, std::size_t to,
                             const ConsensusMessage& message) {
  if (this->cuts.count({from, to}) > 0) return;
  this->Input(to, [&](RaftNode& node) {
    node.OnMessage(this->Local(to), NodeOf(from), message);
  });
}

void ConsensusGroup::Apply(std::size_t i, const ControlEntry& entry) {
  Replica& replica = this->replicas[i];
  replica.applied = entry.index;
  replica.state =
      replica.state * 31 + std::hash<std::string>()(entry.payload) + entry.term;
  if (entry.index == this->committed.size() + 1) {
    this->committed.emplace_back(entry.term, replica.state);
    for (std::size_t other = 0; other < this->Size(); ++other) {
      if (other != i) this->CheckReads(other);
    }
    return;
  }
  const bool same = entry.index <= this->committed.size() &&
                    this->committed[entry.index - 1] ==
                        std::make_pair(entry.term, replica.state);
  if (same) return;
  this->violations.push_back("entry " + std::to_string(entry.index) +
                             " is not the one committed before");
}

void ConsensusGroup::CheckReads(std::size_t i) {
  if (!this->CanServeReads(i)) return;
  if (this->replicas[i].applied >= this->committed.size()) return;
  this->violations.push_back("stale read in term " +
                             std::to_string(this->Node(i).Term()));
}

bool ConsensusGroup::Chance(double probability) {
  return std::bernoulli_distribution(probability)(this->random);
}

}  // namespace lacewingferry::model
