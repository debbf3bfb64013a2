#ifndef BENCH_MODEL_MEMBER_TROUBLES_H_
#define BENCH_MODEL_MEMBER_TROUBLES_H_

// Defines MemberTroubles, what befalls a member in the trials that
// docs/design/overload.md reports.

#include <functional>
#include <string>
#include <vector>

#include "bench/model/slow_member_trial.h"

namespace lacewingferry::model {

/** A named trouble, which it puts into the options of a trial. */
struct MemberTrouble {
  std::string name;
  std::function<void(SlowMemberOptions&)> apply;
};

/** All that befalls replicas: one is 20 times slower for 10 s, dead for 10 s,
 * hung for 10 s, dead in every second half of 10 s, or back after 5 s with a
 * cold cache. */
std::vector<MemberTrouble> MemberTroubles();

/** The primary dies, its term is released after a second, and another member
 * leads after three. */
MemberTrouble PrimaryFalls();

/** One of them by its name, slow, dead, hung, flapping or cold. */
MemberTrouble FindMemberTrouble(const std::string& name);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_MEMBER_TROUBLES_H_
