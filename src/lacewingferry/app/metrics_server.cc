#include "lacewingferry/app/metrics_server.h"

#include <utility>

namespace lacewingferry {
namespace {

constexpr std::size_t kMostBody = 4096;
constexpr std::size_t kMostConnections = 16;
constexpr int kNotFound = 404;

}  // namespace

std::shared_ptr<HttpServer> MakeMetricsServer(
    boost::asio::io_context& control, const FleetNodeSettings& settings,
    std::function<std::string()> text) {
  const auto handler = [text = std::move(text)](const HttpRequest& request,
                                                HttpRespond respond) {
    HttpResponse response;
    if (request.method == "GET" && request.path == "/metrics") {
      response.content_type = "text/plain; version=0.0.4";
      response.body = text();
    } else {
      response.status = kNotFound;
    }
    respond(std::move(response));
  };
  return std::make_shared<HttpServer>(
      std::vector<HttpServer::Thread>{{&control, handler}},
      Endpoint{settings.address.Value(), settings.metrics_port},
      HttpLimits{kMostBody, kMostConnections});
}

}  // namespace lacewingferry
