#include "lacewingferry/decisions/switchover/successor_record.h"

#include <string>
#include <vector>

#include "lacewingferry/decisions/roster/member_run_text.h"

namespace lacewingferry {
namespace {

std::string TextOf(const LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.offset);
}

void Append(std::string* list, const std::string& item) {
  if (!list->empty()) *list += " ";
  *list += item;
}

/** id@run=position, then its role and what proves the run. */
std::string TextOf(const SuccessorAnswer& answer) {
  std::string text = FormatRun(answer.run) + "=" + TextOf(answer.received);
  if (answer.primary) text += ":primary." + std::to_string(answer.term);
  if (answer.led) text += ":led";
  return text + ":" + (answer.proof ? answer.proof->source : "unproved");
}

std::string AnsweredText(const SuccessorChoiceInput& input) {
  std::string text;
  for (const SuccessorAnswer& answer : input.answers) {
    Append(&text, TextOf(answer));
  }
  return text;
}

std::string MissingText(const SuccessorChoiceInput& input) {
  std::string text;
  for (const MemberId& member : input.missing) Append(&text, member.Value());
  return text;
}

std::string ProofsText(const SuccessorChoiceInput& input) {
  std::string text;
  for (const CommitProof& proof : ProofsOf(input)) {
    Append(&text, std::string(proof.source) + "=" + TextOf(proof.position));
  }
  return text;
}

std::string OutcomeText(const SuccessorChoiceInput& input,
                        const std::optional<SuccessorAnswer>& chosen) {
  if (chosen) return "chosen: " + chosen->run.member.Value();
  std::string reason;
  if (input.only_candidate) {
    Append(&reason, "a call for " + input.only_candidate->Value() +
                        " may still take effect");
  }
  if (!ProofsOf(input).empty()) {
    Append(&reason, "no member that may lead has the position");
    return "waits: " + reason;
  }
  if (!input.missing.empty()) Append(&reason, "replicas are missing");
  if (!input.ended.empty()) Append(&reason, "ended runs aren't covered");
  if (reason.empty()) reason = "runs aren't proved";
  return "waits: " + reason;
}

}  // namespace

std::string DescribeDecision(const SuccessorChoiceInput& input,
                             const std::optional<SuccessorAnswer>& chosen) {
  return OutcomeText(input, chosen) + "|" + AnsweredText(input) + "|" +
         MissingText(input) + "|" + FormatRuns(input.ended);
}

Event MakeSuccessorRecord(const SuccessorDecision& decision) {
  const SuccessorChoiceInput& input = decision.input;
  return Event{EventCode::kSuccessorWeighed,
               EventLevel::kInfo,
               {{"database", decision.entry.database.Value()},
                {"term", std::to_string(decision.entry.term)},
                {"leader", input.leader.Value()},
                {"leading_term", std::to_string(input.leading_term)},
                {"answered", AnsweredText(input)},
                {"missing", MissingText(input)},
                {"ended", FormatRuns(input.ended)},
                {"floor", TextOf(input.floor)},
                {"acknowledged", TextOf(input.acknowledged)},
                {"reports", std::to_string(decision.reports)},
                {"all_reported", input.reported ? "yes" : "no"},
                {"proofs", ProofsText(input)},
                {"known_for_ms", std::to_string(decision.known_for.count())},
                {"outcome", OutcomeText(input, decision.chosen)}}};
}

Event MakeCoverRecord(const CoverEndedRuns& cover) {
  return Event{EventCode::kEndedRunsCovered,
               EventLevel::kInfo,
               {{"database", cover.database.Value()},
                {"term", std::to_string(cover.term)},
                {"ended", FormatRuns(cover.runs)},
                {"floor", TextOf(cover.position)}}};
}

}  // namespace lacewingferry
