#include "lacewingferry/decisions/consensus/raft_context.h"

#include <string>
#include <utility>

namespace lacewingferry {

void RaftContext::BecomeFollower() {
  this->role = RaftRole::kFollower;
  this->leader = VoterId();
  this->leader_node = NodeId();
}

void RaftContext::AdoptTerm(std::uint64_t term) {
  this->log.SaveVote(term, VoterId());
  this->BecomeFollower();
}

void RaftContext::CommitUpTo(std::uint64_t index) {
  if (index <= this->commit_index) return;
  this->commit_index = index;
  while (this->applied_index < this->commit_index) {
    const ControlEntry entry = this->log.At(this->applied_index + 1);
    this->hooks.apply(entry);
    ++this->applied_index;
    this->applied_bytes += EstimatedBytes(entry);
  }
  if (this->SnapshotDue()) this->StoreSnapshot();
}

bool RaftContext::SnapshotDue() const {
  const SnapshotRecord& snapshot = this->log.Snapshot();
  return this->applied_index - snapshot.last_index >=
             this->settings.snapshot_entries ||
         this->applied_bytes >=
             this->settings.SnapshotInterval(snapshot.state.size());
}

void RaftContext::StoreSnapshot() {
  std::string state = this->hooks.take_snapshot();
  const std::uint64_t retained = this->log.CountWithin(
      this->applied_index, this->settings.retained_entries,
      this->settings.SnapshotInterval(state.size()) / 2);
  this->log.SaveSnapshot(this->applied_index, std::move(state), retained);
  this->applied_bytes = 0;
  this->ReportSnapshot(false);
}

void RaftContext::ReportSnapshot(bool received) const {
  if (!this->hooks.snapshot_stored) return;
  const SnapshotRecord& snapshot = this->log.Snapshot();
  this->hooks.snapshot_stored(
      {snapshot.last_index, snapshot.state.size(), received});
}

void RaftContext::RestoreSnapshot() {
  const SnapshotRecord& snapshot = this->log.Snapshot();
  this->hooks.restore_snapshot(snapshot.state);
  this->commit_index = snapshot.last_index;
  this->applied_index = snapshot.last_index;
  this->applied_bytes = 0;
}

}  // namespace lacewingferry
