#ifndef STANDIN_PLATFORM_LINE_CLIENT_H_
#define STANDIN_PLATFORM_LINE_CLIENT_H_

// Defines LineClient, a blocking client of the platform's sessions.

#include <memory>
#include <string>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** A client that speaks the lines, and waits for each answer. */
class LineClient {
 public:
  /** Opens a session, with a customer's key. Throws std::runtime_error if it is
   * refused. */
  LineClient(const Endpoint& proxy, const std::string& database,
             const std::string& key = "tester");
  ~LineClient();
  LineClient(const LineClient&) = delete;
  LineClient& operator=(const LineClient&) = delete;

  /** Sends a statement; returns the lines of its answer up to READY, joined by
   * "|", or an empty text when the connection ended. */
  std::string Ask(const std::string& text);
  /** The same under an identifier of the caller's choice. */
  std::string AskAs(const std::string& id, const std::string& text);
  /** Sends bytes as they are, and reads a line; empty at the end. */
  std::string SendRaw(const std::string& bytes);
  /** The next line; empty when the connection ended. */
  std::string ReadLine();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_LINE_CLIENT_H_
