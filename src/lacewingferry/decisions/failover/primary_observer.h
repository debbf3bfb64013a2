#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_OBSERVER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_OBSERVER_H_

// Defines PrimaryObserver, with which a proxy watches primaries.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/decisions/execution/member_observation.h"

namespace lacewingferry {

/** The hooks through which a PrimaryObserver acts. */
struct PrimaryObserverHooks {
  using ProbeResultHook = std::function<void(
      std::chrono::steady_clock::time_point now, MemberSight sight)>;

  /** Reports a suspicion to the control leader. */
  std::function<void(const PrimarySuspicion&)> report_suspicion;
  /** Runs a status statement on one of this proxy's own connections to a
   * member. Calls on_result with kAnswers or kRefuses, or not at all when the
   * member is silent, and never before probe returns. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const MemberInfo& member, ProbeResultHook on_result)>
      probe;
  /** The same for any member, without a connection slot: tests whether its
   * server process answers a new connection. */
  decltype(probe) probe_server;
  /** Answers the control replica that asked. */
  std::function<void(const NodeId& to, const ObserveReply&)> reply;
};

/** Timeouts and intervals of a PrimaryObserver. */
struct PrimaryObserverSettings {
  /** A primary that leaves a probe unanswered for this long is suspected. The
   * suspicion opens an inquiry, which has a timeout of its own. */
  std::chrono::milliseconds probe_timeout{250};
  /** A primary without traffic is probed at this interval. */
  std::chrono::milliseconds idle_probe_interval{1000};
  /** The first interval between two suspicions of one primary; it doubles with
   * each suspicion. */
  std::chrono::milliseconds suspicion_interval{250};
  std::chrono::milliseconds max_suspicion_interval{2000};
};

/** A primary that this proxy owns connections to. */
struct WatchedPrimary {
  std::uint64_t term = 0;
  MemberInfo info;
};

/**
 * Reports a primary as suspect by the signs of the proxy's own traffic, and
 * observes other members on request of the control service. A refused
 * connection is reported at once. A broken one is probed at once, and reported
 * when the probe is refused. An answer that doesn't come is reported after a
 * timeout. Otherwise a primary is probed only while there is no traffic to it.
 */
class PrimaryObserver {
 public:
  explicit PrimaryObserver(PrimaryObserverHooks hooks,
                           PrimaryObserverSettings settings = {});

  PrimaryObserver(const PrimaryObserver&) = delete;
  PrimaryObserver& operator=(const PrimaryObserver&) = delete;

  /** Sets the primaries to watch. */
  void SetPrimaries(std::chrono::steady_clock::time_point now,
                    const std::vector<WatchedPrimary>& primaries);

  /** Processes a sign of any member that the proxy has connections to. */
  void OnSign(std::chrono::steady_clock::time_point now, const MemberId& member,
              MemberObservation sign);

  /** Processes a request of the control service; the reply goes to the
   * sender. */
  void OnRequest(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ObserveRequest& request);

  /** Runs the work that is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  struct Watch {
    WatchedPrimary primary;
    std::chrono::steady_clock::time_point last_answer;
    /** When the oldest unanswered probe was sent. */
    std::optional<std::chrono::steady_clock::time_point> probe_sent;
    std::chrono::steady_clock::time_point next_suspicion;
    std::chrono::milliseconds suspicion_interval{0};
  };
  struct Observation {
    NodeId requester;
    ObserveRequest request;
    std::chrono::steady_clock::time_point started;
    std::chrono::steady_clock::time_point next_probe;
    MemberSight primary_sight = MemberSight::kUnknown;
    MemberSight replica_sight = MemberSight::kUnknown;
  };

  void ReportSuspicion(std::chrono::steady_clock::time_point now, Watch& watch,
                       MemberSight sight);
  void ProbeWatchedPrimary(std::chrono::steady_clock::time_point now,
                           Watch& watch);
  void SendObservationProbes(std::chrono::steady_clock::time_point now,
                             std::uint64_t observation_id);
  void OnProbeResult(std::uint64_t observation_id, const MemberId& member,
                     MemberSight sight);
  void SendReply(std::uint64_t observation_id);
  std::chrono::steady_clock::time_point DueAt(const Watch& watch) const;

  PrimaryObserverHooks hooks;
  PrimaryObserverSettings settings;
  std::map<MemberId, Watch> watches;
  std::map<std::uint64_t, Observation> observations;
  std::uint64_t next_observation_id = 1;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_OBSERVER_H_
