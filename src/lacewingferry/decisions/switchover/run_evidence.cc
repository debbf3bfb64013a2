#include "lacewingferry/decisions/switchover/run_evidence.h"

#include <algorithm>
#include <iterator>

namespace lacewingferry {

using std::chrono::steady_clock;

void RunEvidence::OnReplica(const MemberId& replica,
                            steady_clock::time_point opened_at) {
  Link& link = this->replica_links[replica];
  if (link.opened_at == opened_at) return;
  link = Link{opened_at, std::nullopt};
}

void RunEvidence::OnPrimary(const MemberId& primary,
                            steady_clock::time_point opened_at,
                            const PrimarySample& sample) {
  this->last_sample = sample;
  this->primary_links.clear();
  this->primary_links[primary] = opened_at;
  for (auto& item : this->replica_links) {
    Link& link = item.second;
    if (link.covered || sample.asked_at < link.opened_at) continue;
    link.covered = sample.position;
  }
}

void RunEvidence::KeepOnly(const std::vector<MemberId>& members) {
  const auto forget_others = [&](auto& known) {
    for (auto it = known.begin(); it != known.end();) {
      const bool kept =
          std::find(members.begin(), members.end(), it->first) != members.end();
      it = kept ? std::next(it) : known.erase(it);
    }
  };
  forget_others(this->replica_links);
  forget_others(this->announcements);
}

void RunEvidence::OnAnnounced(const MemberRun& run,
                              steady_clock::time_point heard_at) {
  this->announcements[run.member] = Announcement{run.incarnation, heard_at};
}

void RunEvidence::OnReported(const LogPosition& acknowledged) {
  this->reported = std::max(this->reported, acknowledged);
  ++this->reports;
}

void RunEvidence::OnCovered(const MemberRun& ended,
                            const LogPosition& position) {
  this->covered_runs.emplace(ended, position);
}

std::optional<RunProof> RunEvidence::ProofOf(
    const MemberRun& run, steady_clock::time_point opened_at) const {
  const auto link = this->replica_links.find(run.member);
  if (link != this->replica_links.end() &&
      link->second.opened_at == opened_at && link->second.covered) {
    return RunProof{*link->second.covered, "link"};
  }
  const auto announced = this->announcements.find(run.member);
  const bool runs_on = announced != this->announcements.end() &&
                       run.incarnation != 0 &&
                       announced->second.incarnation == run.incarnation &&
                       announced->second.heard_at > opened_at;
  if (!runs_on) return std::nullopt;
  return RunProof{LogPosition(), "announced"};
}

bool RunEvidence::LedOn(const MemberId& member,
                        steady_clock::time_point opened_at) const {
  const auto link = this->primary_links.find(member);
  return link != this->primary_links.end() && link->second == opened_at;
}

std::optional<LogPosition> RunEvidence::CoverOf(const MemberRun& ended) const {
  const auto found = this->covered_runs.find(ended);
  if (found == this->covered_runs.end()) return std::nullopt;
  return found->second;
}

}  // namespace lacewingferry
