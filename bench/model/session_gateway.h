#ifndef BENCH_MODEL_SESSION_GATEWAY_H_
#define BENCH_MODEL_SESSION_GATEWAY_H_

// Defines SessionGateway, one gateway with its members and clients in virtual
// time.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/session_members.h"
#include "lacewingferry/decisions/gateway/gateway.h"

namespace lacewingferry::model {

/** An answer that a client got. */
struct SessionAnswer {
  ClientReply reply;
  std::chrono::steady_clock::time_point at;
};

/**
 * A gateway before the group "db" with members "m0" (the primary), "m1" and
 * "m2", each in the zone "z0", "z1" and "z2"; the gateway is in z0. Three
 * routes: "primary", "bounded" (1,500 ms) and "session" (2,500 ms), each with a
 * statement timeout of a second and an objective of 400 ms.
 */
class SessionGateway {
 public:
  SessionGateway();

  EventQueue& Queue() { return this->queue; }
  SessionMembers& Members() { return this->members; }
  Gateway& Decisions() { return *this->gateway; }

  /** Publishes the view and grants the lease for the present term. */
  void Publish();
  void Lease(std::chrono::milliseconds length);
  /** Ends the term; a member leads the next one after a while. */
  void BeginTerm();
  void Promote(const MemberId& id);
  /** Vouches for the primary's position as it is now. */
  void Vouch();

  ClientId Open(const std::string& host,
                SessionOrigin origin = SessionOrigin::kClient,
                const std::string& key = "");
  /** What became of a session's opening. */
  const std::map<ClientId, Admission>& Admissions() const {
    return this->admissions;
  }
  /** Sends a statement; returns its identifier. */
  RequestId Ask(ClientId client, const std::string& text);
  /** The same with a statement that was decoded already. */
  void Ask(ClientId client, const ClientStatement& statement);
  /** Lets the time pass. */
  void Run(std::chrono::milliseconds length);
  /** Asks, and lets time pass until the answer or for two seconds. */
  ClientReply AskAndWait(ClientId client, const std::string& text);

  const std::map<RequestId, SessionAnswer>& Answers() const {
    return this->answers;
  }
  /** Whether the gateway ended the session. */
  bool Closed(ClientId client) const { return this->closed.count(client) > 0; }
  /** What the gateway said when it gave up a term. */
  struct Recalled {
    std::uint64_t before_term = 0;
    LogPosition acknowledged;
    std::chrono::steady_clock::time_point at;
  };
  const std::vector<Recalled>& Recalls() const { return this->recalls; }

  /** The view that Publish publishes. */
  GatewayView view;
  /** Gets the gateway's requests for permits, if it is set. */
  std::function<void(const PermitRequest&)> on_permit_request;
  /** Gets the requests to members in place of the model's members, if it is
   * set. */
  std::function<void(LinkId, const std::vector<MemberRequest>&)> on_send;

 private:
  GatewayHooks Hooks();
  void Tick();

  EventQueue queue;
  SessionMembers members;
  std::unique_ptr<Gateway> gateway;
  ClientId last_client = 0;
  int last_request = 0;
  std::map<ClientId, std::vector<RequestId>> asked;
  std::map<RequestId, SessionAnswer> answers;
  std::map<ClientId, Admission> admissions;
  std::map<ClientId, bool> closed;
  std::vector<Recalled> recalls;
};

/** A statement as the lines of a client would give it. */
ClientStatement MakeStatement(const RequestId& id, const std::string& text);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_SESSION_GATEWAY_H_
