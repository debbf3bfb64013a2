#ifndef BENCH_REPORT_FIGURES_H_
#define BENCH_REPORT_FIGURES_H_

// Defines ReportFigures, which writes a program's figures as JSON and prints
// them beside earlier ones.

#include <string>
#include <utility>
#include <vector>

namespace lacewingferry::report {

/** What was measured under one name. Each figure's name ends with its unit,
 * unless it is a count. */
struct FigureRow {
  std::string name;
  std::vector<std::pair<std::string, double>> figures;
};

/** Where figures go to and come from; an empty path for neither. */
struct FigureFiles {
  /** The file to write. */
  std::string write;
  /** A file of earlier figures. */
  std::string beside;
};

/** The figures as JSON. */
std::string FormatFigures(const std::string& program,
                          const std::vector<FigureRow>& rows);

/** One line for each figure that has changed since the earlier JSON, and one
 * that says how many have not. Throws UserError if the earlier text is not
 * what FormatFigures writes. */
std::string CompareFigures(const std::string& earlier,
                           const std::vector<FigureRow>& rows);

/** Writes the figures and prints the comparison to standard output. Throws
 * UserError if a file can't be read or written. */
void ReportFigures(const std::string& program,
                   const std::vector<FigureRow>& rows,
                   const FigureFiles& files);

}  // namespace lacewingferry::report

#endif  // BENCH_REPORT_FIGURES_H_
