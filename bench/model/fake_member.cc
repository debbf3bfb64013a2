#include "bench/model/fake_member.h"

#include <algorithm>
#include <utility>

namespace lacewingferry::model {
LogPosition FakeMember::Durable() const {
  return this->log.empty() ? LogPosition{} : this->log.back().position;
}

LogPosition FakeMember::Applied() const {
  return this->applied == 0 ? LogPosition{}
                            : this->log[this->applied - 1].position;
}

bool FakeMember::Fence(std::uint64_t new_term) {
  if (new_term < this->term) return false;
  if (new_term == this->term && !this->fenced) return false;
  this->term = new_term;
  this->fenced = true;
  this->primary = false;
  this->following = MemberId();
  this->replicas.clear();
  return true;
}

bool FakeMember::Promote(std::uint64_t new_term) {
  if (new_term != this->term) return false;
  if (!this->fenced) return this->primary;
  this->primary = true;
  this->fenced = false;
  this->ApplyTo(this->log.size());
  return true;
}

bool FakeMember::Follow(std::uint64_t new_term, const MemberId& primary_id) {
  if (new_term < this->term) return false;
  if (new_term == this->term && this->primary) return false;
  this->term = new_term;
  this->fenced = false;
  this->primary = false;
  this->following = primary_id;
  return true;
}

void FakeMember::Commit(std::vector<std::pair<std::string, std::string>> puts) {
  const std::uint64_t offset = this->Durable().offset + 1;
  this->log.push_back(FakeEntry{{this->term, offset}, std::move(puts)});
  this->ApplyTo(this->log.size());
}

std::size_t FakeMember::CommonWith(const std::vector<FakeEntry>& source) const {
  std::size_t common = 0;
  while (common < this->log.size() && common < source.size() &&
         this->log[common].position == source[common].position) {
    ++common;
  }
  return common;
}

std::size_t FakeMember::CopyLog(const std::vector<FakeEntry>& source) {
  const std::size_t common = this->CommonWith(source);
  const std::size_t dropped = this->log.size() - common;
  if (dropped > 0) {
    this->log.resize(common);
    ++this->history_epoch;
    const std::size_t visible = std::min(this->applied, common);
    this->applied = 0;
    this->state.clear();
    this->ApplyTo(visible);
  }
  this->log.insert(this->log.end(),
                   source.begin() + static_cast<std::ptrdiff_t>(common),
                   source.end());
  return dropped;
}

void FakeMember::ApplyTo(std::size_t count) {
  while (this->applied < std::min(count, this->log.size())) {
    for (const auto& put : this->log[this->applied].puts) {
      this->state[put.first] = put.second;
    }
    ++this->applied;
  }
}

std::vector<GroupMemberState> FakeMember::State() const {
  std::vector<GroupMemberState> rows;
  rows.push_back({this->info.id, true, this->primary, this->term,
                  this->Durable(), this->Applied()});
  for (const auto& [replica, report] : this->replicas) {
    rows.push_back(
        {replica, false, false, report.term, report.durable, report.applied});
  }
  return rows;
}

MemberAnnouncement FakeMember::Announcement(std::uint64_t sequence) const {
  MemberAnnouncement announcement;
  announcement.info = this->info;
  announcement.primary = this->primary;
  announcement.term = this->term;
  // The model's endpoints carry the member's name as the host.
  announcement.replication_endpoint = Endpoint{this->info.id.Value(), 1};
  announcement.position = this->Durable();
  announcement.sequence = sequence;
  return announcement;
}

}  // namespace lacewingferry::model
