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

/** What a member does with a request in place of its usual work. */
struct LineTrouble {
  /** Whether it runs it all the same. */
  bool runs = true;
  /** What it answers in place of the truth; empty for the truth. */
  std::string answer;
  /** Whether the connection ends in place of an answer. */
  bool lost = false;
};

/** Draws what happens to a request with this text. */
using LineTroubles = std::function<LineTrouble(const std::string& text)>;

/** One connection at a member. */
class LineMember {
 public:
  /** A reset rolls an open transaction back. */
  void EndTransactionsOnReset() { this->reset_ends_transaction = true; }
  void SetRefusal(LineRefusal hook) { this->refusal = std::move(hook); }
  void SetTroubles(LineTroubles hook) { this->troubles = std::move(hook); }

  /** Takes bytes; returns the lines of the answers to all that is whole. */
  std::vector<std::string> Take(std::string_view bytes);

  const std::vector<LineRun>& Runs() const { return this->runs; }
  /** The identifiers of the writes that took effect. */
  const std::vector<std::string>& Kept() const { return this->kept; }
  /** Whether the member ended the connection; it answers nothing then. */
  bool Lost() const { return this->lost; }

 private:
  struct Prepared {
    std::string verb;
    std::string shape;
  };

  std::string AnswerTroubled(const std::string& id, const std::string& text);
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
  LineTroubles troubles;
  bool lost = false;
  std::vector<LineRun> runs;
  /** The writes of the open transaction. */
  std::vector<std::string> pending;
  std::vector<std::string> kept;
};

}  // namespace lacewingferry::testing

#endif  // LACEWINGFERRY_TESTS_SUPPORT_LINE_MEMBER_H_
