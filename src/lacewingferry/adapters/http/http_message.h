#ifndef LACEWINGFERRY_ADAPTERS_HTTP_HTTP_MESSAGE_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_HTTP_MESSAGE_H_

// Defines the requests and responses that HTTP handlers see.

#include <functional>
#include <map>
#include <string>

namespace lacewingferry {

/** A whole request. Header names are in lower case. */
struct HttpRequest {
  std::string method;
  /** The path without the query. */
  std::string path;
  std::string query;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** A whole response. */
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  /** Where a caller should go instead; empty for most responses. */
  std::string location{};
};

/** Answers a request, now or later, exactly once, on the thread that the
 * request came on. */
using HttpRespond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpRespond)>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_HTTP_MESSAGE_H_
