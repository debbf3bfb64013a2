#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_MEMBER_POOL_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_MEMBER_POOL_H_

// Defines MemberPool, a proxy's connections to one member and its estimate of
// the member's response time.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/gateway/gateway_hooks.h"
#include "lacewingferry/decisions/gateway/recent_use.h"
#include "lacewingferry/decisions/gateway/session_state.h"

namespace lacewingferry {

/** The state of a connection. */
enum class LinkPhase : std::uint8_t {
  kOpening,
  kIdle,
  /** A request is in flight. */
  kBusy,
  /** Reserved for an open transaction, with no request in flight. */
  kPinned,
};

/** A connection to a member. */
struct Link {
  LinkPhase phase = LinkPhase::kOpening;
  LinkState state;
  /** Only this customer's statements may use it. */
  CustomerId customer;
  /** When the connection attempt began. */
  std::chrono::steady_clock::time_point since;
  /** When it was last sent a statement; at first, when it was opened. */
  std::chrono::steady_clock::time_point last_used;
  /** Whether it was sent a statement. */
  bool used = false;
};

/** The connections to one member. Selects idle connections, and tracks when the
 * member may be sent requests or connected to again. */
class MemberPool {
 public:
  MemberPool(MemberInfo info, std::chrono::milliseconds initial_estimate,
             const GatewaySettings& settings);

  const MemberInfo& Info() const { return this->info; }
  void SetInfo(std::chrono::steady_clock::time_point now,
               const MemberInfo& next);
  /** Whether a leaving primary may still be sent statements that only the
   * primary can serve. */
  bool AcceptsWorkWhileLeaving(std::chrono::steady_clock::time_point now) const;
  void SetLimit(std::uint32_t connections) { this->limit = connections; }

  /** The idle connections to close: those beyond the limit, or all of them if
   * this proxy does not own the group. */
  std::vector<LinkId> ExcessLinks(bool owner) const;

  /** The customer's idle connection that needs the least preparation for a
   * session; none if none is idle. */
  std::optional<LinkId> FindIdle(const SessionState& session,
                                 const CustomerId& customer) const;

  /** Whether another connection may be opened now. Connections are opened one
   * at a time: opening occupies a slot of the member for longer than a
   * statement does, so many at once would keep the member from serving. */
  bool MayOpen(std::chrono::steady_clock::time_point now) const;

  /** Whether a connection may be opened in a customer's name now, if need be in
   * place of an idle one. */
  bool MayOpenFor(std::chrono::steady_clock::time_point now) const;

  /** The idle connection that a new one may replace: of the customer that uses
   * each of its connections least, and of these the one that was unused for the
   * longest time; but none that was just opened for a statement. None while the
   * limit leaves room for another. */
  std::optional<LinkId> FindReplaceable(
      std::chrono::steady_clock::time_point now) const;

  /** Whether any connection is open. */
  bool Connected() const { return this->links.size() > this->OpeningCount(); }

  /** Whether the member may be sent a request now, that is, it has not just
   * answered busy. */
  bool IsAvailable(std::chrono::steady_clock::time_point now) const {
    return now >= this->unavailable_until;
  }
  /** Whether the member may have applied the position that a read requires.
   * False for a short time after it reported that it lacks that position. */
  bool MayHavePosition(std::chrono::steady_clock::time_point now,
                       const LogPosition& position) const;

  /** The expected response time of a further request. */
  std::chrono::microseconds ExpectedTime() const;

  /** The estimated throughput of the open connections, in requests per
   * second. */
  double RequestRate() const;

  Link& Add(std::chrono::steady_clock::time_point now, LinkId link);
  Link* Find(LinkId link);
  void Remove(LinkId link) { this->links.erase(link); }
  const std::map<LinkId, Link>& Links() const { return this->links; }
  std::uint32_t OpeningCount() const {
    return this->Count(LinkPhase::kOpening);
  }

  /** Records that a connection is sent a statement. */
  void OnUsed(std::chrono::steady_clock::time_point now, Link* link);
  /** Records a successful answer: its response time and the member's log
   * position. */
  void OnAnswer(std::chrono::microseconds took,
                const std::optional<LogPosition>& position);
  void OnBusy(std::chrono::steady_clock::time_point now);
  void OnLagging(std::chrono::steady_clock::time_point now,
                 const LogPosition& position);
  void OnOpened();
  void OnLost(std::chrono::steady_clock::time_point now, bool while_opening);

  /** Whether a connection attempt takes so long that the member may be
   * unreachable. */
  bool OpeningStalls(std::chrono::steady_clock::time_point now) const;

  /** When the member may be both sent a request and connected to again; used
   * for timers. */
  std::chrono::steady_clock::time_point NextAvailable() const {
    return std::max(this->unavailable_until, this->next_open);
  }

 private:
  std::uint32_t Count(LinkPhase phase) const;
  double UseOfEachLink(std::chrono::steady_clock::time_point now,
                       const CustomerId& customer) const;

  MemberInfo info;
  const GatewaySettings& settings;
  std::optional<std::chrono::steady_clock::time_point> leaving_since;
  std::uint32_t limit = 1;
  std::map<LinkId, Link> links;
  /** How much each customer used the connections lately. */
  std::map<CustomerId, RecentUse> use_by_customer;
  /** A moving average of the response time. */
  std::chrono::microseconds estimate;
  std::chrono::steady_clock::time_point unavailable_until;
  std::chrono::steady_clock::time_point next_open;
  std::chrono::milliseconds reconnect_delay{0};
  /** The highest position that the member has reported. */
  LogPosition reported;
  /** A position that the member reported it lacks, and until when this is
   * assumed to hold. */
  LogPosition missing_position;
  std::chrono::steady_clock::time_point missing_position_until;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_MEMBER_POOL_H_
