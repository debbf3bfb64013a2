#ifndef LACEWINGFERRY_CORE_SEAT_TABLE_H_
#define LACEWINGFERRY_CORE_SEAT_TABLE_H_

// Defines SeatTable, the slots that the control thread lets the traffic
// threads use, and SeatReport, their answer.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** The slots that a proxy holds at one moment. */
struct SeatTable {
  /** Rises with each table. */
  std::uint64_t number = 0;
  /** Whether slots change hands under witnesses; if not, each proxy takes its
   * share as its view says. */
  bool witnessed = true;
  /** Until when each slot of a member may be used; none for members that
   * aren't named. */
  std::map<MemberId, std::vector<std::chrono::steady_clock::time_point>> ends;
};

using SeatTablePtr = std::shared_ptr<const SeatTable>;

/** The connections of one traffic thread after it took a table. */
struct SeatReport {
  std::uint64_t table = 0;
  /** Connections that exist, also those being opened. */
  std::map<MemberId, std::size_t> connections;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SEAT_TABLE_H_
