#ifndef BENCH_MODEL_FAKE_GROUP_H_
#define BENCH_MODEL_FAKE_GROUP_H_

// Defines FakeGroup, the members of one database in virtual time behind the
// member port.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
  std::function<std::chrono::nanoseconds(const SqlBatch&)> service_time;
  /** The time from an entry's arrival at a replica until reads see it. */
  std::function<std::chrono::nanoseconds(const MemberId&)> apply_lag;
  /** Told each entry when a primary commits it; may be empty. */
  std::function<void(const MemberId&, const FakeEntry&)> on_commit;
};

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

 private:
  struct Session {
    MemberId member;
    AvailabilityZone zone;
    const MemberEvents* events = nullptr;
    ConnectionId id = 0;
    bool open = false;
    bool in_transaction = false;
    std::vector<std::pair<std::string, std::string>> puts;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Open(const AvailabilityZone& zone, const MemberEvents* events,
            ConnectionId id, const MemberInfo& info);
  void Accept(const SessionPtr& session);
  void Execute(const MemberEvents* events, ConnectionId id,
               const SqlBatch& batch);
  void Close(const MemberEvents* events, ConnectionId id);
  void End(const SessionPtr& session);
  void ReportLost(const SessionPtr& session, ConnectionFailure failure);
  BatchResult RunBatch(Session& session, const SqlBatch& batch);
  bool RunStatement(Session& session, const SqlStatement& statement,
                    BatchResult& result);
  void CommitOpen(Session& session, FakeMember& member);
  void Replicate(const MemberId& primary);
  void Deliver(const MemberId& primary, const MemberId& replica,
               std::uint64_t term);
  void Acknowledge(const MemberId& primary, const MemberId& replica,
                   std::uint64_t term);

  EventQueue& queue;
  Network& network;
  FakeGroupOptions options;
  std::map<MemberId, FakeMember> members;
  std::map<std::pair<const MemberEvents*, ConnectionId>, SessionPtr> sessions;
  std::map<MemberId, std::size_t> open_count;
  std::map<MemberId, std::size_t> most_count;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FAKE_GROUP_H_
