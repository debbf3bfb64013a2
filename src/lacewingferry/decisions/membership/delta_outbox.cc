#include "lacewingferry/decisions/membership/delta_outbox.h"

#include <algorithm>
#include <iterator>

namespace lacewingferry {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{120};
constexpr int kMaxAttempts = 8;
constexpr std::size_t kMaxRecordsPerDelta = 64;

}  // namespace

void DeltaOutbox::Add(const std::string& peer_url,
                      const MembershipRecord& record) {
  this->batches[peer_url].push_back(record);
}

void DeltaOutbox::SendComparisonResult(
    std::chrono::steady_clock::time_point now, const std::string& peer_url,
    const std::vector<MembershipRecord>& records) {
  this->SendBatches(now, peer_url, records, true);
}

void DeltaOutbox::SendBatches(std::chrono::steady_clock::time_point now,
                              const std::string& peer_url,
                              const std::vector<MembershipRecord>& records,
                              bool compared) {
  for (std::size_t i = 0; i < records.size(); i += kMaxRecordsPerDelta) {
    const std::size_t end = std::min(records.size(), i + kMaxRecordsPerDelta);
    SentDelta sent;
    sent.peer_url = peer_url;
    sent.delta.delta_id = ++this->last_id;
    sent.delta.compared = compared;
    for (std::size_t j = i; j < end; ++j) {
      sent.delta.records.push_back(records[j]);
    }
    sent.next_retry = now + kRetryInterval;
    this->send(sent.peer_url, sent.delta);
    this->unacknowledged[this->last_id] = std::move(sent);
  }
}

void DeltaOutbox::Flush(std::chrono::steady_clock::time_point now) {
  for (const auto& entry : this->batches) {
    this->SendBatches(now, entry.first, entry.second, false);
  }
  this->batches.clear();
}

void DeltaOutbox::OnTick(std::chrono::steady_clock::time_point now) {
  for (auto it = this->unacknowledged.begin();
       it != this->unacknowledged.end();) {
    SentDelta& sent = it->second;
    if (now < sent.next_retry) {
      ++it;
    } else if (sent.attempts == kMaxAttempts) {
      it = this->unacknowledged.erase(it);
    } else {
      ++sent.attempts;
      sent.next_retry = now + kRetryInterval;
      this->send(sent.peer_url, sent.delta);
      ++it;
    }
  }
}

void DeltaOutbox::OnAck(std::uint64_t delta_id) {
  this->unacknowledged.erase(delta_id);
}

void DeltaOutbox::RemovePeer(const std::string& peer_url) {
  this->batches.erase(peer_url);
  for (auto it = this->unacknowledged.begin();
       it != this->unacknowledged.end();) {
    const bool drop = it->second.peer_url == peer_url;
    it = drop ? this->unacknowledged.erase(it) : std::next(it);
  }
}

}  // namespace lacewingferry
