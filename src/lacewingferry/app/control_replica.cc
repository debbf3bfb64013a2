#include "lacewingferry/app/control_replica.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "lacewingferry/app/control_disk.h"
#include "lacewingferry/decisions/consensus/found_control_log.h"
#include "lacewingferry/decisions/consensus/voter_identity.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** The part of a peer message that belongs to the log, if it is one. */
std::optional<ConsensusMessage> AsConsensus(const PeerBody& body) {
  return std::visit(
      [](const auto& message) -> std::optional<ConsensusMessage> {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_constructible_v<ConsensusMessage, Message>) {
          return ConsensusMessage(message);
        } else {
          return std::nullopt;
        }
      },
      body);
}

/** The replicas of a role, each as IDENTITY@NODE, separated by spaces. */
std::string ListMembers(const ControlConfiguration& configuration,
                        ControlRole role) {
  std::string list;
  for (const ControlMember& member : configuration.members) {
    if (member.role != role) continue;
    if (!list.empty()) list += ' ';
    list += member.voter.Value() + "@" + member.node.Value();
  }
  return list;
}

std::string ListNodes(const std::vector<NodeId>& nodes) {
  std::string list;
  for (const NodeId& node : nodes) {
    if (!list.empty()) list += ' ';
    list += node.Value();
  }
  return list;
}

const char* RoleName(const ControlConfiguration& configuration,
                     const VoterId& replica) {
  const ControlMember* member = configuration.Find(replica);
  if (member == nullptr) return "none";
  return member->role == ControlRole::kVoter ? "voter" : "learner";
}

}  // namespace

ControlReplica::ControlReplica(const ControlReplicaSettings& settings,
                               ControlReplicaHooks replica_hooks)
    : hooks(std::move(replica_hooks)) {
  ControlDisk disk = OpenControlDisk(settings.data_folder);
  if (!settings.founders.empty()) {
    FoundControlLogTogether(disk.storage, disk.codec, settings.self,
                            settings.founders);
  }
  RaftParts parts;
  parts.self = LoadOrCreateIdentity(disk.storage, disk.codec, disk.random);
  parts.settings = settings.raft;
  parts.repair = settings.repair;
  parts.storage = disk.storage;
  parts.codec = disk.codec;
  parts.hooks = this->MakeRaftHooks();
  parts.seed = disk.random();
  this->raft = std::make_unique<RaftNode>(std::move(parts), this->hooks.now());
  this->RecordStart(settings.raft.seeds);
}

void ControlReplica::RecordStart(const std::vector<NodeId>& seeds) {
  const ControlConfiguration& configuration = this->Configuration();
  this->hooks.events.record(
      Event{EventCode::kControlReplicaStarted,
            EventLevel::kInfo,
            {{"replica", this->raft->Self().Value()},
             {"role", RoleName(configuration, this->raft->Self())},
             {"term", std::to_string(this->raft->Term())},
             {"index", std::to_string(this->raft->LastIndex())},
             {"voters", ListMembers(configuration, ControlRole::kVoter)},
             {"learners", ListMembers(configuration, ControlRole::kLearner)},
             {"seeds", ListNodes(seeds)}}});
}

RaftHooks ControlReplica::MakeRaftHooks() {
  RaftHooks raft_hooks;
  raft_hooks.send = [this](const NodeId& to, const ConsensusMessage& message) {
    std::visit([this, &to](const auto& body) { this->hooks.send(to, body); },
               message);
  };
  raft_hooks.apply = [this](const ControlEntry& entry) { this->Apply(entry); };
  raft_hooks.take_snapshot = [this] {
    return detail::EncodeFields(this->state.TakeSnapshot());
  };
  raft_hooks.restore_snapshot = [this](const std::string& bytes) {
    this->state.Restore(bytes.empty() ? ControlSnapshot{}
                                      : detail::DecodeFields<ControlSnapshot>(
                                            bytes.data(), bytes.size()));
  };
  raft_hooks.leadership_changed = [this](const Leadership& leadership) {
    if (!leadership.self) this->AbandonProposed();
  };
  raft_hooks.election_failed = [this](const ElectionFailure& failure) {
    this->hooks.events.record(
        Event{EventCode::kControlElectionFailed,
              EventLevel::kWarning,
              {{"term", std::to_string(failure.term)},
               {"votes", std::to_string(failure.votes)},
               {"quorum", std::to_string(failure.quorum)}}});
  };
  raft_hooks.join_waiting = [this](const JoinWait& wait) {
    this->hooks.events.record(
        Event{EventCode::kControlJoinWaiting,
              EventLevel::kWarning,
              {{"replica", wait.replica.Value()},
               {"asked", ListNodes(wait.asked)},
               {"waiting_ms", std::to_string(wait.duration.count())}}});
  };
  raft_hooks.join_requested = [this](const VoterId& replica,
                                     const NodeId& node) {
    this->hooks.events.record(
        Event{EventCode::kControlJoinRequested,
              EventLevel::kInfo,
              {{"replica", replica.Value()}, {"node", node.Value()}}});
  };
  raft_hooks.learner_caught_up = [this](const LearnerCopy& copy) {
    this->hooks.events.record(
        Event{EventCode::kControlLearnerCaughtUp,
              EventLevel::kInfo,
              {{"replica", copy.learner.Value()},
               {"node", copy.node.Value()},
               {"took_ms", std::to_string(copy.duration.count())},
               {"bytes", std::to_string(copy.bytes)}}});
  };
  raft_hooks.snapshot_stored = [this](const StoredSnapshot& stored) {
    this->hooks.events.record(
        Event{EventCode::kControlSnapshotStored,
              EventLevel::kInfo,
              {{"index", std::to_string(stored.index)},
               {"bytes", std::to_string(stored.state_bytes)},
               {"received", stored.received ? "yes" : "no"}}});
  };
  raft_hooks.failed = [this](const std::string& reason) {
    this->hooks.failed(reason);
  };
  return raft_hooks;
}

void ControlReplica::RecordMembers(const ControlEntry& entry) {
  this->hooks.events.record(Event{
      EventCode::kControlMembersChanged,
      EventLevel::kInfo,
      {{"index", std::to_string(entry.index)},
       {"voters", ListMembers(entry.configuration, ControlRole::kVoter)},
       {"learners", ListMembers(entry.configuration, ControlRole::kLearner)}}});
}

void ControlReplica::Apply(const ControlEntry& entry) {
  if (entry.kind == EntryKind::kConfiguration) this->RecordMembers(entry);
  if (entry.kind != EntryKind::kCommand) return;
  const auto command = detail::DecodeFields<ControlCommand>(
      entry.payload.data(), entry.payload.size());
  const ControlOutcome outcome = this->state.Apply(command, entry.index);
  this->applied_index = entry.index;
  this->applied_outcome = outcome;
  this->hooks.applied(this->hooks.now(), command, outcome);
  auto node = this->proposed.extract(entry.index);
  if (node.empty()) return;
  const Proposed& waiting = node.mapped();
  if (waiting.term == entry.term) {
    waiting.on_outcome(outcome);
  } else {
    waiting.on_outcome(std::nullopt);
  }
}

void ControlReplica::AbandonProposed() {
  const auto abandoned = std::move(this->proposed);
  this->proposed.clear();
  for (const auto& entry : abandoned) entry.second.on_outcome(std::nullopt);
}

bool ControlReplica::OnMessage(const NodeId& from, const PeerBody& body) {
  const auto message = AsConsensus(body);
  if (!message) return false;
  this->raft->OnMessage(this->hooks.now(), from, *message);
  return true;
}

void ControlReplica::OnTick() { this->raft->OnTick(this->hooks.now()); }

void ControlReplica::SetSeeds(std::vector<NodeId> seeds) {
  this->raft->SetSeeds(std::move(seeds));
}

steady_clock::time_point ControlReplica::NextWakeup() const {
  return this->raft->NextWakeup();
}

void ControlReplica::Propose(const ControlCommand& command,
                             OutcomeHook on_outcome) {
  const auto index =
      this->raft->Propose(this->hooks.now(), detail::EncodeFields(command));
  if (!index) {
    on_outcome(std::nullopt);
    return;
  }
  // A log of one replica has applied the command already.
  if (this->applied_index >= *index) {
    on_outcome(this->applied_outcome);
    return;
  }
  this->proposed[*index] = Proposed{this->raft->Term(), std::move(on_outcome)};
}

bool ControlReplica::IsMember() const {
  return this->Configuration().Find(this->raft->Self()) != nullptr;
}

std::size_t ControlReplica::SilentVoters() const {
  const GroupStatus group = this->raft->Status(this->hooks.now());
  return static_cast<std::size_t>(std::count_if(
      group.members.begin(), group.members.end(), [](const VoterStatus& s) {
        return s.member.role == ControlRole::kVoter && !s.connected;
      }));
}

bool ControlReplica::Serving() const {
  return this->raft->IsLeader() && this->raft->CanServeReads(this->hooks.now());
}

}  // namespace lacewingferry
