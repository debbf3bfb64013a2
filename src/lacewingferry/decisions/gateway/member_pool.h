#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_MEMBER_POOL_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_MEMBER_POOL_H_

// Defines MemberPool, a proxy's connections to one member and what it knows of
// the member's speed.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/gateway/gateway_hooks.h"
#include "lacewingferry/decisions/gateway/session_state.h"

namespace lacewingferry {

/** Where a connection stands. */
enum class LinkPhase : std::uint8_t {
  kOpening,
  kIdle,
  /** A request is under way. */
  kBusy,
  /** Held by an open transaction, with no request under way. */
  kPinned,
};

/** A connection to a member. */
struct Link {
  LinkPhase phase = LinkPhase::kOpening;
  LinkState state;
  std::chrono::steady_clock::time_point since;
};

/** The connections to one member. Hands them out and back; says when the
 * member is better left alone. */
class MemberPool {
 public:
  MemberPool(MemberInfo info, std::chrono::milliseconds first_estimate,
             const GatewaySettings& settings);

  const MemberInfo& Info() const { return this->info; }
  void SetInfo(std::chrono::steady_clock::time_point now,
               const MemberInfo& next);
  /** Whether a leaving primary may still be sent what only it can serve. */
  bool MayLinger(std::chrono::steady_clock::time_point now) const;
  void SetLimit(std::uint32_t connections) { this->limit = connections; }

  /** Idle connections beyond the limit; all that are idle for a proxy that
   * doesn't own the group. */
  std::vector<LinkId> Surplus(bool owner) const;

  /** The idle connection that suits a session best; none if there is none. */
  std::optional<LinkId> FindIdle(const SessionState& session) const;

  /** Whether one more connection may be opened now. One at a time: opening
   * takes a slot of the member for longer than a statement does, so that many
   * at once would keep it from serving. */
  bool MayOpen(std::chrono::steady_clock::time_point now) const;

  /** Whether any connection is open. */
  bool Connected() const { return this->links.size() > this->Opening(); }

  /** Whether the member may be sent a request now. */
  bool Rested(std::chrono::steady_clock::time_point now) const {
    return now >= this->rest_until;
  }
  /** Whether a replica may have the position that a read asks for. */
  bool MayHave(std::chrono::steady_clock::time_point now,
               const LogPosition& position) const;

  /** The time that a request is expected to take here. */
  std::chrono::microseconds Expected() const;

  /** How many requests a second the open connections carry, as measured. */
  double Rate() const;

  Link& Add(std::chrono::steady_clock::time_point now, LinkId link);
  Link* Find(LinkId link);
  void Remove(LinkId link) { this->links.erase(link); }
  const std::map<LinkId, Link>& Links() const { return this->links; }
  std::uint32_t Opening() const { return this->Count(LinkPhase::kOpening); }

  /** Notes an answer, the time it took and what the member's log has. */
  void OnAnswer(std::chrono::microseconds took,
                const std::optional<LogPosition>& position);
  void OnBusy(std::chrono::steady_clock::time_point now);
  void OnLagging(std::chrono::steady_clock::time_point now,
                 const LogPosition& position);
  void OnOpened();
  void OnLost(std::chrono::steady_clock::time_point now, bool while_opening);

  /** The end of the longest rest that was ordered; for wake-ups. */
  std::chrono::steady_clock::time_point NextChance() const {
    return std::max(this->rest_until, this->next_open);
  }

 private:
  std::uint32_t Count(LinkPhase phase) const;

  MemberInfo info;
  const GatewaySettings& settings;
  std::optional<std::chrono::steady_clock::time_point> leaving_since;
  std::uint32_t limit = 1;
  std::map<LinkId, Link> links;
  /** A moving average of how long requests take. */
  std::chrono::microseconds estimate;
  std::chrono::steady_clock::time_point rest_until;
  std::chrono::steady_clock::time_point next_open;
  std::chrono::milliseconds reconnect_pause{0};
  /** The highest position that the member showed. */
  LogPosition seen;
  /** A position that the member lacked, until the time given. */
  LogPosition lacked;
  std::chrono::steady_clock::time_point lacked_until;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_MEMBER_POOL_H_
