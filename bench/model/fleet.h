#ifndef BENCH_MODEL_FLEET_H_
#define BENCH_MODEL_FLEET_H_

// Defines Fleet, several proxies before one database in virtual time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/fake_group.h"
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
  MemberSignHook observe;
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

  /** Tells every live proxy the present view; primary and term as given. */
  void Publish(std::uint64_t term, const MemberId& primary);

  std::size_t ProxyCount() const { return this->proxies.size(); }
  TrafficShard& Shard(std::size_t proxy) {
    return *this->proxies[proxy]->shard;
  }
  FakeGroup& Group() { return this->group; }
  Network& Net() { return this->network; }
  const FleetOptions& Options() const { return this->options; }
  const DatabaseId& Database() const { return this->database; }
  MemberId MemberName(std::size_t number) const;

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
  };

  void Boot(Proxy& proxy);
  void Arm(Proxy& proxy);
  void Send(Proxy& from, const NodeId& to, const PeerBody& body);
  void Receive(Proxy& proxy, const NodeId& from, const PeerBody& body);
  Proxy* Find(const NodeId& id);
  RoutingViewPtr MakeView() const;

  EventQueue& queue;
  FleetOptions options;
  Network network;
  FakeGroup group;
  DatabaseId database;
  std::uint64_t term = 1;
  MemberId primary;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::uint64_t messages = 0;
  std::uint64_t boots = 0;
  std::function<void(std::size_t, const PeerBody&)> send_observer;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FLEET_H_
