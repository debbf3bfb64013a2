#include "bench/processes/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace lacewingferry::processes {
namespace {

constexpr int kExecFailed = 127;
constexpr int kSignalBase = 128;
constexpr mode_t kLogMode = 0644;

/** What a forked process does until it is another program. Makes system calls
 * only, since other threads of the parent may have held locks. */
[[noreturn]] void Execute(char* const* arguments, const char* log_file,
                          pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kExecFailed);
  // A Ctrl-C at the terminal is for the parent alone.
  ::setpgid(0, 0);
  const int log =
      ::open(log_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) ::_exit(kExecFailed);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::execv(arguments[0], arguments);
  ::_exit(kExecFailed);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  std::vector<std::string> copies = arguments;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (std::string& copy : copies) pointers.push_back(copy.data());
  pointers.push_back(nullptr);
  const pid_t parent = ::getpid();
  this->pid = ::fork();
  if (this->pid < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (this->pid == 0) Execute(pointers.data(), log_file.c_str(), parent);
  this->descriptor =
      static_cast<int>(::syscall(SYS_pidfd_open, this->pid, /*flags=*/0));
  if (this->descriptor < 0) {
    const int error = errno;
    this->Kill();
    throw std::system_error(error, std::generic_category(), "pidfd_open");
  }
}

ChildProcess::~ChildProcess() {
  this->Kill();
  if (this->descriptor >= 0) ::close(this->descriptor);
}

void ChildProcess::Signal(int signal) const {
  if (!this->status) ::kill(this->pid, signal);
}

void ChildProcess::Kill() {
  this->Signal(SIGKILL);
  if (!this->status) this->Collect(/*options=*/0);
}

std::optional<int> ChildProcess::WaitForEnd(std::chrono::milliseconds limit) {
  if (this->status) return this->status;
  pollfd entry{this->descriptor, POLLIN, 0};
  ::poll(&entry, 1, static_cast<int>(limit.count()));
  this->Collect(WNOHANG);
  return this->status;
}

bool ChildProcess::Running() {
  return !this->WaitForEnd(std::chrono::milliseconds(0));
}

void ChildProcess::Collect(int options) {
  int raw = 0;
  pid_t ended = 0;
  do {
    ended = ::waitpid(this->pid, &raw, options);
  } while (ended < 0 && errno == EINTR);
  if (ended != this->pid) return;
  this->status =
      WIFEXITED(raw) ? WEXITSTATUS(raw) : kSignalBase + WTERMSIG(raw);
}

}  // namespace lacewingferry::processes
