#ifndef LACEWINGFERRY_ADAPTERS_HTTP_OPERATOR_CLIENT_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_OPERATOR_CLIENT_H_

// Defines OperatorClient, which sends an operator's requests to the control
// processes.

#include <chrono>
#include <string>
#include <vector>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/ports/clock.h"

namespace lacewingferry {

/** No control process gave an answer. */
class UnreachableError : public UserError {
 public:
  using UserError::UserError;
};

/** Who asks, and whom. */
struct OperatorClientSettings {
  std::vector<Endpoint> controls;
  std::string operator_name;
  std::string secret;
  /** For each attempt at one control process. */
  std::chrono::milliseconds timeout{3000};
};

/** Signs and sends requests, one at a time, on the calling thread. */
class OperatorClient {
 public:
  OperatorClient(OperatorClientSettings settings, ClockPort clock);

  /** Sends a request to the first control process that answers and follows
   * it to the leader. Throws UnreachableError if none answers. A request
   * whose answer is lost may have taken effect; each attempt has a signature
   * of its own. */
  HttpResponse Call(const HttpRequest& request);

  /** Sends a request to each control process and returns the answers of those
   * that gave one. Throws UnreachableError if none did. */
  std::vector<HttpResponse> CallEach(const HttpRequest& request);

 private:
  HttpResponse Exchange(const Endpoint& control, HttpRequest request) const;
  HttpResponse FollowLeader(const Endpoint& first, const HttpRequest& request);

  OperatorClientSettings settings;
  ClockPort clock;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_OPERATOR_CLIENT_H_
