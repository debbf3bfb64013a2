#ifndef LACEWINGFERRY_APP_TRAFFIC_THREAD_H_
#define LACEWINGFERRY_APP_TRAFFIC_THREAD_H_

// Defines TrafficThread, one thread that serves callers' requests for its
// share of the databases.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

#include "lacewingferry/adapters/libpq/member_connections.h"
#include "lacewingferry/decisions/traffic/traffic_shard.h"
#include "lacewingferry/ports/clock.h"

namespace lacewingferry {

/** What a traffic thread needs of the rest of the program. */
struct TrafficThreadHooks {
  std::function<void(const std::string& peer_url, const PeerBody&)> send;
  EventPort events;
  ClockPort clock;
  /** Told on the traffic thread what the traffic shows of the members. */
  MemberObservationHook observe;
};

/** Runs the decisions of one shard. The methods may be called from any thread;
 * they post to this one. */
class TrafficThread {
 public:
  TrafficThread(TrafficThreadHooks hooks, const TrafficSettings& settings,
                const MemberDialect& dialect, std::size_t index,
                std::size_t count);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /** Starts the thread. */
  void Start();

  /** Ends the thread; nothing runs on it afterwards. */
  void Stop();

  void Publish(const RoutingViewPtr& view);
  /** Sets the slots that may be used; report gets the connections that exist
   * then, on this thread. */
  void PublishSeats(const SeatTablePtr& table,
                    std::function<void(const SeatReport&)> report);
  void Submit(StatementRequest request, ReplyHook reply);
  void OnForward(const NodeId& from, const ForwardRequest& forward);
  void OnForwardReply(const NodeId& from, const ForwardReply& reply);
  void OnProbe(const NodeId& from, const PositionProbe& probe);
  void OnSample(const PositionSample& sample);

  /** Sets the end of the lease on a database. Until the first call no answer
   * of a primary leaves. */
  void SetLease(const DatabaseId& database,
                std::chrono::steady_clock::time_point until);

  /** Gives up the terms of a database up to one, for good. */
  void ReleaseTerm(const DatabaseId& database, std::uint64_t term);

  /** Runs an action on this thread after everything that was posted before. */
  void RunAfterPosted(std::function<void()> action);

  /** Runs a statement of control; the reply comes on this thread. */
  void RunControlStatement(const DatabaseId& database, const MemberId& member,
                           const MemberStatement& statement,
                           std::chrono::steady_clock::time_point deadline,
                           ControlReply reply);

  /** Reports how many requests and transactions are unfinished, on this
   * thread. */
  void CountUnfinished(
      std::function<void(std::size_t requests, std::size_t transactions)>
          report);

  boost::asio::io_context& Io() { return this->io; }

 private:
  template <typename Action>
  void Post(Action action);
  void ArmTimer();
  void Send(const NodeId& node, const PeerBody& body);
  MemberEvents Events();

  TrafficThreadHooks hooks;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::asio::steady_timer timer;
  std::chrono::steady_clock::time_point armed_for;
  MemberConnections connections;
  TrafficShard shard;
  RoutingViewPtr view;
  std::thread thread;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_TRAFFIC_THREAD_H_
