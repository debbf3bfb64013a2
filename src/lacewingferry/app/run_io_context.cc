#include "lacewingferry/app/run_io_context.h"

#include <exception>

namespace lacewingferry {

void RunIoContext(boost::asio::io_context& context, const EventPort& events) {
  try {
    context.run();
  } catch (const std::exception& error) {
    events.record(Event{EventCode::kInternalError,
                        EventLevel::kError,
                        {{"reason", error.what()}}});
    throw;
  }
}

}  // namespace lacewingferry
