#ifndef BENCH_PROCESSES_VERDICT_TABLE_H_
#define BENCH_PROCESSES_VERDICT_TABLE_H_

// Defines WriteVerdict, the table at the end of a run.

#include <ostream>

#include "bench/processes/run_check.h"

namespace lacewingferry::processes {

/** Writes the measures, the counts and the broken promises of a run. */
void WriteVerdict(const RunVerdict& verdict, std::ostream& out);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_VERDICT_TABLE_H_
