#ifndef BENCH_PROCESSES_VERDICT_ROW_H_
#define BENCH_PROCESSES_VERDICT_ROW_H_

// Defines the lines that tables of verdicts are made of.

#include <iomanip>
#include <ostream>
#include <string>

namespace lacewingferry::processes {
namespace detail {

constexpr int kLabelWidth = 44;

}  // namespace detail

/** Writes a label and its value. */
template <typename Value>
void WriteVerdictRow(std::ostream& out, const std::string& label,
                     const Value& value) {
  out << "  " << std::left << std::setw(detail::kLabelWidth) << label << value
      << "\n";
}

/** Writes the last line, which says whether all promises were kept. */
inline void WriteVerdictEnd(std::ostream& out, bool kept) {
  out << (kept ? "verdict: all promises kept\n" : "verdict: promises broken\n");
}

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_VERDICT_ROW_H_
