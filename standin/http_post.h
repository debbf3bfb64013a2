#ifndef STANDIN_HTTP_POST_H_
#define STANDIN_HTTP_POST_H_

// Defines PostJson, one HTTP/1.1 request that carries a JSON body.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** Posts a body to a path and tells whether the answer's status was from 200
 * to 299 before the time-out. The connection is used once. */
void PostJson(boost::asio::io_context& io, const Endpoint& endpoint,
              const std::string& path, const std::string& body,
              std::chrono::milliseconds timeout,
              std::function<void(bool accepted)> done);

}  // namespace lacewingferry::standin

#endif  // STANDIN_HTTP_POST_H_
