#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_RUN_EVIDENCE_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_RUN_EVIDENCE_H_

// Defines RunEvidence, what the control leader itself has seen of the runs of a
// group's members.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/fleet_command.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** Why a replica's answer stands for every commit that the replica ever
 * acknowledged. */
struct RunProof {
  /** What earlier runs of the replica acknowledged is within this position. */
  LogPosition earlier_runs;
  /** link: the run has answered on one connection since a time at which the
   * primary's position was read; announced: the run on the list of members
   * announced itself after the connection was opened. */
  const char* source = "";
};

/** A position that the primary's log had reached after a time. */
struct PrimarySample {
  LogPosition position;
  std::chrono::steady_clock::time_point asked_at;
};

/**
 * A member that restarts may come back with an empty log, under the ID that it
 * had, before anybody is told. Its answer then says nothing about the commits
 * that it acknowledged before. A connection ends with the run that took it, so
 * answers on one connection are of one run.
 *
 * All of this is lost with the leader. A new one knows of no connection, and
 * proves a run by an announcement that it takes itself.
 */
class RunEvidence {
 public:
  /** Takes an answer of a replica on a connection that was opened at a time. */
  void OnReplica(const MemberId& replica,
                 std::chrono::steady_clock::time_point opened_at);

  /** Takes an answer of the primary, which leads. */
  void OnPrimary(const MemberId& primary,
                 std::chrono::steady_clock::time_point opened_at,
                 const PrimarySample& sample);

  /** Forgets what it has on others than these members. */
  void KeepOnly(const std::vector<MemberId>& members);
  /** Forgets the ended runs that were covered. */
  void ForgetCovered() { this->covered_runs.clear(); }

  /** Takes an announcement that arrived at this process. */
  void OnAnnounced(const MemberRun& run,
                   std::chrono::steady_clock::time_point heard_at);

  /** Takes the newest position that a proxy had acknowledged when it released
   * its lease. */
  void OnReported(const LogPosition& acknowledged);

  /** Notes that a run had ended when the primary had a position. */
  void OnCovered(const MemberRun& ended, const LogPosition& position);

  /** The proof for an answer of a run on a connection; none if there is no
   * proof yet. */
  std::optional<RunProof> ProofOf(
      const MemberRun& run,
      std::chrono::steady_clock::time_point opened_at) const;

  /** Whether a member answered as the primary on this connection. */
  bool LedOn(const MemberId& member,
             std::chrono::steady_clock::time_point opened_at) const;

  /** The primary's position when the run had ended, if this process read it. */
  std::optional<LogPosition> CoverOf(const MemberRun& ended) const;

  /** The newest of the positions that proxies reported, and how many did. */
  const LogPosition& Reported() const { return this->reported; }
  std::size_t Reports() const { return this->reports; }

  /** The last position that the primary answered with while it led. */
  const std::optional<PrimarySample>& LastSample() const {
    return this->last_sample;
  }

 private:
  struct Link {
    std::chrono::steady_clock::time_point opened_at;
    /** The primary's position, read after the connection was opened. */
    std::optional<LogPosition> covered;
  };
  struct Announcement {
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point heard_at;
  };

  std::map<MemberId, Link> replica_links;
  std::map<MemberId, std::chrono::steady_clock::time_point> primary_links;
  std::map<MemberId, Announcement> announcements;
  std::map<MemberRun, LogPosition> covered_runs;
  std::optional<PrimarySample> last_sample;
  LogPosition reported;
  std::size_t reports = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_RUN_EVIDENCE_H_
