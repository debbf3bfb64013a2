#ifndef STANDIN_STANDIN_SERVER_H_
#define STANDIN_STANDIN_SERVER_H_

// Defines StandinServer, a whole backend server: its member, its clients and
// its announcements.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "standin/announcer.h"
#include "standin/member.h"
#include "standin/postgres_server.h"

namespace lacewingferry::standin {

/** What a backend server is started with. */
struct StandinSettings {
  DatabaseId database;
  GroupId group;
  AvailabilityZone zone;
  MemberSettings member;
  PostgresServerSettings postgres;
  AnnouncerSettings announcer;
  /** How long a leaving server goes on serving open sessions. */
  std::chrono::milliseconds drain{3000};
};

/** A backend server on one io_context, whose thread it shares with no other
 * thread. */
class StandinServer {
 public:
  /** Listens, replays the log and starts to announce. Throws UserError and
   * boost::system::system_error. */
  StandinServer(boost::asio::io_context& context,
                StandinSettings server_settings);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  std::uint16_t Port() const { return this->postgres->Port(); }
  std::uint16_t ReplicationPort() const {
    return this->member->ReplicationPort();
  }

  /** Announces that the server leaves and goes on serving. */
  void Leave();

  /** Leaves, and tells done once no session is open or the drain time is
   * over. */
  void Drain(std::function<void()> done);

  /** Closes all connections at once. */
  void Stop();

 private:
  Announcement CurrentAnnouncement() const;
  std::shared_ptr<SqlSession> OpenSession(std::uint32_t number);
  void FinishDrain();

  StandinSettings settings;
  boost::asio::steady_timer drain_timer;
  std::unique_ptr<Member> member;
  std::unique_ptr<PostgresServer> postgres;
  std::shared_ptr<Announcer> announcer;
  std::function<void()> drained;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  bool leave_announced = false;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_STANDIN_SERVER_H_
