#ifndef BENCH_MODEL_SESSION_MEMBERS_H_
#define BENCH_MODEL_SESSION_MEMBERS_H_

// Defines SessionMembers, a group of members behind the gateway's hooks, in
// virtual time.

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "lacewingferry/core/member_request.h"

namespace lacewingferry::model {

/** What one member does. */
struct SessionMemberTraits {
  MemberId id;
  AvailabilityZone zone;
  bool primary = false;
  /** How long one request occupies a slot. */
  std::chrono::milliseconds work{10};
  /** The way to the member and back. */
  std::chrono::milliseconds way{2};
  std::size_t slots = 4;
  /** Requests beyond the slots that wait; more are refused as busy. */
  std::size_t queue = 1000;
  /** How far a replica stays behind the primary. */
  std::chrono::milliseconds lag{5};
  /** Swallows requests and answers nothing. */
  bool silent = false;
  /** Runs requests and loses the answers. */
  bool loses_answers = false;
};

/** A statement that a member ran. */
struct SessionRun {
  MemberId member;
  RequestId id;
  std::string text;
  LinkId link = 0;
  /** In whose name the connection was opened. */
  CustomerId customer;
  /** The connection's values when it ran. */
  std::map<std::string, std::string> values;
  bool in_transaction = false;
  /** The member's log when it ran. */
  LogPosition position;
  std::chrono::steady_clock::time_point at;
};

/** What the members report. */
struct SessionMembersHooks {
  std::function<void(LinkId, const std::optional<LogPosition>&)> opened;
  std::function<void(LinkId)> lost;
  std::function<void(LinkId, const MemberReply&)> reply;
};

/**
 * Members that run requests in the order of each connection, keep values,
 * prepared names and transactions by connection, and replicate by position.
 * Everything that ran stands in Runs().
 */
class SessionMembers {
 public:
  SessionMembers(EventQueue& event_queue, SessionMembersHooks members_hooks);

  void Add(const SessionMemberTraits& traits);
  SessionMemberTraits& Traits(const MemberId& id) {
    return this->members.at(id).traits;
  }

  void Open(LinkId link, const LinkTarget& target);
  void Send(LinkId link, const std::vector<MemberRequest>& requests);
  void Close(LinkId link);

  /** Breaks all connections to a member, or all and the member with them. */
  void Break(const MemberId& id);
  void Kill(const MemberId& id);
  /** Makes a member the primary of the next term with what it has. */
  void Promote(const MemberId& id);

  const std::vector<SessionRun>& Runs() const { return this->runs; }
  /** The commits of writes by their requests, and where each stands. */
  const std::map<RequestId, LogPosition>& Commits() const {
    return this->commits;
  }
  LogPosition PositionOf(const MemberId& id) const;
  std::size_t OpenLinks(const MemberId& id) const;
  /** How many connections were opened to a member. */
  std::size_t Openings(const MemberId& id) const {
    return this->members.at(id).openings;
  }
  std::size_t MostBusy(const MemberId& id) const {
    return this->members.at(id).most_busy;
  }

 private:
  struct Member {
    SessionMemberTraits traits;
    bool alive = true;
    std::size_t busy = 0;
    std::size_t most_busy = 0;
    std::size_t openings = 0;
    std::deque<std::function<void()>> waiting;
    LogPosition log;
  };
  struct Link {
    MemberId member;
    CustomerId customer;
    bool open = false;
    std::map<std::string, std::string> values;
    std::map<PreparedNumber, MemberRequest> prepared;
    bool in_transaction = false;
    bool wrote = false;
    std::deque<MemberRequest> requests;
    bool running = false;
  };

  void Next(LinkId id);
  void Run(LinkId id, const MemberRequest& request);
  void Finish(LinkId id, MemberReply reply);
  MemberReply Execute(LinkId id, const MemberRequest& request);
  void Commit(const Link& link, const RequestId& request);
  bool TakesSlot(const Link& link, const MemberRequest& request) const;
  std::string TextOf(const Link& link, const MemberRequest& request) const;

  EventQueue& queue;
  SessionMembersHooks hooks;
  std::map<MemberId, Member> members;
  std::map<LinkId, Link> links;
  std::vector<SessionRun> runs;
  std::map<RequestId, LogPosition> commits;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_SESSION_MEMBERS_H_
