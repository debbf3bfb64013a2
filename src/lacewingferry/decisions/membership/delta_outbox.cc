#include "lacewingferry/decisions/membership/delta_outbox.h"

#include <algorithm>
#include <iterator>

namespace lacewingferry {
namespace {

constexpr std::chrono::milliseconds kRepeatInterval{120};
constexpr int kMostAttempts = 8;
constexpr std::size_t kMostRecordsPerDelta = 64;

}  // namespace

void DeltaOutbox::Add(const std::string& peer_url,
                      const MembershipRecord& record) {
  this->collected[peer_url].push_back(record);
}

void DeltaOutbox::SendCompared(std::chrono::steady_clock::time_point now,
                               const std::string& peer_url,
                               const std::vector<MembershipRecord>& records) {
  this->SendAll(now, peer_url, records, true);
}

void DeltaOutbox::SendAll(std::chrono::steady_clock::time_point now,
                          const std::string& peer_url,
                          const std::vector<MembershipRecord>& records,
                          bool compared) {
  for (std::size_t i = 0; i < records.size(); i += kMostRecordsPerDelta) {
    const std::size_t end = std::min(records.size(), i + kMostRecordsPerDelta);
    Sent sent;
    sent.peer_url = peer_url;
    sent.delta.delta_id = ++this->last_id;
    sent.delta.compared = compared;
    for (std::size_t j = i; j < end; ++j) {
      sent.delta.records.push_back(records[j]);
    }
    sent.due = now + kRepeatInterval;
    this->send(sent.peer_url, sent.delta);
    this->unacknowledged[this->last_id] = std::move(sent);
  }
}

void DeltaOutbox::Flush(std::chrono::steady_clock::time_point now) {
  for (const auto& entry : this->collected) {
    this->SendAll(now, entry.first, entry.second, false);
  }
  this->collected.clear();
}

void DeltaOutbox::OnTick(std::chrono::steady_clock::time_point now) {
  for (auto it = this->unacknowledged.begin();
       it != this->unacknowledged.end();) {
    Sent& sent = it->second;
    if (now < sent.due) {
      ++it;
    } else if (sent.attempts == kMostAttempts) {
      it = this->unacknowledged.erase(it);
    } else {
      ++sent.attempts;
      sent.due = now + kRepeatInterval;
      this->send(sent.peer_url, sent.delta);
      ++it;
    }
  }
}

void DeltaOutbox::OnAck(std::uint64_t delta_id) {
  this->unacknowledged.erase(delta_id);
}

void DeltaOutbox::Forget(const std::string& peer_url) {
  this->collected.erase(peer_url);
  for (auto it = this->unacknowledged.begin();
       it != this->unacknowledged.end();) {
    const bool drop = it->second.peer_url == peer_url;
    it = drop ? this->unacknowledged.erase(it) : std::next(it);
  }
}

}  // namespace lacewingferry
