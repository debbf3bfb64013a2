#ifndef LACEWINGFERRY_APP_FIRST_RESULT_H_
#define LACEWINGFERRY_APP_FIRST_RESULT_H_

// Defines FirstResultWithin, the answer to an order that may take too long.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "lacewingferry/ports/fleet_api_port.h"

namespace lacewingferry {

/** A hook that passes on the first result that it gets, and no other. When none
 * came within the limit, that first one is FleetApiResult::kUnknown. All
 * happens on the context's thread. */
std::function<void(FleetApiResult)> FirstResultWithin(
    boost::asio::io_context& context, std::chrono::milliseconds limit,
    std::function<void(FleetApiResult)> done);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_FIRST_RESULT_H_
