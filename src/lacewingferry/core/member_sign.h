#ifndef LACEWINGFERRY_CORE_MEMBER_SIGN_H_
#define LACEWINGFERRY_CORE_MEMBER_SIGN_H_

// Defines MemberSign, what a proxy's own traffic shows of a member.

#include <cstdint>

namespace lacewingferry {

/** One thing that happened on a connection to a member. */
enum class MemberSign : std::uint8_t {
  /** A batch was sent. */
  kAsked,
  /** An answer came, or a connection was opened or refused for want of a free
   * one: the member is alive. */
  kAnswered,
  /** The machine refused a connection: nothing listens there. */
  kRefused,
  /** An open connection was reset or closed. */
  kReset,
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MEMBER_SIGN_H_
