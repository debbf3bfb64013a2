#ifndef BENCH_PROCESSES_STATEMENT_CLIENT_H_
#define BENCH_PROCESSES_STATEMENT_CLIENT_H_

// Defines StatementClient, which sends statements to a proxy as an
// application does.

#include <string>

#include "bench/processes/http_client.h"
#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry::processes {

/** What became of a request on its way. */
enum class Delivery {
  kAnswered,
  /** The proxy can't have received it. */
  kNotSent,
  /** The proxy may have received it; no answer came. */
  kLost,
};

/** A request's fate as the caller sees it. */
struct StatementReply {
  Delivery delivery = Delivery::kNotSent;
  /** UnknownOutcome without an answer. */
  Outcome outcome;
  /** The session's new token; empty if none came. */
  std::string token;
  int http_status = 0;
};

/** Sends statements to one proxy, one at a time. */
class StatementClient {
 public:
  explicit StatementClient(const Endpoint& proxy);

  /** Sends a request with the session's token, which may be empty. */
  StatementReply Send(const StatementRequest& request,
                      const std::string& token);

 private:
  HttpClient http;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_STATEMENT_CLIENT_H_
