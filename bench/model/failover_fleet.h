#ifndef BENCH_MODEL_FAILOVER_FLEET_H_
#define BENCH_MODEL_FAILOVER_FLEET_H_

// Defines FailoverFleet, the proxies, members and control replicas of one
// database in virtual time, with the real decisions of traffic and failover.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/failover_control.h"
#include "bench/model/fake_group.h"
#include "bench/model/fleet.h"
#include "bench/model/network.h"
#include "lacewingferry/decisions/failover/proxy_failover.h"
#include "lacewingferry/decisions/traffic/traffic_shard.h"

namespace lacewingferry::model {

/** A deployment, and what tests vary. */
struct FailoverFleetOptions {
  FleetOptions places;
  LogCodecPort codec;
  FailoverSettings settings;
  /** The holders' durations; other than the grantors' only as a mistake. */
  LeaseTiming holder_lease;
  /** The part of the messages that get lost. */
  double loss = 0;
  /** Each proxy's clock rate differs from 1 by at most this. */
  double clock_drift = 0.004;
  std::uint64_t seed = 1;
  /** May change a message; returns an extra delay, or none to drop it. */
  std::function<std::optional<std::chrono::nanoseconds>(PeerBody&)> filter;
  /** May run a statement of control in another way; returns whether it did. */
  std::function<bool(FakeGroup&, const MemberCommand&, MemberCommandResult&)>
      instead_of_command;
};

/** When the steps of a term happened. */
struct TermTimes {
  std::chrono::steady_clock::time_point begun;
  std::chrono::steady_clock::time_point chosen;
  std::chrono::steady_clock::time_point confirmed;
};

/** One database before its proxies. Each zone has one member, one control
 * replica and some proxies. */
class FailoverFleet {
 public:
  FailoverFleet(EventQueue& queue, FailoverFleetOptions options);

  /** Sends a write of a new key through a proxy; on_answer gets the term of
   * an acknowledged one. */
  void Write(std::size_t proxy,
             std::function<void(std::uint64_t term)> on_answer);

  /** Ends every process of a zone, or cuts a zone off from the others. */
  void KillZone(std::size_t zone);
  void CutZone(std::size_t zone, bool cut);

  /** Lets the member of a zone do nothing for a time. */
  void LetLag(std::size_t zone, std::chrono::milliseconds duration) {
    this->group.Stall(this->members[zone].id, this->queue.Now() + duration);
  }

  /** Lets a new server follow the primary from a zone, which nobody was told
   * of. */
  MemberInfo AddStranger(std::size_t zone);

  /** Lets the server of a zone announce itself no more, and one under a new
   * name, empty, in its place. */
  void ReplaceMember(std::size_t zone);

  FakeGroup& Group() { return this->group; }
  FailoverControl& Control() { return *this->control; }
  Network& Net() { return this->network; }
  const MemberId& MemberOf(std::size_t zone) const {
    return this->members[zone].id;
  }
  std::size_t ZoneOfPrimary() const;
  std::size_t ProxyCount() const { return this->proxies.size(); }
  std::size_t ZoneOfProxy(std::size_t proxy) const {
    return proxy / this->options.places.proxies_per_zone;
  }

  /** The entry of the database at the control replica that knows most. */
  const DatabaseTerm* Entry() const { return &this->entry; }
  const std::map<std::uint64_t, TermTimes>& Terms() const {
    return this->terms;
  }

  /** Acknowledged keys that the primary's log doesn't hold. */
  std::size_t LostWrites() const;
  /** Writes that were acknowledged after their term's end. */
  std::size_t ReplacedAnswers() const { return this->replaced_answers; }
  std::size_t Acknowledged() const { return this->acknowledged.size(); }
  /** The tails of logs that were reported as dropped. */
  std::size_t DroppedTails() const { return this->dropped_tails; }
  /** Bytes of a proxy's control messages can be counted from these. */
  std::uint64_t ControlMessages() const { return this->control_messages; }

 private:
  static constexpr char kDatabase[] = "database-1";

  struct Proxy {
    ProxyInfo info;
    double clock_rate = 1;
    bool alive = true;
    MemberEvents events;
    std::unique_ptr<TrafficShard> shard;
    std::unique_ptr<ProxyFailover> failover;
    std::optional<std::chrono::steady_clock::time_point> armed_for;
  };

  MemberInfo NewMember(std::size_t zone);
  void FollowPrimary(const MemberId& member);
  void StartControl();
  void StartProxy(Proxy& proxy, std::uint64_t incarnation);
  TrafficHooks TrafficHooksOf(Proxy& proxy);
  ProxyFailoverHooks FailoverHooksOf(Proxy& proxy);
  void RunCommand(Proxy& proxy, std::chrono::steady_clock::time_point now,
                  const MemberCommand& command,
                  ProxyFailoverHooks::CommandResultHook on_result);
  void Probe(Proxy& proxy, const MemberInfo& member,
             PrimaryObserverHooks::ProbeResultHook on_sight);
  void PublishView(Proxy& proxy);
  void Send(const NodeId& from, const NodeId& to, PeerBody body);
  void Receive(const NodeId& from, const NodeId& to, const PeerBody& body);
  void ReceiveAtProxy(Proxy& proxy, const NodeId& from, const PeerBody& body);
  void CheckAnswer(const Outcome& outcome);
  void AnnounceMembers();
  void OnApplied(const DatabaseCommand& command, ApplyResult verdict);
  void Arm(Proxy& proxy);
  std::chrono::steady_clock::time_point Local(const Proxy& proxy) const;
  AvailabilityZone ZoneOf(const NodeId& node) const;
  Proxy* FindProxy(const NodeId& id) const;

  EventQueue& queue;
  FailoverFleetOptions options;
  Network network;
  FakeGroup group;
  std::mt19937_64 random;
  std::vector<MemberInfo> members;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<ProxyInfo> proxy_infos;
  std::unique_ptr<FailoverControl> control;
  DatabaseTerms observed;
  DatabaseTerm entry;
  std::map<std::uint64_t, TermTimes> terms;
  std::set<std::string> acknowledged;
  std::uint64_t chosen_term = 0;
  std::size_t replaced_answers = 0;
  std::size_t dropped_tails = 0;
  std::uint64_t control_messages = 0;
  std::uint64_t next_key = 1;
  std::uint64_t next_announcement = 1;
  std::size_t next_member = 0;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FAILOVER_FLEET_H_
