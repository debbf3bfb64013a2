#ifndef LACEWINGFERRY_APP_SESSION_TRAFFIC_H_
#define LACEWINGFERRY_APP_SESSION_TRAFFIC_H_

// Defines SessionTraffic, the traffic thread of a proxy of sessions.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lacewingferry/adapters/histogram/request_metrics.h"
#include "lacewingferry/app/session_front.h"
#include "lacewingferry/decisions/gateway/gateway.h"
#include "lacewingferry/ports/clock.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What the traffic thread is made of. */
struct SessionTrafficParts {
  GatewaySettings settings;
  SessionFrontAddresses addresses;
  MakeSessionFront make_front;
  ClockPort clock;
  EventPort events;
  /** Called on the traffic thread. */
  std::function<void(const DatabaseId&, std::uint64_t before_term,
                     const LogPosition& acknowledged)>
      recalled;
  /** Sends a request to control. Called on the traffic thread. */
  std::function<void(const PermitRequest&)> request_permits;
};

/** Runs the gateway with its sockets on a thread of its own. All calls may come
 * from the control thread; they are posted. */
class SessionTraffic {
 public:
  /** Listens at once. Throws UserError if the address can't be used. */
  explicit SessionTraffic(SessionTrafficParts parts);
  ~SessionTraffic();
  SessionTraffic(const SessionTraffic&) = delete;
  SessionTraffic& operator=(const SessionTraffic&) = delete;

  void Start();
  /** Ends the thread, with whatever is under way. */
  void Stop();

  void SetView(GatewayViewPtr view);
  void SetLease(const DatabaseId& database, std::uint64_t term,
                std::chrono::steady_clock::time_point until);
  void OnPosition(const DatabaseId& database,
                  std::chrono::steady_clock::time_point asked,
                  const LogPosition& position);
  void Recall(const DatabaseId& database, std::uint64_t before_term,
              std::chrono::milliseconds patience);
  void OnPermits(const PermitGrant& grant);
  void StartDraining();
  void EndTransactions();

  /** The sessions that are open, as of the last input. */
  std::size_t SessionCount() const { return this->session_count; }
  /** The metrics in the Prometheus text format; the gauges are those of the
   * last tick. */
  std::string Metrics() const;

 private:
  template <typename Action>
  void Post(Action action);
  template <typename Action>
  void Handle(Action action);
  SessionFrontHooks FrontHooks();
  GatewayHooks MakeGatewayHooks();
  void Measure(const StatementRun& run, const ClientReply& reply,
               std::chrono::nanoseconds took);
  void KeepGauges(std::chrono::steady_clock::time_point now);
  void Arm();

  SessionTrafficParts parts;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::asio::steady_timer timer;
  std::chrono::steady_clock::time_point armed_for;
  std::unique_ptr<Gateway> gateway;
  SessionFront front;
  std::atomic<std::size_t> session_count{0};
  RequestMetrics metrics;
  mutable std::mutex gauges_mutex;
  std::vector<Gauge> gauges;
  std::thread thread;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_SESSION_TRAFFIC_H_
