#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CONTROL_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CONTROL_H_

// Defines FleetControl, through which the control leader serves session proxies
// and members: leases, updates, announcements and switchovers.

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
#include "lacewingferry/decisions/rate_limit/permit_grantor.h"
#include "lacewingferry/decisions/switchover/configuration_transfer.h"
#include "lacewingferry/decisions/switchover/fleet_changes.h"
#include "lacewingferry/decisions/switchover/group_manager.h"
#include "lacewingferry/decisions/switchover/roster_admission.h"
#include "lacewingferry/decisions/switchover/zone_directory.h"

namespace lacewingferry {

/** The hooks of FleetControl, all called on the control thread. */
struct FleetControlHooks {
  std::function<void(const NodeId&, const ProxyUpdate&)> update;
  std::function<void(const NodeId&, const LeaseRecall&)> recall;
  std::function<void(const NodeId&, const PermitGrant&)> permits;
  /** Closes the connection to a process and opens a new one. */
  std::function<void(const NodeId&)> redial;
  /** Appends a command to the control log and reports whether it was
   * applied. */
  std::function<void(const ControlCommand&, std::function<void(bool)>)> propose;
  /** The control processes. */
  std::function<std::vector<NodeId>()> control_nodes;
  /** The index of the last command applied to the replicated state. */
  std::function<std::uint64_t()> revision;
  /** Whether this process is the control leader at the time of the call. */
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
  PermitGrantorSettings permits;
  /** A proxy whose last report is older gets no updates and no share of the
   * members' connections. */
  std::chrono::milliseconds proxy_report_timeout{4000};
};

/** Counts of promotions. */
struct PromotionCounts {
  std::map<PromotionResult, std::uint64_t> calls;
  /** Members that led a term which control didn't confirm. */
  std::uint64_t unchosen_primaries = 0;

  /** How many calls ended, in all or with one result. */
  std::uint64_t Ended() const;
  std::uint64_t Ended(PromotionResult result) const;
};

/**
 * The control leader's management of the fleet. Each control process has one,
 * which acts only while that process leads. All state that must survive a
 * change of leader goes through the control log.
 *
 * Inputs are handled one at a time: commands that the log applies during an
 * input are processed at the end of that input.
 */
class FleetControl {
 public:
  FleetControl(const ControlState& control_state, NodeId self,
               FleetControlHooks hooks, FleetControlSettings settings = {});
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /** Called when this process becomes the control leader or stops being it. */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leader);

  /** Called when the log applied a command; the change is processed in OnTick,
   * or in TrackChanges while another process leads. */
  void OnApplied() { this->state_changed = true; }
  /** Records changes while another process leads, so that proxies don't need
   * the whole state when this process becomes the leader. */
  void TrackChanges();
  /** Sets the configuration that is in force. */
  void SetConfiguration(ServiceConfiguration configuration);

  /** Takes a proxy's report. The caller has checked that this process is the
   * leader. */
  void OnReport(std::chrono::steady_clock::time_point now, const NodeId& from,
                const ProxyReport& report);
  void OnRecalled(std::chrono::steady_clock::time_point now, const NodeId& from,
                  const LeaseRecalled& recalled);
  /** Takes a proxy's request for permits of customers with a rate limit. The
   * caller has checked that this process is the leader. */
  void OnPermitRequest(std::chrono::steady_clock::time_point now,
                       const NodeId& from, const PermitRequest& request);

  /** Takes a member's announcement or deregistration. */
  void OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement,
                      std::function<void(AnnouncementResult)> done);
  void OnDeregistration(std::chrono::steady_clock::time_point now,
                        const MemberFarewell& farewell,
                        std::function<void(AnnouncementResult)> done);

  /** Runs what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next; none while not leading. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** How many announcements and farewells were not accepted since the process
   * started. */
  std::uint64_t RejectedAnnouncements() const {
    return this->admission.RejectedCount();
  }

  /** What became of promotions since the process started. */
  const PromotionCounts& Promotions() const { return this->promotions; }

  /** Appends the permits of customers with a rate limit, if this process
   * leads. */
  void AddPermitGauges(std::chrono::steady_clock::time_point now,
                       std::vector<Gauge>* gauges) const {
    this->permits.AddGauges(now, gauges);
  }

  /** The number of proxies that reported lately and are not draining. */
  std::uint32_t ProxyCount(std::chrono::steady_clock::time_point now) const;

 private:
  struct Proxy {
    std::uint64_t incarnation = 0;
    AvailabilityZone zone;
    /** The list of its zone's proxies that the proxy reported last. */
    std::uint64_t zone_digest = 0;
    std::chrono::steady_clock::time_point last_report;
    /** The revision that the proxy reported or was sent since. */
    std::uint64_t fleet_revision = 0;
    ConfigurationTransfer configuration;
    bool draining = false;
    /** Answers sent by this leader since the connection was last reopened. */
    std::uint32_t answers_sent = 0;
  };

  SwitchoverHooks GroupHooks();
  PermitGrantorHooks PermitHooks() const;
  RosterAdmissionHooks AdmissionHooks() const;
  void RecordWaits() const;
  void RedialIfAnswersLost(std::chrono::steady_clock::time_point now,
                           const NodeId& node, const ProxyReport& report,
                           Proxy* proxy);
  void ProcessChanges(std::chrono::steady_clock::time_point now);
  void CreateGroupManagers(std::chrono::steady_clock::time_point now);
  void DetectSuspension(std::chrono::steady_clock::time_point now);
  ProxyUpdate UpdateFor(std::chrono::steady_clock::time_point now,
                        Proxy* proxy) const;
  void SendUpdates(std::chrono::steady_clock::time_point now);
  void SendLists(std::chrono::steady_clock::time_point now);
  void AddPositions(std::chrono::steady_clock::time_point now,
                    const NodeId& proxy, ProxyUpdate* update) const;
  void Recall(const DatabaseStamp& current,
              std::chrono::milliseconds drain_timeout);

  const ControlState& state;
  FleetControlHooks hooks;
  FleetControlSettings settings;
  SwitchoverContext context;
  LeaseGrantor grantor;
  PermitGrantor permits;
  RosterAdmission admission;
  PromotionCounts promotions;
  ServiceConfiguration configuration;
  std::chrono::milliseconds configuration_transfer_time{0};
  bool leader = false;
  bool state_changed = false;
  std::map<NodeId, Proxy> proxies;
  ZoneDirectory directory;
  std::chrono::steady_clock::time_point started_at;
  FleetChanges changes;
  /** Whether a change has not been sent to the proxies yet, and the earliest
   * time to send it. */
  bool update_pending = false;
  std::chrono::steady_clock::time_point next_update;
  std::map<DatabaseId, std::shared_ptr<GroupManager>> managers;
  std::optional<std::chrono::steady_clock::time_point> last_tick;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_FLEET_CONTROL_H_
