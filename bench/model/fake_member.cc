#include "bench/model/fake_member.h"

#include <algorithm>
#include <utility>

namespace lacewingferry::model {
namespace {

std::vector<SqlValue> StatusRow(const MemberId& id, bool self, bool primary,
                                std::uint64_t term, const LogPosition& durable,
                                const LogPosition& applied) {
  const auto text = [](std::uint64_t n) { return SqlValue(std::to_string(n)); };
  return {SqlValue(id.Value()),
          SqlValue(self ? "t" : "f"),
          SqlValue(primary ? "primary" : "replica"),
          text(term),
          text(durable.term),
          text(durable.offset),
          text(applied.term),
          text(applied.offset)};
}

}  // namespace

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

ResultSet FakeMember::StatusRows() const {
  ResultSet rows;
  rows.rows.push_back(StatusRow(this->info.id, true, this->primary, this->term,
                                this->Durable(), this->Applied()));
  for (const auto& entry : this->replicas) {
    rows.rows.push_back(StatusRow(entry.first, false, false, entry.second.term,
                                  entry.second.durable, entry.second.applied));
  }
  return rows;
}

}  // namespace lacewingferry::model
