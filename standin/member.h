#ifndef STANDIN_MEMBER_H_
#define STANDIN_MEMBER_H_

// Defines Member, one backend server without its clients: its log, its data,
// its role and its replication.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standin/delayed_applier.h"
#include "standin/member_state.h"
#include "standin/record_file.h"
#include "standin/replication_client.h"
#include "standin/replication_log.h"
#include "standin/replication_server.h"
#include "standin/sql_engine.h"
#include "standin/write_lock.h"

namespace lacewingferry::standin {

/** What a member is started with. */
struct MemberSettings {
  std::string name;
  /** Where the log is kept; empty to keep it in memory only. */
  std::string data_folder;
  Endpoint replication;
  /** Whether a new member starts as the primary of term 1. */
  bool initial_primary = false;
  /** The replication endpoint that a new member follows; port 0 for none. */
  Endpoint follow;
  std::chrono::milliseconds lag{0};
  std::chrono::milliseconds lock_timeout{5000};
};

/** What a member tells its clients' sessions. */
struct MemberHooks {
  /** Roll back every open write transaction. */
  std::function<void()> demote_sessions;
  /** Close every session, because the data they see has been replaced. */
  std::function<void()> drop_sessions;
};

/** A position of a member as ferry_status() shows it. */
struct MemberStatus {
  std::string member;
  bool self = false;
  bool primary = false;
  std::uint64_t term = 0;
  LogPosition history;
  LogPosition applied;
};

/** A member of a replicated database. Used on one thread. */
class Member {
 public:
  /** Reads the data folder, replays the log and starts replication. Throws
   * UserError and boost::system::system_error. */
  Member(boost::asio::io_context& context, MemberSettings member_settings,
         MemberHooks member_hooks);

  const MemberState& State() const { return this->state; }
  LogPosition History() const { return this->log.End(); }
  std::uint16_t ReplicationPort() const { return this->server.Port(); }
  WriteLock& Lock() { return this->lock; }

  /** Opens a session's connection to the data. Throws SqlError. */
  std::unique_ptr<SqlConnection> Open() const { return this->engine.Open(); }

  /** Appends a transaction that a session has committed and sends it on.
   * Throws UserError, after which the process has to end. */
  void Append(std::vector<SqlStatement> statements);

  /** This member, and at a primary the replicas that acknowledged in its
   * term. */
  std::vector<MemberStatus> Status() const;

  /** The transitions of MemberState, made durable and carried out. */
  bool Fence(std::uint64_t term);
  bool Promote(std::uint64_t term);
  bool Follow(std::uint64_t term, const Endpoint& primary_log);

  /** Sets the delay between receipt and application of entries. */
  void SetLag(std::chrono::milliseconds lag) { this->applier.SetLag(lag); }

  /** Ends replication. */
  void Stop();

 private:
  void Load();
  void Persist();
  void LeaveRole(bool was_primary);
  HelloMessage Hello() const;
  bool StartStream(const StartMessage& start);
  bool Receive(const std::vector<LogEntry>& entries);
  AckMessage Acknowledgement() const;
  void TruncateHistory(std::uint64_t offset);
  void Replay();
  ReplicationClientHooks ClientHooks();

  MemberSettings settings;
  MemberHooks hooks;
  MemberState state;
  RecordFile state_file;
  ReplicationLog log;
  SqlEngine engine;
  WriteLock lock;
  LogPosition applied;
  DelayedApplier applier;
  ReplicationServer server;
  std::shared_ptr<ReplicationClient> client;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_MEMBER_H_
