#ifndef BENCH_REPORT_BENCH_OPTIONS_H_
#define BENCH_REPORT_BENCH_OPTIONS_H_

// Defines the options that all measuring programs have.

#include <cxxopts.hpp>
#include <functional>
#include <string>

#include "bench/report/figures.h"

namespace lacewingferry::report {

/** Adds --write and --beside. */
void AddFigureOptions(cxxopts::Options& options);

/** The files that were given. */
FigureFiles FigureFilesOf(const cxxopts::ParseResult& arguments);

/** Runs a program's main function and returns its exit status; an exception is
 * printed to standard error and makes it fail. */
int RunBench(const std::string& program, const std::function<int()>& body);

}  // namespace lacewingferry::report

#endif  // BENCH_REPORT_BENCH_OPTIONS_H_
