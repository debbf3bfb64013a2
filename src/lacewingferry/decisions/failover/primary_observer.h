#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_OBSERVER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_OBSERVER_H_

// Defines PrimaryObserver, a proxy's watch over primaries.

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

/** What a PrimaryObserver acts through. */
struct PrimaryObserverHooks {
  using SightHook = std::function<void(
      std::chrono::steady_clock::time_point now, MemberSight sight)>;

  /** Reports to the leader of control. */
  std::function<void(const PrimarySuspicion&)> suspect;
  /** Runs a status statement on one of this proxy's own connections to a
   * member; on_sight gets kAnswers or kRefuses, or nothing for silence, and
   * never within the call. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const MemberInfo& member, SightHook on_sight)>
      probe;
  /** The same for any member, without a slot: tests whether its server process
   * answers a new connection. */
  decltype(probe) probe_server;
  /** Answers the control replica that asked. */
  std::function<void(const NodeId& to, const ObserveReply&)> reply;
};

/** The durations of a PrimaryObserver. */
struct PrimaryObserverSettings {
  /** A probe of an idle primary without an answer for this long is a
   * suspicion. It opens an inquiry, which has a patience of its own. */
  std::chrono::milliseconds silence{250};
  /** A primary without traffic is probed at this interval. */
  std::chrono::milliseconds idle_probe_interval{1000};
  /** The first pause between two suspicions of one primary; it doubles. */
  std::chrono::milliseconds suspicion_pause{250};
  std::chrono::milliseconds suspicion_pause_limit{2000};
};

/** A primary that this proxy owns connections to. */
struct WatchedPrimary {
  std::uint64_t term = 0;
  MemberInfo info;
};

/**
 * Turns the signs of the proxy's own traffic into suspicions, and observes
 * other members when control asks. A refused connection or a reset is probed
 * at once and reported when the probe is refused too; an answer that doesn't
 * come is reported after a time. A primary is probed by itself only while
 * there is no traffic to it.
 */
class PrimaryObserver {
 public:
  explicit PrimaryObserver(PrimaryObserverHooks hooks,
                           PrimaryObserverSettings settings = {});

  PrimaryObserver(const PrimaryObserver&) = delete;
  PrimaryObserver& operator=(const PrimaryObserver&) = delete;

  /** Takes the primaries to watch. */
  void SetPrimaries(std::chrono::steady_clock::time_point now,
                    const std::vector<WatchedPrimary>& primaries);

  /** Takes a sign of any member that the proxy has connections to. */
  void OnSign(std::chrono::steady_clock::time_point now, const MemberId& member,
              MemberObservation sign);

  /** Takes control's question; the answer goes to the sender. */
  void OnRequest(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const ObserveRequest& request);

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  struct Watch {
    WatchedPrimary primary;
    std::chrono::steady_clock::time_point last_answer;
    /** When the oldest probe without an answer was sent. */
    std::optional<std::chrono::steady_clock::time_point> asked;
    std::chrono::steady_clock::time_point next_suspicion;
    std::chrono::milliseconds pause{0};
  };
  struct Observation {
    NodeId asker;
    ObserveRequest request;
    std::chrono::steady_clock::time_point started;
    std::chrono::steady_clock::time_point next_probe;
    MemberSight primary_sight = MemberSight::kUnknown;
    MemberSight replica_sight = MemberSight::kUnknown;
  };

  void Suspect(std::chrono::steady_clock::time_point now, Watch& watch,
               MemberSight sight);
  void ProbeWatched(std::chrono::steady_clock::time_point now, Watch& watch);
  void ProbeForControl(std::chrono::steady_clock::time_point now,
                       std::uint64_t number);
  void OnSight(std::uint64_t number, const MemberId& member, MemberSight sight);
  void Answer(std::uint64_t number);
  std::chrono::steady_clock::time_point DueAt(const Watch& watch) const;

  PrimaryObserverHooks hooks;
  PrimaryObserverSettings settings;
  std::map<MemberId, Watch> watches;
  std::map<std::uint64_t, Observation> observations;
  std::uint64_t next_observation = 1;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_PRIMARY_OBSERVER_H_
