#include "lacewingferry/adapters/http/http_connection.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

namespace lacewingferry {
namespace {

namespace http = boost::beast::http;

/** The time for a request to arrive once its first byte is there. */
constexpr std::chrono::seconds kRequestTimeout{10};
constexpr std::chrono::seconds kWriteTimeout{10};
/** The time for a caller to read the last answer and close. */
constexpr std::chrono::seconds kLingerTimeout{2};
constexpr std::size_t kDiscardedBytes = 16384;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

HttpRequest ToRequest(const http::request<http::string_body>& in) {
  HttpRequest request;
  request.method = std::string(in.method_string());
  const std::string target(in.target());
  const std::size_t query = target.find('?');
  request.path = target.substr(0, query);
  if (query != std::string::npos) request.query = target.substr(query + 1);
  for (const auto& field : in) {
    request.headers[LowerCase(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = in.body();
  return request;
}

}  // namespace

HttpConnection::HttpConnection(boost::asio::ip::tcp::socket socket,
                               HttpHandler request_handler,
                               const HttpLimits& http_limits,
                               std::shared_ptr<HttpServerState> server_state)
    : stream(std::move(socket)),
      idle_timer(this->stream.get_executor()),
      handler(std::move(request_handler)),
      limits(http_limits),
      state(std::move(server_state)) {
  ++this->state->connections;
}

HttpConnection::~HttpConnection() { --this->state->connections; }

void HttpConnection::Start() { this->WaitForRequest(); }

void HttpConnection::WaitForRequest() {
  this->exchange.reset();
  if (this->buffer.size() > 0) {
    this->ReadRequest();
    return;
  }
  // An idle connection keeps no buffer.
  this->buffer = boost::beast::flat_buffer();
  this->parser.reset();
  this->response = Response();
  auto self = this->shared_from_this();
  this->idle_timer.expires_after(this->limits.idle_timeout);
  this->idle_timer.async_wait([self](boost::system::error_code error) {
    if (!error) self->stream.close();
  });
  this->stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                   [self](boost::system::error_code error) {
                                     self->idle_timer.cancel();
                                     if (!error) self->ReadRequest();
                                   });
}

void HttpConnection::ReadRequest() {
  this->exchange.emplace(*this->state);
  this->parser.emplace();
  this->parser->body_limit(this->limits.max_body_bytes);
  this->stream.expires_after(kRequestTimeout);
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](
                       boost::system::error_code error, std::size_t) {
                     self->OnRequest(error);
                   });
}

void HttpConnection::OnRequest(boost::system::error_code error) {
  if (error) {
    this->Reject(error);
    return;
  }
  this->stream.expires_never();
  const bool keep_alive = this->parser->get().keep_alive();
  this->handler(
      ToRequest(this->parser->get()),
      [self = this->shared_from_this(), keep_alive](HttpResponse answer) {
        self->Respond(std::move(answer), keep_alive);
      });
}

void HttpConnection::Reject(boost::system::error_code error) {
  HttpResponse answer;
  if (error == http::error::body_limit) {
    answer.status = 413;
    answer.body =
        "{\"outcome\":\"not_run\",\"reason\":\"invalid_request\","
        "\"detail\":\"the body is larger than " +
        std::to_string(this->limits.max_body_bytes) + " bytes\"}";
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    answer.status = 400;
    answer.body =
        "{\"outcome\":\"not_run\",\"reason\":\"invalid_request\","
        "\"detail\":\"not an HTTP request: " +
        error.message() + "\"}";
  } else {
    return;
  }
  this->Respond(std::move(answer), false);
}

void HttpConnection::Respond(HttpResponse answer, bool keep_alive) {
  const bool stay = keep_alive && !this->state->stopping;
  this->response = Response(static_cast<http::status>(answer.status), 11);
  this->response.set(http::field::content_type, answer.content_type);
  if (!answer.location.empty()) {
    this->response.set(http::field::location, answer.location);
  }
  this->response.body() = std::move(answer.body);
  this->response.keep_alive(stay);
  this->response.prepare_payload();
  this->Write(stay);
}

void HttpConnection::Write(bool keep_alive) {
  this->stream.expires_after(kWriteTimeout);
  http::async_write(this->stream, this->response,
                    [self = this->shared_from_this(), keep_alive](
                        boost::system::error_code error, std::size_t) {
                      self->exchange.reset();
                      if (error) return;
                      if (keep_alive) {
                        self->WaitForRequest();
                        return;
                      }
                      boost::system::error_code ignored;
                      self->stream.socket().shutdown(
                          boost::asio::ip::tcp::socket::shutdown_send, ignored);
                      self->buffer = boost::beast::flat_buffer();
                      self->stream.expires_after(kLingerTimeout);
                      self->DiscardInput();
                    });
}

void HttpConnection::DiscardInput() {
  // Closing with input unread would reset the connection, and a caller that
  // still sends an oversized request might lose the answer to it.
  this->stream.async_read_some(
      this->buffer.prepare(kDiscardedBytes),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t) {
        if (!error) self->DiscardInput();
      });
}

}  // namespace lacewingferry
