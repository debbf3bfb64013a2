#include "lacewingferry/decisions/membership/record_comparison.h"

#include <map>
#include <utility>

namespace lacewingferry {
namespace {

constexpr std::size_t kMaxBucketsPerComparison = 16;

}  // namespace

RecordComparison::RecordComparison(MembershipTable& membership_table,
                                   DeltaOutbox& delta_outbox,
                                   SendHook send_hook)
    : table(membership_table),
      outbox(delta_outbox),
      send(std::move(send_hook)) {}

void RecordComparison::Start(const std::string& peer_url) {
  this->send(peer_url, MembershipDigest{this->table.RootHash()});
}

void RecordComparison::OnDigest(
    const std::string& peer_url, const MembershipDigest& digest,
    const std::vector<UnreachableZone>& unreachable) {
  MembershipBuckets answer;
  answer.unreachable = unreachable;
  if (digest.root != this->table.RootHash()) {
    answer.hashes = this->table.BucketHashes();
  }
  this->send(peer_url, answer);
}

bool RecordComparison::OnBuckets(const std::string& peer_url,
                                 const MembershipBuckets& theirs) {
  if (theirs.hashes.size() != MembershipTable::kBuckets) return true;
  const std::vector<std::uint64_t> ours = this->table.BucketHashes();
  MembershipVersions versions;
  // Starts after the bucket compared last, so that each bucket has its turn.
  const std::uint32_t start = this->next_bucket;
  for (std::uint32_t i = 0; i < ours.size(); ++i) {
    const auto bucket = static_cast<std::uint32_t>((start + i) % ours.size());
    if (ours[bucket] == theirs.hashes[bucket]) continue;
    if (versions.buckets.size() == kMaxBucketsPerComparison) break;
    versions.buckets.push_back(bucket);
    this->next_bucket = bucket + 1;
    for (const KeyVersion& version : this->table.VersionsInBucket(bucket)) {
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
  std::map<std::uint64_t, RecordVersion> peer_versions;
  MembershipPull pull;
  for (const KeyVersion& version : theirs.versions) {
    peer_versions[version.key] = version.version;
    const MembershipRecord* held = this->table.Find(version.key);
    const bool missing_here = held == nullptr && !version.version.gone;
    if (missing_here ||
        (held != nullptr && held->Version() < version.version)) {
      pull.keys.push_back(version.key);
    }
  }
  std::vector<MembershipRecord> newer;
  for (const std::uint32_t bucket : theirs.buckets) {
    if (bucket >= MembershipTable::kBuckets) continue;
    for (const KeyVersion& ours : this->table.VersionsInBucket(bucket)) {
      const auto peer_version = peer_versions.find(ours.key);
      const bool missing_there =
          peer_version == peer_versions.end() && !ours.version.gone;
      if (missing_there || (peer_version != peer_versions.end() &&
                            peer_version->second < ours.version)) {
        newer.push_back(*this->table.Find(ours.key));
      }
    }
  }
  if (!pull.keys.empty()) this->send(peer_url, pull);
  this->outbox.SendComparisonResult(now, peer_url, newer);
}

void RecordComparison::OnPull(std::chrono::steady_clock::time_point now,
                              const std::string& peer_url,
                              const MembershipPull& pull) {
  std::vector<MembershipRecord> records;
  for (const std::uint64_t key : pull.keys) {
    const MembershipRecord* held = this->table.Find(key);
    if (held != nullptr) records.push_back(*held);
  }
  this->outbox.SendComparisonResult(now, peer_url, records);
}

}  // namespace lacewingferry
