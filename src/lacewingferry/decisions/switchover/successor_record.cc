#include "lacewingferry/decisions/switchover/successor_record.h"

#include <string>

namespace lacewingferry {
namespace {

std::string TextOf(const LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.offset);
}

/** A member and its run, as the roster knows it. */
std::string RunOf(const Roster& roster, const MemberId& member) {
  const MemberAnnouncement* known = roster.Find(member);
  return member.Value() + "@" +
         (known == nullptr ? "?" : std::to_string(known->incarnation));
}

void Append(std::string* list, const std::string& item) {
  if (!list->empty()) *list += " ";
  *list += item;
}

std::string FormerText(const SuccessorDecision& decision) {
  const MemberId& former = decision.entry.former_primary;
  std::string text = RunOf(decision.roster, former);
  const auto& position = decision.input.former_position;
  text += position ? "=" + TextOf(*position) : " no answer";
  return text;
}

std::string Outcome(const SuccessorDecision& decision) {
  if (decision.chosen) return "chosen: " + decision.chosen->id.Value();
  if (!RequiredOf(decision.input)) return "waits: replicas are missing";
  return "waits: none has the required position";
}

}  // namespace

Event MakeSuccessorRecord(const SuccessorDecision& decision) {
  std::string answered;
  for (const PausedReplica& replica : decision.input.paused) {
    Append(&answered,
           RunOf(decision.roster, replica.id) + "=" + TextOf(replica.received));
  }
  std::string missing;
  for (const MemberId& member : decision.input.missing) {
    Append(&missing, RunOf(decision.roster, member));
  }
  const auto required = RequiredOf(decision.input);
  return Event{EventCode::kSuccessorWeighed,
               EventLevel::kInfo,
               {{"database", decision.entry.database.Value()},
                {"term", std::to_string(decision.entry.term)},
                {"former", FormerText(decision)},
                {"answered", answered},
                {"missing", missing},
                {"acknowledged", TextOf(decision.input.acknowledged)},
                {"reports", std::to_string(decision.reports)},
                {"required", required ? TextOf(required->position) : "unknown"},
                {"required_from", required ? required->source : ""},
                {"known_for_ms", std::to_string(decision.known_for.count())},
                {"outcome", Outcome(decision)}}};
}

}  // namespace lacewingferry
