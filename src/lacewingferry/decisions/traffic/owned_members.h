#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_OWNED_MEMBERS_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_OWNED_MEMBERS_H_

// Defines OwnedMembers, which runs requests on the members of one database to
// which this proxy owns connections.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/seat_table.h"
#include "lacewingferry/decisions/execution/answer_gate.h"
#include "lacewingferry/decisions/execution/control_calls.h"
#include "lacewingferry/decisions/execution/member_executor.h"
#include "lacewingferry/decisions/freshness/position_sampler.h"
#include "lacewingferry/decisions/freshness/replica_gate.h"
#include "lacewingferry/decisions/traffic/traffic_hooks.h"

namespace lacewingferry {

/**
 * Runs requests on this proxy's own connections, whether they come from its
 * callers or are forwarded by other proxies. A read at a replica first passes
 * the ReplicaGate of that replica.
 */
class OwnedMembers {
 public:
  OwnedMembers(DatabaseId database, TrafficHooks hooks,
               TrafficSettings settings);

  /** Applies the database's entry in a newer view; nullptr if the database is
   * gone. */
  void Configure(std::chrono::steady_clock::time_point now,
                 const DatabaseView* view);

  /** Runs a request; refuses it if this proxy owns no connection to member. */
  void Run(std::chrono::steady_clock::time_point now, const MemberId& member,
           Job job);

  /** Handles another proxy's request for the primary's log position. */
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const ProbedDatabase& probed);
  /** Requests samples of the primary's log position, for a read with a maximum
   * age that this proxy forwards to another one. */
  void RequestSample(std::chrono::steady_clock::time_point now,
                     std::chrono::milliseconds max_age);
  /** The samples of the primary's log position that this proxy holds. */
  const PrimarySamples& Samples() const { return this->sampler.Samples(); }
  /** Handles a reply to a request for the primary's log position. */
  void OnSample(std::chrono::steady_clock::time_point now,
                const SampledPosition& sample);

  /** Records the log position in the primary's answer to a request that was
   * sent at sent_at. */
  void OnPrimaryAnswer(std::chrono::steady_clock::time_point sent_at,
                       const LogPosition& position);

  /** See the functions of the same names in DatabaseTraffic. */
  void OnLease(std::chrono::steady_clock::time_point now,
               std::chrono::steady_clock::time_point until);
  void ReleaseTerm(std::chrono::steady_clock::time_point now,
                   std::uint64_t term);
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           const MemberId& member, ControlCall call);

  /** Whether an answer of the primary of this term may be sent now: this proxy
   * knows no newer term, and the lease holds. */
  bool MayAnswer(std::chrono::steady_clock::time_point now,
                 std::uint64_t of_term) const {
    return of_term >= this->term && this->answer_gate.Open(now, of_term);
  }

  /** Applies the table of connection slots that this proxy holds. */
  void OnSeats(std::chrono::steady_clock::time_point now,
               const SeatTablePtr& table);

  /** Adds the number of connections to each member, including those being
   * opened. */
  void AddConnections(std::map<MemberId, std::size_t>& counts) const;

  /** Handle the events of the connections. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id,
                   const MemberBatchResult& result);

  void OnTick(std::chrono::steady_clock::time_point now);
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  std::size_t Unfinished() const;
  std::size_t OpenTransactions() const;
  std::size_t Connections() const;
  /** Connections to one member, including those being opened. */
  std::size_t Connections(const MemberId& member) const;

 private:
  struct OwnedMember {
    std::unique_ptr<MemberExecutor> executor;
    std::unique_ptr<ReplicaGate> gate;
  };

  std::size_t SeatsOf(const MemberId& member) const;
  std::optional<std::chrono::steady_clock::time_point> NextSeatEnd(
      const MemberId& member) const;
  void LimitToSeats();
  OwnedMember MakeOwnedMember(const MemberId& member);
  PositionSamplerHooks SamplerHooks();
  void ConfigureMember(const RoutedMember& member);
  void OnStatus(const MemberId& member,
                std::chrono::steady_clock::time_point requested_at,
                const GroupMemberState& status);
  ReplyHook WithAgeAtReceipt(const Job& job) const;
  bool RequestPrimaryStatus(std::chrono::steady_clock::time_point now);
  void UpdateReplicaGates(std::chrono::steady_clock::time_point now);
  std::optional<std::chrono::nanoseconds> AgeOf(
      const LogPosition& position) const;
  OwnedMember* Find(const MemberId& member);
  MemberExecutor* Find(ConnectionId id);

  DatabaseId database;
  TrafficHooks hooks;
  TrafficSettings settings;
  AnswerGate answer_gate;
  PositionSampler sampler;
  std::map<MemberId, OwnedMember> owned;
  /** nullptr before the first table. */
  SeatTablePtr seats;
  MemberId primary;
  std::uint64_t term = 0;
  std::uint32_t group_size = 0;
  std::vector<MemberId> counted_members;
  std::uint64_t next_transaction;
  /** The time of the event that is being handled. */
  std::chrono::steady_clock::time_point event_time;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_OWNED_MEMBERS_H_
