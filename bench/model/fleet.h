#ifndef BENCH_MODEL_FLEET_H_
#define BENCH_MODEL_FLEET_H_

// Defines Fleet, several proxies before one database in virtual time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/fake_group.h"
#include "bench/model/fleet_seats.h"
#include "bench/model/network.h"
#include "lacewingferry/decisions/traffic/traffic_shard.h"

namespace lacewingferry::model {

/** The places and sizes of a deployment. */
struct FleetOptions {
  std::vector<AvailabilityZone> zones;
  std::uint32_t proxies_per_zone = 5;
  std::uint32_t slots = 5;
  std::chrono::nanoseconds between_zones{std::chrono::milliseconds(20)};
  std::chrono::nanoseconds inside_zone{std::chrono::microseconds(200)};
  /** One-way from a caller to its proxy. */
  std::chrono::nanoseconds to_callers{std::chrono::milliseconds(1)};
  FakeGroupOptions group;
  /** Told the signs that each proxy sees; may be empty. */
  MemberObservationHook observe;
  TransactionLimits transactions;
  /** The end of a starting proxy's lease. */
  std::chrono::steady_clock::time_point first_lease =
      std::chrono::steady_clock::time_point::max();
  /** Whether slots change hands under witnesses; else each proxy takes its
   * share as soon as its view says so. */
  bool seats = false;
  SeatTimings seat_timings;
  /** How much faster the clock of each next proxy runs. */
  double clock_drift = 0;
  /** May stand between the proxies and their connections; may be empty. */
  std::function<MemberPort(MemberPort)> wrap_port;
};

/** The deployments of the users' brief: three places, one member in each. */
FleetOptions KraanwaterOptions();
FleetOptions WanjiruOptions();

/** Proxies that run the real traffic decisions, one fake database group, and a
 * view that the fleet itself keeps up to date. */
class Fleet {
 public:
  Fleet(EventQueue& queue, FleetOptions options);

  /** Sends a caller's request to a proxy; reply runs when the answer is back
   * at the caller. A dead proxy answers nothing. */
  void Submit(std::size_t proxy, const StatementRequest& request,
              ReplyHook reply);

  /** Kills a proxy: its state and its connections are gone. */
  void KillProxy(std::size_t proxy);
  /** Starts a killed proxy anew. */
  void StartProxy(std::size_t proxy);

  /** Stops a proxy for a time, as a stalled machine does; what reaches it
   * meanwhile is handled afterwards. */
  void PauseProxy(std::size_t proxy, std::chrono::nanoseconds time);

  /** Lets the next views give a proxy no slots, since it stops. */
  void StartDraining(std::size_t proxy) {
    this->proxies[proxy]->info.draining = true;
  }

  /** Cuts a proxy off from all other proxies, or heals that. Its connections
   * to members stay. */
  void CutProxy(std::size_t proxy, bool cut);

  /** Sets the proxies that the configuration names; each proxy learns of it
   * when it is told, and a proxy that starts at once. All are named first. */
  void NameProxies(const std::vector<std::size_t>& numbers);
  void TellConfiguration(std::size_t proxy);

  /** Tells every live proxy the present view; primary and term as given. */
  void Publish(std::uint64_t term, const MemberId& primary);

  /** Tells the live proxies of one zone the present view. */
  void PublishTo(const AvailabilityZone& zone);
  /** Sets what the next views name. */
  void SetPrimary(std::uint64_t new_term, const MemberId& new_primary);

  /** Renews the lease of every live proxy of a zone. */
  void RenewLeases(const AvailabilityZone& zone,
                   std::chrono::steady_clock::time_point until);

  /** Sets how many members the views name as the whole group. */
  void SetGroupSize(std::uint32_t members) { this->group_size = members; }

  bool Alive(std::size_t proxy) const { return this->proxies[proxy]->alive; }
  std::size_t ProxyCount() const { return this->proxies.size(); }
  TrafficShard& Shard(std::size_t proxy) {
    return *this->proxies[proxy]->shard;
  }
  FakeGroup& Group() { return this->group; }
  Network& Net() { return this->network; }
  const FleetOptions& Options() const { return this->options; }
  const DatabaseId& Database() const { return this->database; }
  MemberId MemberName(std::size_t number) const;

  /** Within a reply: when the proxy that ran the request let its answer go. */
  std::chrono::steady_clock::time_point AnswerMadeAt() const {
    return this->answer_made_at;
  }

  /** Messages between proxies so far. */
  std::uint64_t Messages() const { return this->messages; }

  /** Told each message that a proxy sends; may be empty. */
  void SetSendObserver(
      std::function<void(std::size_t proxy, const PeerBody&)> observer) {
    this->send_observer = std::move(observer);
  }

 private:
  struct Proxy {
    ProxyInfo info;
    bool alive = true;
    MemberEvents events;
    std::unique_ptr<TrafficShard> shard;
    std::chrono::steady_clock::time_point armed_for;
    std::chrono::steady_clock::time_point paused_until;
    bool cut = false;
  };

  /** Lets a proxy do something, unless it dies or starts anew before it
   * runs. */
  void Wake(Proxy& proxy, std::function<void(TrafficShard&)> action);
  MemberEvents EventsOf(Proxy& proxy);
  void Boot(Proxy& proxy);
  void Arm(Proxy& proxy);
  void Observe(const Proxy& from, const PeerBody& body);
  void Send(Proxy& from, const NodeId& to, const PeerBody& body);
  void Receive(Proxy& proxy, const NodeId& from, const PeerBody& body,
               std::chrono::steady_clock::time_point sent_at);
  Proxy* Find(const NodeId& id);
  RoutingViewPtr MakeView() const;
  /** Hands a view to a proxy. */
  void Show(Proxy& proxy, const RoutingViewPtr& view);
  FleetSeatHooks SeatHooks();

  EventQueue& queue;
  FleetOptions options;
  Network network;
  FakeGroup group;
  DatabaseId database;
  std::uint64_t term = 1;
  MemberId primary;
  std::uint32_t group_size;
  std::vector<std::unique_ptr<Proxy>> proxies;
  ConfigurationInForce configuration;
  FleetSeats seats;
  std::uint64_t messages = 0;
  /** When the message that is being handled was sent. */
  std::optional<std::chrono::steady_clock::time_point> message_sent_at;
  std::chrono::steady_clock::time_point answer_made_at;
  std::uint64_t boots = 0;
  std::function<void(std::size_t, const PeerBody&)> send_observer;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FLEET_H_
