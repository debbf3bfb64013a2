#include "lacewingferry/decisions/membership/record_comparison.h"

#include <map>
#include <utility>

namespace lacewingferry {
namespace {

constexpr std::size_t kMostBucketsAtOnce = 16;

}  // namespace

RecordComparison::RecordComparison(MembershipTable& compared,
                                   DeltaOutbox& delta_outbox,
                                   SendHook send_hook)
    : table(compared), outbox(delta_outbox), send(std::move(send_hook)) {}

void RecordComparison::Begin(const std::string& peer_url) {
  this->send(peer_url, MembershipDigest{this->table.Root()});
}

void RecordComparison::OnDigest(
    const std::string& peer_url, const MembershipDigest& digest,
    const std::vector<UnreachableZone>& unreachable) {
  MembershipBuckets answer;
  answer.unreachable = unreachable;
  if (digest.root != this->table.Root()) {
    answer.hashes = this->table.BucketHashes();
  }
  this->send(peer_url, answer);
}

bool RecordComparison::OnBuckets(const std::string& peer_url,
                                 const MembershipBuckets& theirs) {
  if (theirs.hashes.size() != MembershipTable::kBuckets) return true;
  const std::vector<std::uint64_t> ours = this->table.BucketHashes();
  MembershipVersions versions;
  // Starting after the last bucket compared lets each have its turn.
  const std::uint32_t start = this->first_bucket;
  for (std::uint32_t i = 0; i < ours.size(); ++i) {
    const auto bucket = static_cast<std::uint32_t>((start + i) % ours.size());
    if (ours[bucket] == theirs.hashes[bucket]) continue;
    if (versions.buckets.size() == kMostBucketsAtOnce) break;
    versions.buckets.push_back(bucket);
    this->first_bucket = bucket + 1;
    for (const KeyVersion& version : this->table.Versions(bucket)) {
      versions.versions.push_back(version);
    }
  }
  if (versions.buckets.empty()) return true;
  this->send(peer_url, versions);
  return false;
}

void RecordComparison::OnVersions(std::chrono::steady_clock::time_point now,
                                  const std::string& peer_url,
                                  const MembershipVersions& theirs) {
  std::map<std::uint64_t, RecordVersion> known_there;
  MembershipPull pull;
  for (const KeyVersion& version : theirs.versions) {
    known_there[version.key] = version.version;
    const MembershipRecord* held = this->table.Find(version.key);
    const bool missing = held == nullptr && !version.version.gone;
    if (missing || (held != nullptr && held->Version() < version.version)) {
      pull.keys.push_back(version.key);
    }
  }
  std::vector<MembershipRecord> newer;
  for (const std::uint32_t bucket : theirs.buckets) {
    if (bucket >= MembershipTable::kBuckets) continue;
    for (const KeyVersion& ours : this->table.Versions(bucket)) {
      const auto there = known_there.find(ours.key);
      const bool unknown = there == known_there.end() && !ours.version.gone;
      if (unknown ||
          (there != known_there.end() && there->second < ours.version)) {
        newer.push_back(*this->table.Find(ours.key));
      }
    }
  }
  if (!pull.keys.empty()) this->send(peer_url, pull);
  this->outbox.SendCompared(now, peer_url, newer);
}

void RecordComparison::OnPull(std::chrono::steady_clock::time_point now,
                              const std::string& peer_url,
                              const MembershipPull& pull) {
  std::vector<MembershipRecord> records;
  for (const std::uint64_t key : pull.keys) {
    const MembershipRecord* held = this->table.Find(key);
    if (held != nullptr) records.push_back(*held);
  }
  this->outbox.SendCompared(now, peer_url, records);
}

}  // namespace lacewingferry
