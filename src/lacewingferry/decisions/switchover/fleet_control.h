#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CONTROL_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CONTROL_H_

// Defines FleetControl, what the leader of control does for proxies of
// sessions and for members: leases, news, announcements and switchovers.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/messages/fleet_messages.h"
#include "lacewingferry/decisions/control/control_state.h"
#include "lacewingferry/decisions/lease/lease_grantor.h"
#include "lacewingferry/decisions/switchover/fleet_changes.h"
#include "lacewingferry/decisions/switchover/group_keeper.h"
#include "lacewingferry/decisions/switchover/zone_directory.h"

namespace lacewingferry {

/** What FleetControl acts through, on the thread of control. */
struct FleetControlHooks {
  std::function<void(const NodeId&, const ProxyUpdate&)> update;
  std::function<void(const NodeId&, const LeaseRecall&)> recall;
  /** Opens the connection to a process anew. */
  std::function<void(const NodeId&)> redial;
  /** Puts a command into the control log; tells whether it was applied. */
  std::function<void(const ControlCommand&, std::function<void(bool)>)> propose;
  /** The processes of control. */
  std::function<std::vector<NodeId>()> control_nodes;
  /** The index of the last command applied to the state. */
  std::function<std::uint64_t()> revision;
  /** Whether this process leads at this very moment. */
  std::function<bool()> leads;
  std::function<std::uint64_t()> fence;
  std::function<std::chrono::steady_clock::time_point()> now;
  MemberAdminPort admin;
  PromotionPort promotion;
  EventPort events;
};

/** The durations of FleetControl. */
struct FleetControlSettings {
  LeaseTiming lease = MakeSessionLeaseTiming();
  SwitchoverSettings switchover;
  /** A proxy silent for longer gets no news and no share of connections. */
  std::chrono::milliseconds proxy_silence{4000};
};

/** What became of an announcement. */
enum class AnnouncementVerdict : std::uint8_t {
  kAccepted,
  /** An earlier run of the member, or one whose address another has now. */
  kOutdated,
  /** It may have been entered; the member asks again. */
  kUnknown,
};

/**
 * The leader's care for the fleet. It exists on each process of control and
 * acts while that one leads. Whatever must survive is a command of the control
 * log.
 *
 * Inputs are worked on one after the other: what the log applies meanwhile is
 * looked at when the input is done.
 */
class FleetControl {
 public:
  FleetControl(const ControlState& control_state, NodeId self,
               FleetControlHooks hooks, FleetControlSettings settings = {});
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /** Takes office or loses it. */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leader);

  /** The state changed by a command of the log; looked at in OnTick, or in
   * FollowChanges while another process leads. */
  void OnApplied() { this->changed = true; }
  /** Notes what changed while another process leads, so that proxies needn't
   * be told all when this one does. */
  void FollowChanges();
  /** Takes the configuration that is in force now. */
  void SetConfiguration(ServiceConfiguration configuration);

  /** Takes a proxy's report. The caller has made sure that this process
   * leads. */
  void OnReport(std::chrono::steady_clock::time_point now, const NodeId& from,
                const ProxyReport& report);
  void OnRecalled(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const LeaseRecalled& recalled);

  /** Takes a member's announcement, or its farewell. */
  void OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement,
                      std::function<void(AnnouncementVerdict)> done);
  void OnFarewell(std::chrono::steady_clock::time_point now,
                  const MemberId& member,
                  std::function<void(AnnouncementVerdict)> done);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next; none while not leading. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** The proxies that reported lately. */
  std::uint32_t ProxyCount(std::chrono::steady_clock::time_point now) const;

 private:
  struct Proxy {
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point heard;
    /** What the proxy knows by its report, or was sent since. */
    std::uint64_t fleet_revision = 0;
    std::uint64_t configuration_version = 0;
    bool draining = false;
    /** Answers of this leader since the connection was last opened anew. */
    std::uint32_t answers = 0;
  };

  SwitchoverHooks GroupHooks();
  void RedialIfUnheard(const NodeId& node, const ProxyReport& report,
                       Proxy* proxy);
  void TakeChanges(std::chrono::steady_clock::time_point now);
  void MakeKeepers(std::chrono::steady_clock::time_point now);
  void NoteSuspension(std::chrono::steady_clock::time_point now);
  ProxyUpdate NewsFor(std::chrono::steady_clock::time_point now,
                      Proxy* proxy) const;
  void SendNews(std::chrono::steady_clock::time_point now);
  void AddPositions(std::chrono::steady_clock::time_point now,
                    const NodeId& proxy, ProxyUpdate* update) const;
  void Recall(const DatabaseStamp& current, std::chrono::milliseconds patience);

  const ControlState& state;
  FleetControlHooks hooks;
  FleetControlSettings settings;
  SwitchoverContext context;
  LeaseGrantor grantor;
  ServiceConfiguration configuration;
  bool leader = false;
  bool changed = false;
  std::map<NodeId, Proxy> proxies;
  ZoneDirectory directory;
  FleetChanges changes;
  /** Whether proxies haven't been told yet of a change, and when they may. */
  bool news_waits = false;
  std::chrono::steady_clock::time_point next_news;
  std::map<DatabaseId, std::shared_ptr<GroupKeeper>> keepers;
  std::optional<std::chrono::steady_clock::time_point> last_tick;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CONTROL_H_
