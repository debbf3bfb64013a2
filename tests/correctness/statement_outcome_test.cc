#include "lacewingferry/decisions/gateway/statement_outcome.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/support/line_gateway.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kSessions = 3;
constexpr int kAttemptsOfADay = 30;

/** By the platform's page: codes of requests that weren't run, and of those
 * that were. */
const std::vector<std::string> kNotRun = {"BUSY", "NOSTMT", "LAGGING",
                                          "READONLY"};
const std::vector<std::string> kRan = {"FAILED", "TIMEOUT"};

/** The page's promises that nothing of an attempt is kept. */
bool Promises(StatementError error) {
  static const std::set<StatementError> kPromises = {
      StatementError::kBusy,      StatementError::kAborted,
      StatementError::kLagging,   StatementError::kReadOnly,
      StatementError::kMisrouted, StatementError::kTooManyConnections};
  return kPromises.count(error) > 0;
}

/** A member that runs what it likes and says what it likes within the page: of
 * a share of its requests, in percent. */
LineTroubles AnyTroubles(std::mt19937* random, unsigned share) {
  return [random, share](const std::string&) {
    auto& draw = *random;
    LineTrouble trouble;
    if (draw() % 100 >= share) return trouble;
    switch (draw() % 4) {
      case 0:
        trouble.runs = false;
        trouble.answer = "ERROR " + kNotRun[draw() % kNotRun.size()] + " i-0";
        break;
      case 1:
        // What ran and failed may have taken effect or not.
        trouble.runs = draw() % 2 == 0;
        trouble.answer = "ERROR " + kRan[draw() % kRan.size()] + " i-0";
        break;
      case 2:
        trouble.answer = "ERROR " + kRan[draw() % kRan.size()] + " i-0";
        break;
      default:
        trouble.runs = draw() % 2 == 0;
        trouble.lost = true;
        break;
    }
    return trouble;
  };
}

/** A client's attempt: one write, or a transaction of some. */
class Attempt {
 public:
  Attempt(LineGateway& line_gateway, ClientId session)
      : gateway(line_gateway), client(session) {}

  /** Sends a statement; returns whether it succeeded. */
  bool Send(const std::string& text) {
    this->last = this->gateway.Ask(this->client, text);
    const bool is_write =
        text.rfind("STORE", 0) == 0 || text.rfind("EXECUTE w", 0) == 0;
    if (is_write) this->writes.push_back(this->gateway.LastId());
    return !this->last.error;
  }

  /** What is wrong with what was kept of it; empty if nothing is. */
  std::string Fault() const {
    const auto kept = this->gateway.Kept();
    for (const std::string& write : this->writes) {
      const auto times = std::count(kept.begin(), kept.end(), write);
      if (times > 1) return write + " took effect twice";
      if (times > 0 && this->last.error && Promises(*this->last.error)) {
        return write + " took effect, its client was told " +
               this->last.error_text;
      }
      if (times == 0 && !this->last.error) return write + " is missing";
    }
    return "";
  }

 private:
  LineGateway& gateway;
  ClientId client;
  ClientReply last;
  std::vector<std::string> writes;
};

/** Runs one attempt of a kind that is drawn, and ends its transaction. */
std::string PlayAttempt(LineGateway& gateway, ClientId client,
                        std::mt19937& random) {
  Attempt attempt(gateway, client);
  const std::string shape = "q" + std::to_string(random() % 6);
  gateway.Ask(client, "PREPARE w STORE " + shape);
  gateway.Ask(client, "SET language " + std::to_string(random() % 3));
  const char* const write = random() % 3 == 0 ? "STORE a x" : "EXECUTE w a x";
  if (random() % 2 == 0) {
    attempt.Send(write);
    return attempt.Fault();
  }
  const bool open = attempt.Send("BEGIN") && attempt.Send(write) &&
                    attempt.Send("EXECUTE w b y");
  if (open) attempt.Send("COMMIT");
  std::string fault = attempt.Fault();
  gateway.Ask(client, "ROLLBACK");
  return fault;
}

// Guards against a write that is sent again, or told as not kept, although it
// ran: what was said of its preparation was taken for what became of it
// (review/8).
class StatementOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementOutcomeTest);
  CPPUNIT_TEST(WriteThatFailsAfterItsPreparationIsNotRepeated);
  CPPUNIT_TEST(WriteThatTimesOutAfterItsPreparationIsNotRepeated);
  CPPUNIT_TEST(WriteThatWasNotRunIsRepeated);
  CPPUNIT_TEST(MemberDoesWhatItLikes);
  CPPUNIT_TEST(CodesThatNoPageGivesToMembersPromiseNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WriteThatFailsAfterItsPreparationIsNotRepeated() {
    AssertRunOnce("FAILED", StatementError::kFailed);
  }

  void WriteThatTimesOutAfterItsPreparationIsNotRepeated() {
    AssertRunOnce("TIMEOUT", StatementError::kTimeout);
  }

  // The member failed to prepare it, so it has no such name.
  void WriteThatWasNotRunIsRepeated() {
    LineGateway gateway;
    const ClientId client = gateway.Open("primary");
    gateway.Ask(client, "PREPARE w STORE qa");
    const auto left = std::make_shared<int>(1);
    gateway.SetTroubles([left](const std::string& text) {
      LineTrouble trouble;
      if (text.rfind("PREPARE", 0) != 0 || (*left)-- <= 0) return trouble;
      trouble.runs = false;
      trouble.answer = "ERROR FAILED i-0";
      return trouble;
    });
    CPPUNIT_ASSERT(!gateway.Ask(client, "EXECUTE w a x").error);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), gateway.Kept().size());
  }

  void MemberDoesWhatItLikes() {
    CPPUNIT_ASSERT(
        rc::check("no write twice, no false promise", [](unsigned seed) {
          std::mt19937 random(seed);
          LineGateway gateway;
          std::vector<ClientId> clients;
          for (std::size_t i = 0; i < kSessions; ++i) {
            clients.push_back(gateway.Open("primary"));
          }
          gateway.SetTroubles(AnyTroubles(&random, 10 + random() % 50));
          for (int i = 0; i < kAttemptsOfADay; ++i) {
            const std::string fault =
                PlayAttempt(gateway, clients[random() % kSessions], random);
            if (!fault.empty()) RC_FAIL(fault);
          }
          RC_ASSERT(gateway.Faults().empty());
        }));
  }

  // No page says that a member answers a statement with them; whether it ran is
  // open.
  void CodesThatNoPageGivesToMembersPromiseNothing() {
    for (const char* code : {"ABORTED", "MISROUTED", "TOOMANY"}) {
      LineGateway gateway;
      const ClientId client = gateway.Open("primary");
      gateway.SetTroubles([code](const std::string&) {
        LineTrouble trouble;
        trouble.answer = std::string("ERROR ") + code + " i-0";
        return trouble;
      });
      const ClientReply reply = gateway.Ask(client, "STORE a x");
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), gateway.Kept().size());
      CPPUNIT_ASSERT(reply.error == StatementError::kUnknown);
    }
  }

 private:
  /** The member runs everything and says of all that it failed so. */
  static void AssertRunOnce(const std::string& code, StatementError told) {
    LineGateway gateway;
    const ClientId client = gateway.Open("primary");
    gateway.Ask(client, "PREPARE w STORE qa");
    gateway.SetTroubles([code](const std::string&) {
      LineTrouble trouble;
      trouble.answer = "ERROR " + code + " i-0";
      return trouble;
    });
    const ClientReply reply = gateway.Ask(client, "EXECUTE w a x");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), gateway.Kept().size());
    CPPUNIT_ASSERT(reply.error == told);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementOutcomeTest);

}  // namespace
}  // namespace lacewingferry::testing
