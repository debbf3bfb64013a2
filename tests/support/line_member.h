#ifndef LACEWINGFERRY_TESTS_SUPPORT_LINE_MEMBER_H_
#define LACEWINGFERRY_TESTS_SUPPORT_LINE_MEMBER_H_

// Defines LineMember, a member's end of a connection that reads lines as the
// platform's page has them, independent of the code that writes them.

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingferry::testing {

/** Takes a field that isn't the last one off the front of a line: all up to the
 * next blank. */
std::string TakeField(std::string* rest);

/** A read or write that a member ran, as the member read it. */
struct LineRun {
  std::string id;
  /** LOOKUP or STORE. */
  std::string verb;
  /** Whether it was prepared, and then its shape. */
  bool prepared = false;
  std::string shape;
  /** All after the verb, or after the name of a prepared statement. */
  std::string arguments;
  /** The connection's values. */
  std::map<std::string, std::string> values;
  bool in_transaction = false;
};

/** Gives the answer to a statement's text in place of the member's; empty where
 * the member answers itself. READONLY fails a transaction. */
using LineRefusal = std::function<std::string(const std::string& text)>;

/** One connection at a member. */
class LineMember {
 public:
  /** A reset rolls an open transaction back. */
  void EndTransactionsOnReset() { this->reset_ends_transaction = true; }
  void SetRefusal(LineRefusal hook) { this->refusal = std::move(hook); }

  /** Takes bytes; returns the lines of the answers to all that is whole. */
  std::vector<std::string> Take(std::string_view bytes);

  const std::vector<LineRun>& Runs() const { return this->runs; }

 private:
  struct Prepared {
    std::string verb;
    std::string shape;
  };

  std::string Answer(const std::string& id, std::string text);
  std::string Execute(const std::string& id, std::string text);
  std::string Run(LineRun run);

  LineRefusal refusal = [](const std::string&) { return std::string(); };
  std::string input;
  std::map<std::string, std::string> values;
  std::map<std::string, Prepared> prepared;
  bool in_transaction = false;
  /** The transaction failed: only its end is taken. */
  bool failed = false;
  bool reset_ends_transaction = false;
  std::vector<LineRun> runs;
};

}  // namespace lacewingferry::testing

#endif  // LACEWINGFERRY_TESTS_SUPPORT_LINE_MEMBER_H_
