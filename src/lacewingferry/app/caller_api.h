#ifndef LACEWINGFERRY_APP_CALLER_API_H_
#define LACEWINGFERRY_APP_CALLER_API_H_

// Defines CallerApi, the HTTP interface of a proxy.

#include <functional>
#include <string>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/adapters/json/statement_json.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/outcome.h"

namespace lacewingferry {

/** What the interface acts through. Each is called, and calls back, on the
 * thread that serves the HTTP connection. */
struct CallerApiHooks {
  std::function<void(StatementRequest, std::function<void(const Outcome&)>)>
      submit;
  /** Takes an announcement. The problem is empty if it was accepted. */
  std::function<void(MemberAnnouncement,
                     std::function<void(const std::string& problem)>)>
      announce;
  /** Whether the balancer may send new work. */
  std::function<bool()> accepting;
  /** The metrics in the Prometheus text format. */
  std::function<std::string()> metrics;
};

/**
 * Answers the requests that docs/API.md describes:
 *
 *   POST /v1/statements      a statement or the end of a transaction
 *   POST /v1/announcements   a backend server announces itself
 *   GET  /v1/health          for the balancer
 *   GET  /metrics            for the operators' monitoring
 */
class CallerApi {
 public:
  CallerApi(CallerApiHooks hooks, CallerLimits limits, std::string secret);

  /** Answers one request. */
  void Handle(const HttpRequest& request, const HttpRespond& respond) const;

 private:
  void HandleStatement(const HttpRequest& request,
                       const HttpRespond& respond) const;
  void HandleAnnouncement(const HttpRequest& request,
                          const HttpRespond& respond) const;

  CallerApiHooks hooks;
  CallerLimits limits;
  std::string secret;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_CALLER_API_H_
