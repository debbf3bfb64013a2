#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_WRITE_CONFIRMER_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_WRITE_CONFIRMER_H_

// Defines WriteConfirmer, which holds back the answers of committed writes
// until a majority of the members have them.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/log_position.h"
#include "lacewingferry/decisions/traffic/member_status.h"

namespace lacewingferry {

/** What became of a write that waited for its confirmation. */
enum class Confirmation : std::uint8_t {
  /** A majority holds the write. */
  kConfirmed,
  /** The term ended first; the write may or may not survive. */
  kTermEnded,
};

/**
 * Waits for a majority of the whole group, the primary included, to hold each
 * write's position in the primary's term. One status report confirms all
 * writes up to the position that the majority reached.
 */
class WriteConfirmer {
 public:
  using ConfirmHook = std::function<void(Confirmation)>;

  /** Sets how many members the group has when whole. */
  void SetGroupSize(std::uint32_t members) { this->group_size = members; }

  std::uint32_t GroupSize() const { return this->group_size; }

  /** Adds a committed write. */
  void Add(const LogPosition& position, ConfirmHook on_confirmed);

  /** Takes the primary's rows and answers what they confirm. */
  void OnStatus(const std::vector<MemberStatus>& rows);

  /** Ends every wait of a term before the given one. */
  void EndTermsBefore(std::uint64_t term);

  /** The newest position that a majority is known to hold. */
  const LogPosition& Confirmed() const { return this->confirmed; }

  /** Whether any write waits. */
  bool Waiting() const { return !this->pending.empty(); }

 private:
  std::uint32_t group_size = 3;
  LogPosition confirmed;
  std::multimap<LogPosition, ConfirmHook> pending;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_WRITE_CONFIRMER_H_
