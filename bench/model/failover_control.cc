#include "bench/model/failover_control.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "lacewingferry/decisions/consensus/voter_identity.h"

namespace lacewingferry::model {
namespace {

using std::chrono::steady_clock;

/** Whether a type is one of the alternatives of ConsensusMessage. */
template <typename T, typename Variant>
struct IsAlternative;
template <typename T, typename... Ts>
struct IsAlternative<T, std::variant<Ts...>>
    : std::disjunction<std::is_same<T, Ts>...> {};

std::optional<ConsensusMessage> AsConsensus(const PeerBody& body) {
  return std::visit(
      [](const auto& held) -> std::optional<ConsensusMessage> {
        using Held = std::decay_t<decltype(held)>;
        if constexpr (IsAlternative<Held, ConsensusMessage>::value) {
          return ConsensusMessage(held);
        } else {
          return std::nullopt;
        }
      },
      body);
}

}  // namespace

NodeId FailoverControl::NodeOf(std::size_t i) {
  return NodeId("control-" + std::to_string(i));
}

FailoverControl::FailoverControl(EventQueue& event_queue,
                                 FailoverControlOptions control_options)
    : queue(event_queue),
      options(std::move(control_options)),
      random(this->options.seed),
      replicas(kReplicas) {
  ControlConfiguration configuration;
  std::vector<VoterId> identities;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    this->replicas[i].disk = std::make_unique<MemoryDisk>(this->random());
    identities.push_back(LoadOrCreateIdentity(
        this->replicas[i].disk->Port(), this->options.codec, this->random));
    configuration.members.push_back(
        {identities.back(), NodeOf(i), ControlRole::kVoter});
  }
  for (std::size_t i = 0; i < kReplicas; ++i) {
    Replica& replica = this->replicas[i];
    const StoragePort storage = replica.disk->Port();
    ControlLog(storage, this->options.codec).Found(configuration);
    replica.manager = std::make_unique<FailoverManager>(
        replica.terms, this->ManagerHooksOf(i), this->options.settings);
    RaftParts parts;
    parts.self = identities[i];
    parts.hooks = this->HooksOf(i);
    parts.storage = storage;
    parts.codec = this->options.codec;
    parts.seed = this->random();
    replica.node =
        std::make_unique<RaftNode>(std::move(parts), this->queue.Now());
    this->Arm(i);
  }
}

RaftHooks FailoverControl::HooksOf(std::size_t i) {
  RaftHooks hooks;
  hooks.send = [this, i](const NodeId& to, const ConsensusMessage& message) {
    std::visit(
        [&](const auto& held) { this->options.send(NodeOf(i), to, held); },
        message);
  };
  hooks.apply = [this, i](const ControlEntry& entry) { this->Apply(i, entry); };
  hooks.take_snapshot = [] { return std::string(); };
  hooks.restore_snapshot = [](const std::string&) {};
  hooks.leadership_changed = [](const Leadership&) {};
  hooks.failed = [](const std::string&) {};
  return hooks;
}

FailoverHooks FailoverControl::ManagerHooksOf(std::size_t i) {
  FailoverHooks hooks;
  hooks.send = [this, i](const NodeId& to, const PeerBody& body) {
    this->options.send(NodeOf(i), to, body);
  };
  hooks.propose = [this, i](steady_clock::time_point now,
                            const DatabaseCommand& command) {
    this->commands.push_back(command);
    const std::string payload = std::to_string(this->commands.size() - 1);
    this->Input(i, [&](RaftNode& node) { node.Propose(now, payload); });
  };
  hooks.owners = this->options.owners;
  hooks.proxies = this->options.proxies;
  hooks.events = this->options.events;
  return hooks;
}

void FailoverControl::Apply(std::size_t i, const ControlEntry& entry) {
  if (entry.payload.empty()) return;
  const DatabaseCommand& command = this->commands[std::stoull(entry.payload)];
  const ApplyResult verdict = this->replicas[i].terms.Apply(command);
  if (entry.index > this->applied_index) {
    this->applied_index = entry.index;
    this->options.applied(command, verdict);
  }
  // A hook of the control log must not call it, and the manager may.
  this->queue.After(std::chrono::nanoseconds(0), [this, i, command, verdict] {
    this->replicas[i].manager->OnApplied(this->queue.Now(), command, verdict);
    this->Arm(i);
  });
}

void FailoverControl::Input(std::size_t i,
                            const std::function<void(RaftNode&)>& action) {
  if (!this->replicas[i].node) return;
  action(*this->replicas[i].node);
  this->Arm(i);
}

void FailoverControl::FollowLeadership(std::size_t i) {
  Replica& replica = this->replicas[i];
  const auto now = this->queue.Now();
  const std::uint64_t term = replica.node->Term();
  if (replica.leads_in != 0 &&
      (!replica.node->IsLeader() || term != replica.leads_in)) {
    replica.leads_in = 0;
    replica.manager->OnLeadership(now, false);
  }
  if (replica.leads_in == 0 && replica.node->CanServeReads(now)) {
    replica.leads_in = term;
    replica.manager->OnLeadership(now, true);
  }
}

std::optional<std::size_t> FailoverControl::Leader() const {
  for (std::size_t i = 0; i < kReplicas; ++i) {
    const Replica& replica = this->replicas[i];
    if (replica.node && replica.node->CanServeReads(this->queue.Now())) {
      return i;
    }
  }
  return std::nullopt;
}

void FailoverControl::Receive(std::size_t i, const NodeId& from,
                              const PeerBody& body) {
  Replica& replica = this->replicas[i];
  if (!replica.node || replica.paused) return;
  if (const auto message = AsConsensus(body)) {
    this->Input(i, [&](RaftNode& node) {
      node.OnMessage(this->queue.Now(), from, *message);
    });
  } else if (replica.leads_in != 0 &&
             replica.node->CanServeReads(this->queue.Now())) {
    replica.manager->OnMessage(this->queue.Now(), from, body);
  } else {
    this->Redirect(i, from);
  }
  this->Arm(i);
}

void FailoverControl::Redirect(std::size_t i, const NodeId& to) {
  const Leadership leadership = this->replicas[i].node->CurrentLeadership();
  if (leadership.node.Empty() || leadership.self) return;
  this->options.send(NodeOf(i), to,
                     ControlRedirect{leadership.node, "", leadership.term});
}

void FailoverControl::Announce(std::size_t i,
                               const MemberAnnouncement& announcement) {
  if (!this->replicas[i].node) return;
  this->replicas[i].manager->OnAnnouncement(this->queue.Now(), announcement);
  this->Arm(i);
}

void FailoverControl::Arm(std::size_t i) {
  Replica& replica = this->replicas[i];
  if (!replica.node) return;
  this->FollowLeadership(i);
  auto next = replica.node->NextWakeup();
  if (const auto due = replica.manager->NextWakeup()) {
    next = std::min(next, *due);
  }
  if (next == replica.armed_for) return;
  replica.armed_for = next;
  this->queue.At(next, [this, i, next] {
    if (this->replicas[i].armed_for == next) this->Tick(i);
  });
}

void FailoverControl::Tick(std::size_t i) {
  Replica& replica = this->replicas[i];
  if (!replica.node) return;
  replica.armed_for.reset();
  replica.node->OnTick(this->queue.Now());
  this->FollowLeadership(i);
  replica.manager->OnTick(this->queue.Now());
  this->Arm(i);
}

}  // namespace lacewingferry::model
