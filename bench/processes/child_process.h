#ifndef BENCH_PROCESSES_CHILD_PROCESS_H_
#define BENCH_PROCESSES_CHILD_PROCESS_H_

// Defines ChildProcess, a program that a test or the demo started.

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lacewingferry::processes {

/** A running program. Its output goes to a log file. */
class ChildProcess {
 public:
  /** Starts arguments[0] with the rest as its arguments and appends its output
   * to log_file. Throws std::system_error if it can't be started. Start it on
   * a thread that lives as long as the process is needed: the system kills the
   * process when that thread ends. */
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log_file);

  /** Kills the process and waits for its end. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /** Sends a signal, for example SIGSTOP; does nothing after the end. */
  void Signal(int signal) const;

  /** Kills the process at once and waits for its end. */
  void Kill();

  /** Waits for the end. Returns the exit status, or 128 and the signal; none
   * if the process still runs when the time is over. */
  std::optional<int> WaitForEnd(std::chrono::milliseconds limit);

  bool Running();

  /** The process's id at the system. */
  pid_t Id() const { return this->pid; }

 private:
  void Collect(int options);

  pid_t pid = 0;
  int descriptor = -1;
  std::optional<int> status;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_CHILD_PROCESS_H_
