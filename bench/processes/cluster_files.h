#ifndef BENCH_PROCESSES_CLUSTER_FILES_H_
#define BENCH_PROCESSES_CLUSTER_FILES_H_

// Defines ClusterFiles, the temporary folder with a cluster's settings, data
// and logs.

#include <filesystem>
#include <string>

#include "bench/processes/cluster_plan.h"

namespace lacewingferry::processes {

/** Writes the settings of a plan's processes into a new folder and removes the
 * folder at the end. */
class ClusterFiles {
 public:
  /** Throws std::runtime_error if a file can't be written. */
  explicit ClusterFiles(const ClusterPlan& plan);
  ~ClusterFiles();
  ClusterFiles(const ClusterFiles&) = delete;
  ClusterFiles& operator=(const ClusterFiles&) = delete;

  std::string SettingsOf(const std::string& process) const;
  std::string LogOf(const std::string& process) const;
  std::string DataOf(const std::string& process) const;
  std::string FirstNote() const;
  std::string SecretFile() const;
  std::string Folder() const { return this->folder.string(); }

  /** Sets whether the folder stays behind, for a look at a failed run. */
  void Keep(bool leave) { this->keep = leave; }

 private:
  void WriteProxies(const ClusterPlan& plan) const;
  void WriteControls(const ClusterPlan& plan) const;

  std::filesystem::path folder;
  bool keep = false;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_CLUSTER_FILES_H_
