#include "lacewingferry/decisions/failover/primary_inquiry.h"

#include <algorithm>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

bool HasLostPrimary(const ObserveReply& reply) {
  const bool primary_gone = reply.primary_sight == MemberSight::kRefuses ||
                            reply.primary_sight == MemberSight::kSilent;
  return primary_gone && reply.replica_sight == MemberSight::kAnswers;
}

}  // namespace

PrimaryInquiry::PrimaryInquiry(steady_clock::time_point now,
                               const FailoverContext& failover_context,
                               const DatabaseTerm& database_entry,
                               std::uint64_t id)
    : context(failover_context),
      entry(database_entry),
      inquiry_id(id),
      limit(now + failover_context.settings.inquiry_limit),
      next_ask(now + failover_context.settings.inquiry_retry) {
  if (this->context.FindMember(this->entry.primary) == nullptr) {
    this->verdict = InquiryVerdict::kNotProven;
    return;
  }
  this->AskAll();
}

void PrimaryInquiry::AskAll() {
  const MemberAnnouncement* primary =
      this->context.FindMember(this->entry.primary);
  for (const MemberId& id : this->entry.members) {
    const MemberAnnouncement* replica = this->context.FindMember(id);
    if (id == this->entry.primary || replica == nullptr) continue;
    if (this->lost.count(id) > 0) continue;
    const std::vector<NodeId> owners =
        this->context.hooks.owners(replica->info);
    if (owners.empty()) continue;
    this->context.hooks.send(
        owners[this->asked % owners.size()],
        ObserveRequest{this->inquiry_id, this->entry.database, primary->info,
                       replica->info,
                       this->context.settings.observer_patience});
  }
  ++this->asked;
}

void PrimaryInquiry::OnReply(const ObserveReply& reply) {
  if (reply.inquiry_id != this->inquiry_id) return;
  if (this->verdict != InquiryVerdict::kOpen) return;
  if (reply.replica == this->entry.primary ||
      !this->entry.HasMember(reply.replica)) {
    return;
  }
  // Of two observers of a replica, one that had an answer from the primary
  // outweighs one that had none.
  const bool lost_here = HasLostPrimary(reply);
  const auto known = this->lost.emplace(reply.replica, lost_here).first;
  known->second = known->second && lost_here;
  this->Judge();
}

void PrimaryInquiry::Judge() {
  const auto losses = static_cast<std::uint32_t>(
      std::count_if(this->lost.begin(), this->lost.end(),
                    [](const auto& item) { return item.second; }));
  const auto holding = static_cast<std::uint32_t>(this->lost.size()) - losses;
  const std::uint32_t replicas = this->entry.group_size - 1;
  if (losses >= this->entry.Majority()) {
    this->verdict = InquiryVerdict::kLost;
  } else if (holding + this->entry.Majority() > replicas) {
    this->verdict = InquiryVerdict::kNotProven;
  }
}

void PrimaryInquiry::OnTick(steady_clock::time_point now) {
  if (this->verdict != InquiryVerdict::kOpen) return;
  if (now >= this->limit) {
    this->verdict = InquiryVerdict::kNotProven;
    return;
  }
  if (now < this->next_ask) return;
  this->next_ask = now + this->context.settings.inquiry_retry;
  this->AskAll();
}

steady_clock::time_point PrimaryInquiry::NextWakeup() const {
  return std::min(this->limit, this->next_ask);
}

}  // namespace lacewingferry
