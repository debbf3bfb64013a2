#ifndef BENCH_MODEL_MEMBERSHIP_FLEET_H_
#define BENCH_MODEL_MEMBERSHIP_FLEET_H_

// Defines MembershipFleet, processes and announcing members in virtual time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "lacewingferry/decisions/membership/membership_node.h"

namespace lacewingferry::model {

/** The size of a fleet and the faults of its network. */
struct MembershipFleetSettings {
  std::size_t zones = 3;
  std::size_t proxies = 20;
  std::size_t controls = 3;
  std::size_t members = 84;
  std::uint64_t seed = 1;
  /** Whether control processes have only each other as seeds, as in the
   * settings of the program; otherwise the first proxies. */
  bool control_seeds = false;
  /** The share of messages lost, doubled and late by up to late_by. */
  double loss = 0;
  double doubled = 0;
  double late = 0;
  std::chrono::milliseconds late_by{3000};
  MembershipFaults faults;
};

/** Processes, proxies first, that are spread over the zones in turn; so are
 * the members. Each member announces itself to any live proxy of its zone. */
class MembershipFleet {
 public:
  /** Hears of each message that is sent; to is the receiver's number. */
  using TapHook = std::function<void(std::size_t from, std::size_t to,
                                     const PeerMessage& message)>;

  struct Process {
    ProxyInfo info;
    NodeRole role = NodeRole::kProxy;
    std::uint64_t incarnation = 0;
    /** Empty while the process is down. */
    std::unique_ptr<MembershipNode> node;
  };
  struct Member {
    MemberAnnouncement announcement;
    bool up = true;
  };

  explicit MembershipFleet(MembershipFleetSettings settings);

  /** Runs for a while. */
  void RunFor(std::chrono::milliseconds duration);

  /** Runs until a condition holds, which is looked at each 10 ms. Returns how
   * long it took; no value if it didn't hold within the limit. */
  std::optional<std::chrono::milliseconds> RunUntil(
      const std::function<bool()>& holds, std::chrono::milliseconds limit);

  /** Stops a process without notice, or starts its next run. */
  void Kill(std::size_t process);
  void Start(std::size_t process);

  /** Starts the next run of a member. */
  void RestartMember(std::size_t member);

  /** Cuts a zone off from all others, or heals it. */
  void SetCutOff(std::size_t zone, bool cut);

  /** Whether a condition holds of each running process. */
  bool Everywhere(
      const std::function<bool(const MembershipNode&)>& holds) const;

  /** Whether all running processes hold every member that is up, and no
   * process or member besides those that are up. */
  bool Converged() const;

  /** A relay, or a proxy that is none. */
  std::size_t AnyProxy(bool relay) const;

  TapHook tap;
  /** Hears of each change at each process. */
  std::function<void(std::size_t process, const MembershipRecord& record)>
      changed;
  EventQueue queue;
  std::vector<Process> processes;
  std::vector<Member> members;

 private:
  void Send(std::size_t from, const std::string& url, const PeerBody& body);
  void Deliver(std::size_t from, std::size_t to, const PeerMessage& message);
  void Tick(std::size_t process, std::uint64_t incarnation);
  void Announce(std::size_t member);
  std::size_t ZoneOf(std::size_t number) const {
    return number % this->settings.zones;
  }
  std::vector<std::string> SeedsOf(NodeRole role) const;
  bool Happens(double share);
  std::chrono::microseconds Delay(std::size_t from, std::size_t to);

  MembershipFleetSettings settings;
  std::mt19937_64 random;
  std::set<std::size_t> cut_off;
  std::uint64_t last_incarnation = 0;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_MEMBERSHIP_FLEET_H_
