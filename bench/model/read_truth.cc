#include "bench/model/read_truth.h"

namespace lacewingferry::model {

using std::chrono::nanoseconds;
using std::chrono::steady_clock;

void ReadTruth::OnCommit(steady_clock::time_point now, const FakeEntry& entry) {
  this->by_offset.push_back(now);
  for (const auto& put : entry.puts) this->by_key[put.first].push_back(now);
}

nanoseconds ReadTruth::AgeOf(steady_clock::time_point now,
                             const std::string& key,
                             std::size_t version) const {
  const auto found = this->by_key.find(key);
  if (found == this->by_key.end()) return nanoseconds(0);
  if (version >= found->second.size()) return nanoseconds(0);
  return now - found->second[version];
}

nanoseconds ReadTruth::AgeOf(steady_clock::time_point now,
                             const FakeMember& member) const {
  if (member.applied >= this->by_offset.size()) return nanoseconds(0);
  return now - this->by_offset[member.applied];
}

}  // namespace lacewingferry::model
