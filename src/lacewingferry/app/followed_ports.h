#ifndef LACEWINGFERRY_APP_FOLLOWED_PORTS_H_
#define LACEWINGFERRY_APP_FOLLOWED_PORTS_H_

// Defines FollowedBy, ports after whose answers something has to be done.

#include <functional>

#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** The port, with a step after each answer was taken. */
MemberAdminPort FollowedBy(MemberAdminPort port, std::function<void()> step);
PromotionPort FollowedBy(PromotionPort port, std::function<void()> step);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_FOLLOWED_PORTS_H_
