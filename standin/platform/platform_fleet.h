#ifndef STANDIN_PLATFORM_PLATFORM_FLEET_H_
#define STANDIN_PLATFORM_PLATFORM_FLEET_H_

// Defines PlatformFleet, the programs of the platform as real processes before
// its stand-in.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/processes/child_process.h"
#include "lacewingferry/core/routing_view.h"
#include "standin/platform/platform_standin.h"

namespace lacewingferry::standin {

/** How long is waited for something that has to happen. */
constexpr std::chrono::milliseconds kFleetDeadline{30000};

/** A customer of a configuration. */
struct PlatformCustomer {
  std::string name;
  std::vector<std::string> keys;
  /** Operations per second, and at once; 0 for no limit. */
  double rate = 0;
};

/** Three processes of control and two proxies, each at a loopback address of
 * its own, since all of a fleet listen at the same ports. */
class PlatformFleet {
 public:
  /** Starts the programs of a folder. Throws UserError if an address can't be
   * used. */
  explicit PlatformFleet(std::string programs);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  static constexpr std::size_t kControls = 3;
  static constexpr std::size_t kProxies = 2;
  static constexpr std::size_t kMembers = 3;

  PlatformStandin& Standin() { return *this->standin; }
  processes::ChildProcess& Control(std::size_t number) {
    return *this->controls.at(number);
  }
  processes::ChildProcess& Proxy(std::size_t number) {
    return *this->proxies.at(number);
  }
  /** Starts a process again with its disk. */
  void RestartControl(std::size_t number);
  /** Starts a process of control, that has ended, with an empty disk and other
   * processes of control as its seeds. */
  void RestartControlWithoutDisk(std::size_t number,
                                 const std::vector<std::size_t>& seeds);
  /** A gauge of a process of control; none while it gives no answer. */
  std::optional<double> ControlGauge(std::size_t number,
                                     const std::string& name);
  void RestartProxy(std::size_t number);

  Endpoint ClientAddress(std::size_t proxy) const;
  Endpoint MetricsAddress(std::size_t proxy) const;

  /** Sends a configuration until it is acknowledged; the routes are "primary",
   * "bounded" and "session". */
  void PutConfiguration(std::uint64_t version);
  /** The same with customers, and with so many connections to each member. */
  void PutConfiguration(std::uint64_t version,
                        const std::vector<PlatformCustomer>& customers,
                        std::uint32_t connections = 60);
  /** The status of one attempt at any process of control that answers it. */
  int TryConfiguration(const std::string& document);
  /** The version that is read back; 0 while nobody is sure. */
  std::uint64_t FetchVersion();
  bool Ready(std::size_t proxy);
  /** Waits until both proxies take connections. */
  void AwaitReady();

  /** The name of the folder with logs and disks, which goes with the fleet
   * unless it is to be kept. */
  const std::string& Folder() const { return this->folder; }
  void KeepFolder() { this->keeps_folder = true; }
  /** The files with what the processes wrote to their standard output. */
  std::vector<std::string> Logs() const;
  /** What a process wrote to its standard output. */
  std::string LogOfProxy(std::size_t proxy) const;

 private:
  std::string LogPath(const std::string& name) const;
  std::string ControlHost(std::size_t number) const;
  std::string ProxyHost(std::size_t number) const;
  std::string CommonSettings(const std::string& name, const std::string& host,
                             const std::vector<std::size_t>& seeds) const;
  void StartControl(std::size_t number, bool founding,
                    const std::vector<std::size_t>& seeds);
  void StartProxy(std::size_t number);

  std::string folder;
  bool keeps_folder = false;
  std::string programs;
  std::uint16_t peer_port = 0;
  std::uint16_t relay_port = 0;
  std::uint16_t metrics_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t client_port = 0;
  std::uint16_t ready_port = 0;
  std::uint16_t promotion_port = 0;
  std::uint16_t member_port = 0;
  std::unique_ptr<PlatformStandin> standin;
  std::map<std::size_t, std::unique_ptr<processes::ChildProcess>> controls;
  std::map<std::size_t, std::unique_ptr<processes::ChildProcess>> proxies;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_PLATFORM_FLEET_H_
