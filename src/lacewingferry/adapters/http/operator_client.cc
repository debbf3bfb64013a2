#include "lacewingferry/adapters/http/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "lacewingferry/adapters/http/operator_signature.h"
#include "lacewingferry/core/endpoint_text.h"

namespace lacewingferry {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr int kHttpVersion = 11;
constexpr int kStatusNotLeader = 421;
constexpr int kMostRedirects = 3;
constexpr std::size_t kMostBodyBytes = 64U << 20U;

/** One connection for one request. */
class HttpExchange {
 public:
  HttpExchange(const Endpoint& target, std::chrono::milliseconds limit)
      : server(target), timeout(limit), stream(this->io) {}

  /** Throws UnreachableError for any failure. */
  HttpResponse Run(const HttpRequest& request) {
    this->FillMessage(request);
    this->parser.body_limit(kMostBodyBytes);
    this->stream.expires_after(this->timeout);
    this->Connect();
    this->io.run();
    if (this->failure) {
      throw UnreachableError(FormatEndpoint(this->server) + ": " +
                             this->failure.message());
    }
    const auto& response = this->parser.get();
    return HttpResponse{static_cast<int>(response.result_int()),
                        std::string(response[http::field::content_type]),
                        response.body()};
  }

 private:
  void FillMessage(const HttpRequest& request) {
    const std::string target = request.query.empty()
                                   ? request.path
                                   : request.path + "?" + request.query;
    this->message.version(kHttpVersion);
    this->message.method_string(request.method);
    this->message.target(target);
    this->message.set(http::field::host, FormatEndpoint(this->server));
    for (const auto& [name, value] : request.headers) {
      this->message.set(name, value);
    }
    this->message.body() = request.body;
    this->message.prepare_payload();
  }

  void Connect() {
    boost::system::error_code error;
    const auto address =
        boost::asio::ip::make_address(this->server.host, error);
    if (error) {
      this->failure = error;
      return;
    }
    this->stream.async_connect(tcp::endpoint(address, this->server.port),
                               [this](const boost::system::error_code& failed) {
                                 this->Continue(failed, &HttpExchange::Write);
                               });
  }

  void Write() {
    http::async_write(
        this->stream, this->message,
        [this](const boost::system::error_code& failed, std::size_t) {
          this->Continue(failed, &HttpExchange::Read);
        });
  }

  void Read() {
    http::async_read(this->stream, this->buffer, this->parser,
                     [this](const boost::system::error_code& failed,
                            std::size_t) { this->failure = failed; });
  }

  void Continue(const boost::system::error_code& failed,
                void (HttpExchange::*next)()) {
    if (failed) {
      this->failure = failed;
    } else {
      (this->*next)();
    }
  }

  Endpoint server;
  std::chrono::milliseconds timeout;
  boost::asio::io_context io;
  beast::tcp_stream stream;
  http::request<http::string_body> message;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  boost::system::error_code failure;
};

/** The leader's address in an answer that refers to it, if it does. */
std::optional<Endpoint> FindLeader(const HttpResponse& response) {
  if (response.status != kStatusNotLeader) {
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("leader") ||
      !body["leader"].is_string()) {
    return std::nullopt;
  }
  return ParseEndpoint(body["leader"].get<std::string>());
}

}  // namespace

OperatorClient::OperatorClient(OperatorClientSettings client_settings,
                               ClockPort clock_port)
    : settings(std::move(client_settings)), clock(std::move(clock_port)) {}

HttpResponse OperatorClient::Call(const HttpRequest& request) {
  std::string problems;
  for (const Endpoint& control : this->settings.controls) {
    try {
      return this->FollowLeader(control, request);
    } catch (const UnreachableError& error) {
      problems += std::string("\n  ") + error.what();
    }
  }
  throw UnreachableError("no control process answers:" + problems);
}

std::vector<HttpResponse> OperatorClient::CallEach(const HttpRequest& request) {
  std::vector<HttpResponse> answers;
  std::string problems;
  for (const Endpoint& control : this->settings.controls) {
    try {
      answers.push_back(this->Exchange(control, request));
    } catch (const UnreachableError& error) {
      problems += std::string("\n  ") + error.what();
    }
  }
  if (answers.empty()) {
    throw UnreachableError("no control process answers:" + problems);
  }
  return answers;
}

HttpResponse OperatorClient::FollowLeader(const Endpoint& first,
                                          const HttpRequest& request) {
  Endpoint control = first;
  for (int redirects = 0; redirects <= kMostRedirects; ++redirects) {
    HttpResponse response = this->Exchange(control, request);
    const std::optional<Endpoint> leader = FindLeader(response);
    if (response.status != kStatusNotLeader) {
      return response;
    }
    if (!leader) {
      throw UnreachableError(FormatEndpoint(control) + ": knows no leader");
    }
    control = *leader;
  }
  throw UnreachableError(FormatEndpoint(first) + ": the leader keeps changing");
}

HttpResponse OperatorClient::Exchange(const Endpoint& control,
                                      HttpRequest request) const {
  SignHttpRequest(this->settings.operator_name, FormatEndpoint(control),
                  this->clock.wall_now(), this->settings.secret, &request);
  return HttpExchange(control, this->settings.timeout).Run(request);
}

}  // namespace lacewingferry
