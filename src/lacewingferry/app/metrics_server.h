#ifndef LACEWINGFERRY_APP_METRICS_SERVER_H_
#define LACEWINGFERRY_APP_METRICS_SERVER_H_

// Defines MakeMetricsServer, which serves a process's metrics.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/core/fleet_settings.h"

namespace lacewingferry {

/** Answers GET /metrics at the settings' address, in the Prometheus text
 * format. Throws UserError if the address can't be used. */
std::shared_ptr<HttpServer> MakeMetricsServer(
    boost::asio::io_context& control, const FleetNodeSettings& settings,
    std::function<std::string()> text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_METRICS_SERVER_H_
