#ifndef BENCH_PROCESSES_FILE_TEXT_H_
#define BENCH_PROCESSES_FILE_TEXT_H_

// Defines FileText, the content of a file that a process may still write.

#include <string>

namespace lacewingferry::processes {

/** What a file holds now; empty if it can't be read. */
std::string FileText(const std::string& path);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_FILE_TEXT_H_
