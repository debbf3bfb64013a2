#include "lacewingferry/decisions/switchover/successor_choice.h"

#include <algorithm>
#include <tuple>

namespace lacewingferry {
namespace {

bool IsPreferred(const SuccessorAnswer& a, const SuccessorAnswer& b,
                 const AvailabilityZone& zone) {
  const bool a_remote = a.zone != zone;
  const bool b_remote = b.zone != zone;
  return std::tie(a.leaving, a_remote, a.run.member) <
         std::tie(b.leaving, b_remote, b.run.member);
}

/** Whether a log holds all up to a position of an earlier term or its own. A
 * log that begins anew has lower offsets in a higher term. */
bool Holds(const LogPosition& received, const LogPosition& position) {
  return received >= position && received.offset >= position.offset;
}

/** Whether a member leads the term in which commits were acknowledged last, or
 * a later one. */
bool LeadsNewestTerm(const SuccessorChoiceInput& input,
                     const SuccessorAnswer& answer) {
  if (!answer.primary) return false;
  if (input.leading_term == 0) return answer.run.member == input.leader;
  return answer.term >= input.leading_term;
}

/** The proof by all replicas; none unless each of them answered and is known
 * not to have begun anew. */
std::optional<CommitProof> ProofByReplicas(const SuccessorChoiceInput& input) {
  if (!input.missing.empty() || !input.ended.empty()) return std::nullopt;
  CommitProof proof{input.floor, "replicas"};
  for (const SuccessorAnswer& answer : input.answers) {
    if (answer.run.member == input.leader) continue;
    if (!answer.proof) return std::nullopt;
    proof.position =
        std::max({proof.position, answer.received, answer.proof->earlier_runs});
  }
  return proof;
}

const SuccessorAnswer* FindLeader(const SuccessorChoiceInput& input) {
  for (const SuccessorAnswer& answer : input.answers) {
    if (answer.led && answer.run.member == input.leader) return &answer;
  }
  return nullptr;
}

}  // namespace

const SuccessorAnswer* FindPrimary(const SuccessorChoiceInput& input) {
  const SuccessorAnswer* found = nullptr;
  for (const SuccessorAnswer& answer : input.answers) {
    if (!LeadsNewestTerm(input, answer)) continue;
    const LogPosition least = std::max(input.floor, input.acknowledged);
    if (!Holds(answer.received, least)) continue;
    if (found == nullptr || answer.term > found->term) found = &answer;
  }
  return found;
}

std::vector<CommitProof> ProofsOf(const SuccessorChoiceInput& input) {
  std::vector<CommitProof> proofs;
  const auto add = [&](const LogPosition& position, const char* source) {
    proofs.push_back({std::max(position, input.floor), source});
  };
  if (input.reported) add(*input.reported, "reports");
  if (const SuccessorAnswer* primary = FindPrimary(input)) {
    add(primary->received, "primary");
  }
  if (const SuccessorAnswer* leader = FindLeader(input)) {
    add(leader->received, "leader");
  }
  const auto replicas = ProofByReplicas(input);
  if (replicas) proofs.push_back(*replicas);
  std::stable_sort(proofs.begin(), proofs.end(),
                   [](const CommitProof& a, const CommitProof& b) {
                     return a.position < b.position;
                   });
  return proofs;
}

std::optional<SuccessorAnswer> ChooseSuccessor(
    const SuccessorChoiceInput& input) {
  const std::vector<CommitProof> proofs = ProofsOf(input);
  if (proofs.empty()) return std::nullopt;
  const LogPosition& required = proofs.front().position;
  std::optional<SuccessorAnswer> best;
  for (const SuccessorAnswer& answer : input.answers) {
    if (answer.primary || answer.received < required) continue;
    if (!input.MayLead(answer.run.member)) continue;
    if (!best || IsPreferred(answer, *best, input.leader_zone)) best = answer;
  }
  return best;
}

}  // namespace lacewingferry
