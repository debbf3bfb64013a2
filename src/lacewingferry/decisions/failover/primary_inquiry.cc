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
      deadline(now + failover_context.settings.inquiry_timeout),
      next_request(now + failover_context.settings.inquiry_retry_interval) {
  if (this->context.FindMember(this->entry.primary) == nullptr) {
    this->result = InquiryResult::kNotProven;
    return;
  }
  this->SendRequests();
}

void PrimaryInquiry::SendRequests() {
  const MemberAnnouncement* primary =
      this->context.FindMember(this->entry.primary);
  for (const MemberId& id : this->entry.members) {
    const MemberAnnouncement* replica = this->context.FindMember(id);
    if (id == this->entry.primary || replica == nullptr) continue;
    if (this->lost_primary.count(id) > 0) continue;
    const std::vector<NodeId> owners =
        this->context.hooks.owners(replica->info);
    if (owners.empty()) continue;
    this->context.hooks.send(
        owners[this->rounds % owners.size()],
        ObserveRequest{this->inquiry_id, this->entry.database, primary->info,
                       replica->info, this->context.settings.observer_timeout});
  }
  ++this->rounds;
}

void PrimaryInquiry::OnReply(const ObserveReply& reply) {
  if (reply.inquiry_id != this->inquiry_id) return;
  if (this->result != InquiryResult::kPending) return;
  if (reply.replica == this->entry.primary ||
      !this->entry.HasMember(reply.replica)) {
    return;
  }
  // If several observers report on a replica, one report that does not show the
  // loss outweighs the others.
  const bool lost_now = HasLostPrimary(reply);
  const auto known = this->lost_primary.emplace(reply.replica, lost_now).first;
  known->second = known->second && lost_now;
  this->Evaluate();
}

void PrimaryInquiry::Evaluate() {
  const auto lost_count = static_cast<std::uint32_t>(
      std::count_if(this->lost_primary.begin(), this->lost_primary.end(),
                    [](const auto& item) { return item.second; }));
  const auto not_lost_count =
      static_cast<std::uint32_t>(this->lost_primary.size()) - lost_count;
  const std::uint32_t replicas = this->entry.group_size - 1;
  if (lost_count >= this->entry.Majority()) {
    this->result = InquiryResult::kLost;
  } else if (not_lost_count + this->entry.Majority() > replicas) {
    this->result = InquiryResult::kNotProven;
  }
}

void PrimaryInquiry::OnTick(steady_clock::time_point now) {
  if (this->result != InquiryResult::kPending) return;
  if (now >= this->deadline) {
    this->result = InquiryResult::kNotProven;
    return;
  }
  if (now < this->next_request) return;
  this->next_request = now + this->context.settings.inquiry_retry_interval;
  this->SendRequests();
}

steady_clock::time_point PrimaryInquiry::NextWakeup() const {
  return std::min(this->deadline, this->next_request);
}

}  // namespace lacewingferry
