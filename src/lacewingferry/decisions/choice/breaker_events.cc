#include "lacewingferry/decisions/choice/breaker_events.h"

#include <utility>

namespace lacewingferry {

BreakerHook MakeBreakerEventHook(EventPort events, const DatabaseId& database) {
  return [events = std::move(events), database](const MemberId& member,
                                                bool open) {
    events.record(Event{
        open ? EventCode::kReplicaPassedOver : EventCode::kReplicaTakenBack,
        open ? EventLevel::kWarning : EventLevel::kInfo,
        {{"database", database.Value()}, {"member", member.Value()}}});
  };
}

}  // namespace lacewingferry
