#ifndef LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_SET_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_SET_H_

// Defines MemberSet, a subset of the members of a database.

#include <cstddef>
#include <cstdint>

namespace lacewingferry {

/** A set of members by their index in a view; indexes from 64 on are never in
 * it. */
class MemberSet {
 public:
  void Add(std::size_t place) {
    if (place < kPlaces) this->bits |= 1ULL << place;
  }
  void Add(const MemberSet& others) { this->bits |= others.bits; }
  bool Has(std::size_t place) const {
    return place < kPlaces && ((this->bits >> place) & 1U) != 0;
  }
  void Clear() { this->bits = 0; }

 private:
  static constexpr std::size_t kPlaces = 64;
  std::uint64_t bits = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_SET_H_
