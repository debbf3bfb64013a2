#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_MONITOR_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_MONITOR_H_

// Defines MemberMonitor, which detects members that stopped announcing
// themselves.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/membership/zone_topology.h"

namespace lacewingferry {

/** The callbacks of a MemberMonitor. */
struct MemberMonitorHooks {
  std::function<void(const NodeId& to, const PeerBody& body)> send;
  /** No process received an announcement of the member for three intervals;
   * last is the newest announcement that was received. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const MemberHeard& last)>
      lost;
};

/**
 * Reports each announcement that this process receives to the process that
 * monitors the member, and monitors the members assigned to this process.
 * Before a monitor declares a member lost, it asks all proxies of its zone
 * whether they received an announcement.
 */
class MemberMonitor {
 public:
  MemberMonitor(NodeId self, MemberMonitorHooks hooks);

  /** Applies changed assignments. A member that is newly assigned to this
   * process counts as heard now. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const ZoneTopology& topology,
               const std::vector<MemberAnnouncement>& members);

  /** Monitors a new or changed member, if it is assigned to this process. */
  void StartMonitoring(std::chrono::steady_clock::time_point now,
                       const ZoneTopology& topology,
                       const MemberAnnouncement& member);

  /** Stops monitoring a member that is gone. */
  void StopMonitoring(const MemberId& member);

  /** Handles an announcement that a member sent to this process. */
  void OnAnnounced(std::chrono::steady_clock::time_point now,
                   const ZoneTopology& topology,
                   const MemberAnnouncement& announcement);

  /** Handles the report of a peer that it received an announcement. */
  void OnHeard(std::chrono::steady_clock::time_point now, const NodeId& from,
               const MemberHeard& heard);

  /** Answers a peer that asks whether this process received an announcement of
   * a member recently; sends nothing if it did not. */
  void OnInquiry(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const MemberInquiry& inquiry);

  /** Sends inquiries about a member when two announcements are missing, and
   * declares it lost when three are missing. */
  void OnTick(std::chrono::steady_clock::time_point now,
              const ZoneTopology& topology);

  /** The last announcement that the member sent to this process; null if it
   * is so old that the member would count as lost. */
  const MemberHeard* HeardRecently(std::chrono::steady_clock::time_point now,
                                   const MemberId& member) const;

  /** Excludes a pause of this process from the time since each member was last
   * heard, so that the pause does not make members appear lost. */
  void ExcludePause(std::chrono::steady_clock::duration pause);

 private:
  struct HeardState {
    MemberHeard heard;
    std::chrono::steady_clock::time_point heard_at;
    std::chrono::steady_clock::time_point last_inquiry;
    /** The peer that received the announcement; empty for this process. */
    NodeId reporter;
  };

  void Refresh(std::chrono::steady_clock::time_point heard_at,
               const NodeId& reporter, const MemberHeard& heard);
  void SendInquiries(const ZoneTopology& topology, const HeardState& state);

  NodeId self;
  MemberMonitorHooks hooks;
  /** The last announcement of each member that sent one to this process. */
  std::map<MemberId, HeardState> received;
  /** The members that this process monitors, with the last announcement that
   * any process reported. */
  std::map<MemberId, HeardState> monitored;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_MONITOR_H_
