#include "lacewingferry/app/rejected_message.h"

namespace lacewingferry {

Event MakeRejectedMessage(const NodeId& from, const std::string& reason) {
  Event event{EventCode::kPeerMessageRejected, EventLevel::kWarning};
  if (!from.Empty()) event.fields.emplace_back("from", from.Value());
  event.fields.emplace_back("reason", reason);
  return event;
}

}  // namespace lacewingferry
