#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_SLOT_OWNERS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_SLOT_OWNERS_H_

// Defines how the slots of a member are shared among proxies.

#include <vector>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/**
 * Shares the slots of a member between the proxies that hold its connections:
 * the two proxies in the member's zone that rendezvous hashing ranks first, or
 * of all zones if its own has none. The first gets the larger share. The shares
 * add up to at most the member's slots.
 */
std::vector<SlotShare> AssignSlotOwners(const MemberInfo& member,
                                        const std::vector<ProxyInfo>& proxies);

/** The proxies that have a share of a member's slots. */
std::vector<NodeId> SlotOwnersOf(const MemberInfo& member,
                                 const std::vector<ProxyInfo>& proxies);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_SLOT_OWNERS_H_
