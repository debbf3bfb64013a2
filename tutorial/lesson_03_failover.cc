// Lesson 3: where the time of a failover goes.
//
// The decisions take the present as an argument and act through hooks, so that
// the same code runs in the daemons and here, in virtual time. The trial ends
// the primary's process, waits for the first write that is acknowledged anew
// and splits the gap.

#include <chrono>
#include <cstdlib>
#include <iostream>

#include "bench/model/failover_trial.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"

using lacewingferry::MakeLogCodec;
using lacewingferry::model::FailoverScenario;
using lacewingferry::model::FailoverTrialOptions;
using lacewingferry::model::FailoverTrialResult;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

void Print(const char* part, microseconds time) {
  std::cout << part << ": "
            << std::chrono::duration_cast<milliseconds>(time).count()
            << " ms\n";
}

}  // namespace

int main() {
  FailoverTrialOptions options;
  options.places = lacewingferry::model::KraanwaterOptions();
  options.scenario = FailoverScenario::kProcessEnds;
  options.codec = MakeLogCodec();
  options.seed = 1;
  const FailoverTrialResult killed =
      lacewingferry::model::RunFailoverTrial(options);
  if (!killed.gap) return EXIT_FAILURE;
  Print("detection", killed.detection);
  Print("leases and fence", killed.lease_and_fence);
  Print("promotion", killed.promotion);
  Print("rerouting", killed.rerouting);
  Print("gap", *killed.gap);
  std::cout << "acknowledged writes lost: " << killed.lost_writes << "\n";
  if (killed.lost_writes != 0 || killed.terms != 1) return EXIT_FAILURE;

  // A primary that only stalls for 200 ms keeps its place.
  options.scenario = FailoverScenario::kStalls;
  const FailoverTrialResult stalled =
      lacewingferry::model::RunFailoverTrial(options);
  std::cout << "terms begun by stalls: " << stalled.terms << "\n";
  return stalled.terms == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
