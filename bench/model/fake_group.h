#ifndef BENCH_MODEL_FAKE_GROUP_H_
#define BENCH_MODEL_FAKE_GROUP_H_

// Defines FakeGroup, the members of one database in virtual time behind the
// member port.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/fake_member.h"
#include "bench/model/network.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry::model {

/** The times of a group and what tests may vary. */
struct FakeGroupOptions {
  /** The time that a member takes to accept a connection. */
  std::chrono::nanoseconds connect_delay{std::chrono::milliseconds(10)};
  /** The time that a batch holds its connection at the member. */
  std::function<std::chrono::nanoseconds(const MemberBatch&)> service_time;
  /** What a member adds to that; empty for nothing. */
  std::function<std::chrono::nanoseconds(const MemberId&, const MemberBatch&)>
      member_delay;
  /** The time from an entry's arrival at a replica until reads see it. */
  std::function<std::chrono::nanoseconds(const MemberId&)> apply_lag;
  /** Whether a replica's stream works at present; empty for always. */
  std::function<bool(const MemberId&)> streams;
  /** Told each entry when a primary commits it; may be empty. */
  std::function<void(const MemberId&, const FakeEntry&)> on_commit;
  /** The time until a member notices that a proxy has died. */
  std::chrono::nanoseconds notice_delay{0};
  /** Whether members record identified requests. */
  bool keeps_records = true;
  /** What a member says of the group; empty for its true state. */
  std::function<std::vector<GroupMemberState>(const FakeMember&)> state;
};

/** Whether a batch holds a caller's own statement. */
bool HasCallerStatement(const MemberBatch& batch);

/** Members that replicate asynchronously, and the connections of proxies to
 * them. */
class FakeGroup {
 public:
  FakeGroup(EventQueue& queue, Network& network, FakeGroupOptions options);

  /** Adds a member; the first one starts as the primary of term 1. */
  void AddMember(const MemberInfo& info);

  /** The port of a proxy in a zone. Events go to *events, which must outlive
   * the group. */
  MemberPort PortFor(const AvailabilityZone& zone, const MemberEvents* events);

  /** Ends a member's process: its connections break, its log stays. */
  void Kill(const MemberId& id);
  /** Starts it again with the role and term that it had. */
  void Restart(const MemberId& id);

  /** Lets a member's machine do nothing until a time; connections stay. A
   * machine that is stalled for ever is one that lost its power. */
  void Stall(const MemberId& id, std::chrono::steady_clock::time_point until);
  bool Stalled(const MemberId& id) const;

  /** Changes of role, as the dialect's statements make them. */
  bool Fence(const MemberId& id, std::uint64_t term);
  bool Promote(const MemberId& id, std::uint64_t term);
  bool Follow(const MemberId& id, std::uint64_t term, const MemberId& primary);

  /** Breaks all connections that a proxy's port opened, as its death does. */
  void BreakConnectionsOf(const MemberEvents* events);

  FakeMember& Member(const MemberId& id) { return this->members.at(id); }
  const std::map<MemberId, FakeMember>& Members() const {
    return this->members;
  }

  /** Connections that a member holds now, and the most that it ever held. */
  std::size_t OpenConnections(const MemberId& id) const;
  std::size_t MostConnections(const MemberId& id) const;
  /** Connections that members turned away because all slots were in use. */
  std::size_t TurnedAway() const { return this->turned_away; }

 private:
  struct Session {
    MemberId member;
    AvailabilityZone zone;
    const MemberEvents* events = nullptr;
    ConnectionId id = 0;
    bool open = false;
    bool in_transaction = false;
    /** A statement of the transaction failed; only ROLLBACK helps. */
    bool failed = false;
    /** The member was fenced during the transaction. */
    bool demoted = false;
    std::vector<std::pair<std::string, std::string>> puts;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Open(const AvailabilityZone& zone, const MemberEvents* events,
            ConnectionId id, const MemberInfo& info);
  void Accept(const SessionPtr& session);
  void Execute(const MemberEvents* events, ConnectionId id,
               const MemberBatch& batch);
  void Close(const MemberEvents* events, ConnectionId id);
  void End(const SessionPtr& session);
  void ReportLost(const SessionPtr& session, ConnectionFailure failure);
  /** A batch on its way through a member. */
  struct RunningBatch {
    SessionPtr session;
    MemberBatch batch;
    std::size_t next = 0;
    MemberBatchResult result;
  };
  using RunningBatchPtr = std::shared_ptr<RunningBatch>;

  void RunBatch(const RunningBatchPtr& running);
  void Answer(const RunningBatchPtr& running);
  bool Blocked(const Session& session, const MemberStatement& statement) const;
  /** Runs a statement; none for success. */
  std::optional<MemberError> RunStatement(Session& session,
                                          const MemberStatement& statement,
                                          MemberResult& result);
  std::optional<MemberError> RunCaller(Session& session,
                                       const SqlStatement& statement,
                                       ResultSet& rows);
  std::optional<MemberError> RunPut(Session& session,
                                    const SqlStatement& statement,
                                    ResultSet& rows);
  std::optional<MemberError> RunCommit(Session& session);
  std::optional<MemberError> RunRecord(Session& session,
                                       const MemberStatement& statement,
                                       MemberResult& result);
  void RollBack(Session& session);
  RoleAnswer ChangeRole(FakeMember& member, const MemberStatement& statement);
  /** Runs an action at a member, after its stall if there is one. */
  void WhenAwake(const MemberId& id, std::function<void()> action);
  void CommitOpen(Session& session, FakeMember& member);
  void Replicate(const MemberId& primary);
  /** Brings a replica the first entries of its primary's log, as many as there
   * were when they were sent. */
  void Deliver(const MemberId& primary, const MemberId& replica,
               std::uint64_t term, std::size_t count);
  void Resync(const MemberId& primary, const MemberId& replica,
              std::uint64_t term);
  void Acknowledge(const MemberId& primary, const MemberId& replica,
                   const FakeReplicaReport& report);

  EventQueue& queue;
  Network& network;
  FakeGroupOptions options;
  std::map<MemberId, FakeMember> members;
  std::map<std::pair<const MemberEvents*, ConnectionId>, SessionPtr> sessions;
  std::map<MemberId, std::chrono::steady_clock::time_point> stalled_until;
  std::map<MemberId, std::size_t> open_count;
  std::map<MemberId, std::size_t> most_count;
  std::size_t turned_away = 0;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FAKE_GROUP_H_
