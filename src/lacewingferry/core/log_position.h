#ifndef LACEWINGFERRY_CORE_LOG_POSITION_H_
#define LACEWINGFERRY_CORE_LOG_POSITION_H_

// Defines LogPosition, a place in a database's replicated log.

#include <cstdint>
#include <ostream>
#include <tuple>

namespace lacewingferry {

/**
 * The term of the primary that wrote a log entry and the entry's offset.
 * Positions are ordered by term, then by offset. The zero position precedes
 * every entry.
 */
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t offset = 0;

  friend bool operator==(const LogPosition& a, const LogPosition& b) {
    return a.term == b.term && a.offset == b.offset;
  }
  friend bool operator!=(const LogPosition& a, const LogPosition& b) {
    return !(a == b);
  }
  friend bool operator<(const LogPosition& a, const LogPosition& b) {
    return std::tie(a.term, a.offset) < std::tie(b.term, b.offset);
  }
  friend bool operator>(const LogPosition& a, const LogPosition& b) {
    return b < a;
  }
  friend bool operator<=(const LogPosition& a, const LogPosition& b) {
    return !(b < a);
  }
  friend bool operator>=(const LogPosition& a, const LogPosition& b) {
    return !(a < b);
  }
  friend std::ostream& operator<<(std::ostream& out, const LogPosition& p) {
    return out << p.term << "/" << p.offset;
  }

  /** Passes each field to visit, for codecs. */
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("offset", self.offset);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_LOG_POSITION_H_
