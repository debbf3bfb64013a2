#include "lacewingferry/decisions/switchover/promotion_record.h"

#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

const char* NameOf(CallConnection connection) {
  switch (connection) {
    case CallConnection::kNone:
      return "none";
    case CallConnection::kAnswered:
      return "answered";
    case CallConnection::kReset:
      return "reset";
  }
  throw InternalError("connection of a call without a name");
}

/** The fields that all records of a call have. */
Fields FieldsOf(const MadeCall& made, const char* step) {
  return {{"database", made.call.database.Value()},
          {"term", std::to_string(made.term)},
          {"member", made.call.member.Value()},
          {"step", step},
          {"holder", made.call.holder.Value()},
          {"fence", std::to_string(made.call.fence)},
          {"call", std::to_string(made.number)}};
}

}  // namespace

const char* NameOf(PromotionResult result) {
  switch (result) {
    case PromotionResult::kAccepted:
      return "accepted";
    case PromotionResult::kMemberDown:
      return "member_down";
    case PromotionResult::kRefused:
      return "refused";
    case PromotionResult::kNotSent:
      return "not_sent";
    case PromotionResult::kUnknown:
      return "unknown";
  }
  throw InternalError("result of a promotion without a name");
}

Event MakeCalledRecord(const MadeCall& made) {
  return Event{EventCode::kPromotionCalled, EventLevel::kInfo,
               FieldsOf(made, "call")};
}

Event MakeWrittenRecord(const MadeCall& made) {
  return Event{EventCode::kPromotionWritten, EventLevel::kInfo,
               FieldsOf(made, "written")};
}

Event MakeEndedRecord(const MadeCall& made, const PromotionOutcome& outcome,
                      std::chrono::milliseconds took) {
  Fields fields = FieldsOf(made, "end");
  fields.emplace_back("outcome", NameOf(outcome.result));
  fields.emplace_back("connection", NameOf(outcome.connection));
  fields.emplace_back("took_ms", std::to_string(took.count()));
  return Event{EventCode::kPromotionEnded, EventLevel::kInfo,
               std::move(fields)};
}

Event MakeUnchosenRecord(const DatabaseTerm& entry, const MemberId& member,
                         std::uint64_t member_term) {
  return Event{EventCode::kUnchosenPrimary,
               EventLevel::kWarning,
               {{"database", entry.database.Value()},
                {"term", std::to_string(entry.term)},
                {"primary", entry.primary.Value()},
                {"confirmed_term", std::to_string(entry.leading_term)},
                {"member", member.Value()},
                {"member_term", std::to_string(member_term)}}};
}

}  // namespace lacewingferry
