#ifndef LACEWINGFERRY_APP_REJECTED_MESSAGE_H_
#define LACEWINGFERRY_APP_REJECTED_MESSAGE_H_

// Defines MakeRejectedMessage, the event of a peer's message that was rejected.

#include <string>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** The sender is empty for a message that could not be decoded. */
Event MakeRejectedMessage(const NodeId& from, const std::string& reason);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_REJECTED_MESSAGE_H_
