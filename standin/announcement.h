#ifndef STANDIN_ANNOUNCEMENT_H_
#define STANDIN_ANNOUNCEMENT_H_

// Defines EncodeAnnouncement, the JSON form of what a member says of itself.

#include <cstdint>
#include <string>

#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** A member's announcement to the proxies. */
struct Announcement {
  MemberInfo info;
  std::uint16_t replication_port = 0;
  bool primary = false;
  std::uint64_t term = 0;
  LogPosition position;
  /** Counts the announcements of one run from 1. */
  std::uint64_t sequence = 0;
  /** Larger for each later run of the same member. */
  std::uint64_t incarnation = 0;
};

/** The announcement as a JSON object. */
std::string EncodeAnnouncement(const Announcement& announcement);

}  // namespace lacewingferry::standin

#endif  // STANDIN_ANNOUNCEMENT_H_
