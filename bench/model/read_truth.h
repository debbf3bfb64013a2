#ifndef BENCH_MODEL_READ_TRUTH_H_
#define BENCH_MODEL_READ_TRUTH_H_

// Defines ReadTruth, what is true of the fake members whatever the proxies
// believe.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "bench/model/fake_group.h"

namespace lacewingferry::model {

/** Records when each version of each key was committed, and judges from the
 * members' true state which reads were lawful. */
class ReadTruth {
 public:
  /** Takes an entry that the primary committed at a time. */
  void OnCommit(std::chrono::steady_clock::time_point now,
                const FakeEntry& entry);

  /** How old a version of a key is: the time since the next version was
   * committed. Versions count from 1; 0 stands for a missing key. */
  std::chrono::nanoseconds AgeOf(std::chrono::steady_clock::time_point now,
                                 const std::string& key,
                                 std::size_t version) const;

  /** How old the data of a member is. */
  std::chrono::nanoseconds AgeOf(std::chrono::steady_clock::time_point now,
                                 const FakeMember& member) const;

 private:
  using Times = std::vector<std::chrono::steady_clock::time_point>;

  /** The commit times by offset; without a change of primary offsets are
   * unique. */
  Times by_offset;
  std::map<std::string, Times> by_key;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_READ_TRUTH_H_
