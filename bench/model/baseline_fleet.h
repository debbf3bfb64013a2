#ifndef BENCH_MODEL_BASELINE_FLEET_H_
#define BENCH_MODEL_BASELINE_FLEET_H_

// Defines BaselineFleet, the simple proxies that the project is measured
// against.

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/fake_group.h"
#include "bench/model/fleet.h"
#include "bench/model/network.h"

namespace lacewingferry::model {

/**
 * Proxies that each have a pool of connections of their own and know nothing
 * of one another. Reads of a caller with a token go to the primary, others to
 * the nearest replica, whatever its age. A write is acknowledged at its commit.
 * An idle connection is closed soon, for the members' slots are fewer than the
 * proxies.
 */
class BaselineFleet {
 public:
  BaselineFleet(EventQueue& queue, FleetOptions options);

  /** Sends a caller's request to a proxy; reply runs at the caller. */
  void Submit(std::size_t proxy, const StatementRequest& request,
              ReplyHook reply);

  FakeGroup& Group() { return this->group; }
  Network& Net() { return this->network; }

 private:
  struct Waiting {
    StatementRequest request;
    ReplyHook reply;
    std::chrono::steady_clock::time_point deadline;
  };
  /** A proxy's connections to one member. */
  struct Pool {
    MemberInfo member;
    std::size_t opening = 0;
    std::deque<Waiting> waiting;
    std::map<ConnectionId, std::chrono::steady_clock::time_point> idle;
  };
  struct Running {
    Waiting job;
    Pool* pool = nullptr;
  };
  struct Proxy {
    AvailabilityZone zone;
    std::vector<Pool> pools;
    std::map<ConnectionId, Running> running;
    std::map<ConnectionId, Pool*> owner;
    MemberEvents events;
    MemberPort port;
  };

  void Boot(Proxy& proxy);
  Pool& Choose(Proxy& proxy, const StatementRequest& request) const;
  void Pump(Proxy& proxy, Pool& pool);
  void Run(Proxy& proxy, Pool& pool, ConnectionId id);
  void Rest(Proxy& proxy, Pool& pool, ConnectionId id);
  void OnLost(Proxy& proxy, ConnectionId id);
  void OnCompleted(Proxy& proxy, ConnectionId id,
                   const MemberBatchResult& result);
  void Reply(const Waiting& job, const Outcome& outcome);

  EventQueue& queue;
  FleetOptions options;
  Network network;
  FakeGroup group;
  std::vector<std::unique_ptr<Proxy>> proxies;
  ConnectionId next_connection = 1;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_BASELINE_FLEET_H_
