#ifndef LACEWINGFERRY_APP_RUN_IO_CONTEXT_H_
#define LACEWINGFERRY_APP_RUN_IO_CONTEXT_H_

// Defines RunIoContext, which runs a thread's io_context.

#include <boost/asio/io_context.hpp>

#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** Runs a context until it is stopped. Records an exception that ends it as an
 * internal error and throws it again. */
void RunIoContext(boost::asio::io_context& context, const EventPort& events);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_RUN_IO_CONTEXT_H_
