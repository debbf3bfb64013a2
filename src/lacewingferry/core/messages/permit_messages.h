#ifndef LACEWINGFERRY_CORE_MESSAGES_PERMIT_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_PERMIT_MESSAGES_H_

// Defines the messages with which proxies obtain permits for the operations of
// customers with a rate limit.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** A proxy's account of one customer's permits. All counts but `wanted` are
 * totals since the account was opened, so that a message may be lost, doubled
 * or overtaken. */
struct PermitUse {
  CustomerId customer;
  /** Names the account within the run of the proxy, from its first request
   * on. */
  std::uint64_t opening = 0;
  /** The number that a control leader gave the account; 0 if none is known. */
  std::uint64_t account = 0;
  /** Permits that operations used up. */
  std::uint64_t used = 0;
  /** Permits that the proxy gave back and doesn't use. */
  std::uint64_t returned = 0;
  /** How many permits the proxy would like to hold. */
  std::uint32_t wanted = 0;
  /** How many of them operations wait for. */
  std::uint32_t waiting = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("customer", self.customer);
    visit("opening", self.opening);
    visit("account", self.account);
    visit("used", self.used);
    visit("returned", self.returned);
    visit("wanted", self.wanted);
    visit("waiting", self.waiting);
  }
};

/** A proxy asks the control leader for permits. */
struct PermitRequest {
  /** Rises with each request of one run of the proxy. */
  std::uint64_t sequence = 0;
  /** The run of the proxy. */
  std::uint64_t incarnation = 0;
  std::vector<PermitUse> uses;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
    visit("uses", self.uses);
  }
};

/** What an account of a proxy holds. */
struct PermitAccount {
  CustomerId customer;
  /** A later account of the same customer has a higher number. */
  std::uint64_t account = 0;
  /** All permits granted since the account was opened. */
  std::uint64_t granted = 0;
  /** Set while more permits are out than a lowered limit allows: the proxy
   * keeps at most so many and gives the others back. */
  std::optional<std::uint64_t> keep;
  /** Set if operations wait for more than was granted: the time in which about
   * one permit becomes free for the proxy. */
  std::optional<std::chrono::milliseconds> next_permit;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("customer", self.customer);
    visit("account", self.account);
    visit("granted", self.granted);
    visit("keep", self.keep);
    visit("next_permit", self.next_permit);
  }
};

/** The control leader's answer to a PermitRequest. */
struct PermitGrant {
  std::uint64_t sequence = 0;
  std::uint64_t incarnation = 0;
  /** How long the permits of the named accounts may be used, from the sending
   * of the request on. */
  std::chrono::milliseconds duration{0};
  std::vector<PermitAccount> accounts;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
    visit("duration", self.duration);
    visit("accounts", self.accounts);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_PERMIT_MESSAGES_H_
