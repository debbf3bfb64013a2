#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_OWNED_MEMBERS_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_OWNED_MEMBERS_H_

// Defines OwnedMembers, the members of one database to which this proxy owns
// connections.

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
 * The owner's side of the data path: runs requests on own connections, whether
 * they come from this proxy's callers or from other proxies. A read of a
 * replica passes its ReplicaGate first.
 */
class OwnedMembers {
 public:
  OwnedMembers(DatabaseId database, TrafficHooks hooks,
               TrafficSettings settings);

  /** Takes a newer entry of the database; nullptr if it is gone. */
  void Configure(std::chrono::steady_clock::time_point now,
                 const DatabaseView* view);

  /** Runs a request; refuses it if this proxy owns no connection. */
  void Run(std::chrono::steady_clock::time_point now, const MemberId& member,
           Job job);

  /** Takes a question for the primary's position, and an answer to one. */
  void OnProbe(std::chrono::steady_clock::time_point now, const NodeId& from,
               const ProbedDatabase& question);
  /** Wants samples for the reads of a stated age that this proxy received and
   * sends elsewhere. */
  void WantSample(std::chrono::steady_clock::time_point now,
                  std::chrono::milliseconds max_age);
  /** What this proxy knows of where the primary stood. */
  const PrimarySamples& Samples() const { return this->sampler.Samples(); }
  void OnSample(std::chrono::steady_clock::time_point now,
                const SampledPosition& sample);

  /** Takes the position of an answer of the primary to a request that was sent
   * at a time. */
  void OnPrimaryAnswer(std::chrono::steady_clock::time_point sent_at,
                       const LogPosition& position);

  /** See DatabaseTraffic. */
  void OnLease(std::chrono::steady_clock::time_point now,
               std::chrono::steady_clock::time_point until);
  void ReleaseTerm(std::chrono::steady_clock::time_point now,
                   std::uint64_t term);
  void RunControlStatement(std::chrono::steady_clock::time_point now,
                           const MemberId& member, ControlCall call);

  /** Whether an answer of the primary of a term may leave now: the term is
   * the newest that this proxy knows, and the lease holds. */
  bool MayAnswer(std::chrono::steady_clock::time_point present,
                 std::uint64_t of_term) const {
    return of_term >= this->term && this->answer_gate.Open(present, of_term);
  }

  /** Takes the slots that this proxy holds. */
  void OnSeats(std::chrono::steady_clock::time_point now,
               const SeatTablePtr& table);

  /** Adds the connections to each member, also those being opened. */
  void AddConnections(std::map<MemberId, std::size_t>& counts) const;

  /** The events of the connections. */
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
  /** Connections to one member, also those being opened. */
  std::size_t Connections(const MemberId& member) const;

 private:
  struct Owned {
    std::unique_ptr<MemberExecutor> executor;
    std::unique_ptr<ReplicaGate> gate;
  };

  std::size_t SeatsOf(const MemberId& member) const;
  std::optional<std::chrono::steady_clock::time_point> NextSeatEnd(
      const MemberId& member) const;
  void LimitToSeats();
  Owned MakeOwned(const MemberId& member);
  PositionSamplerHooks SamplerHooks();
  void ConfigureMember(const RoutedMember& member);
  void OnStatus(const MemberId& member,
                std::chrono::steady_clock::time_point asked_at,
                const GroupMemberState& status);
  ReplyHook WithAgeAtReceipt(const Job& job) const;
  bool AskPrimary(std::chrono::steady_clock::time_point now);
  void Settle(std::chrono::steady_clock::time_point now);
  std::optional<std::chrono::nanoseconds> AgeOf(
      const LogPosition& position) const;
  Owned* Find(const MemberId& member);
  MemberExecutor* Find(ConnectionId id);

  DatabaseId database;
  TrafficHooks hooks;
  TrafficSettings settings;
  AnswerGate answer_gate;
  PositionSampler sampler;
  std::map<MemberId, Owned> owned;
  /** None before the first table. */
  SeatTablePtr seats;
  MemberId primary;
  std::uint64_t term = 0;
  std::uint32_t group_size = 0;
  std::vector<MemberId> counted_members;
  std::uint64_t next_transaction;
  /** The present of the event that is being handled. */
  std::chrono::steady_clock::time_point now;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_OWNED_MEMBERS_H_
