#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>
#include <string>
#include <vector>

#include "tests/support/line_gateway.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kSessions = 8;
constexpr std::size_t kExecutions = 200;
constexpr int kStatementsOfADay = 60;

const std::vector<std::string> kShapes = {"qa",
                                          "fq",
                                          "q25",
                                          "qa LOOKUP fq",
                                          "fq LOOKUP qa",
                                          "qa fq ",
                                          " qa",
                                          "qa  fq",
                                          "LOOKUP",
                                          "STORE qa",
                                          "qa\tfq",
                                          "w_q25",
                                          "q25 STORE nick",
                                          "qa #c",
                                          "fq LOOKUP qa LOOKUP fq"};

/** What a client that means no good puts into its lines. */
const std::vector<std::string> kWords = {"qa",
                                         "fq",
                                         "LOOKUP",
                                         "STORE",
                                         "r_qa",
                                         "w_q25",
                                         " ",
                                         "  ",
                                         "\t",
                                         "\x80",
                                         "p1",
                                         "1",
                                         "-",
                                         "\xc2\xa0",
                                         "QUERY x LOOKUP y",
                                         "AFTER 9.9",
                                         "EXECUTE",
                                         "RESET",
                                         "\v",
                                         "\r",
                                         "\n",
                                         std::string(1, '\0'),
                                         "%20",
                                         "s1",
                                         "language"};

/** A few words one after the other, some with blanks between them. */
std::string AnyText(std::mt19937& random) {
  std::string text;
  const std::size_t words = 1 + random() % 4;
  for (std::size_t i = 0; i < words; ++i) {
    if (i > 0 && random() % 3 > 0) text += ' ';
    text += kWords[random() % kWords.size()];
  }
  return text;
}

/** A text that a line can carry. */
std::string AnyShape(std::mt19937& random) {
  std::string shape = AnyText(random);
  while (shape.find_first_of("\r\n") != std::string::npos) {
    shape = AnyText(random);
  }
  return shape;
}

std::string AnyName(std::mt19937& random) {
  static const std::vector<std::string> kNames = {"s1", "s2",   "r_qa", "p1",
                                                  "1",  "\x80", "-"};
  return kNames[random() % kNames.size()];
}

std::string AnyStatement(std::mt19937& random) {
  const char* const verb = random() % 2 == 0 ? " LOOKUP " : " STORE ";
  switch (random() % 8) {
    case 0:
    case 1:
      return "PREPARE " + AnyName(random) + verb + AnyText(random);
    case 2:
    case 3:
      return "EXECUTE " + AnyName(random) + " " + AnyText(random);
    case 4:
      return random() % 3 == 0 ? "BEGIN" : "BEGIN LOOKUP";
    case 5:
      return random() % 3 == 0 ? "ROLLBACK" : "COMMIT";
    case 6:
      return "SET " + AnyName(random) + " " + AnyText(random);
    default:
      return std::string(verb).substr(1) + AnyText(random);
  }
}

std::string AllOf(const std::vector<std::string>& faults) {
  std::string text = std::to_string(faults.size()) + " faults";
  for (const std::string& fault : faults) text += "\n  " + fault;
  return text;
}

// Guards against an execution that runs as another statement than its client
// prepared, because a part of the shape was read as another field of a line.
class PreparedShapesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PreparedShapesTest);
  CPPUNIT_TEST(ShapesOfSeveralWordsStayWhole);
  CPPUNIT_TEST(EachStatementRunsAsItsClientSaidIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShapesOfSeveralWordsStayWhole() {
    LineGateway gateway;
    std::vector<ClientId> clients;
    for (std::size_t i = 0; i < kSessions; ++i) {
      clients.push_back(gateway.Open("session"));
    }
    std::vector<std::string> refused;
    for (std::size_t i = 0; i < kExecutions; ++i) {
      const ClientId client = clients[i % kSessions];
      const std::string& shape = kShapes[(i * 7) % kShapes.size()];
      const bool writes = i % 5 == 0;
      gateway.Ask(
          client,
          (writes ? "PREPARE s1 STORE " : "PREPARE s1 LOOKUP ") + shape);
      const ClientReply reply = gateway.Ask(client, "EXECUTE s1 #c data");
      if (reply.error) refused.push_back(shape + ": " + reply.error_text);
    }
    auto faults = gateway.Faults();
    faults.insert(faults.end(), refused.begin(), refused.end());
    CPPUNIT_ASSERT_MESSAGE(AllOf(faults), faults.empty());
    CPPUNIT_ASSERT(gateway.Runs().size() >= kExecutions);
  }

  void EachStatementRunsAsItsClientSaidIt() {
    CPPUNIT_ASSERT(rc::check("runs as said", [](unsigned seed) {
      std::mt19937 random(seed);
      LineGateway gateway;
      std::vector<ClientId> clients;
      for (std::size_t i = 0; i < kSessions; ++i) {
        clients.push_back(gateway.Open("session"));
      }
      for (int i = 0; i < kStatementsOfADay; ++i) {
        gateway.Ask(clients[random() % kSessions], AnyStatement(random));
      }
      // Whatever came before, a session that is new is served once no
      // transaction holds a connection.
      for (const ClientId client : clients) gateway.Ask(client, "ROLLBACK");
      const std::string shape = AnyShape(random);
      const ClientId last = gateway.Open("session");
      RC_ASSERT(!gateway.Ask(last, "PREPARE s1 LOOKUP " + shape).error);
      RC_ASSERT(!gateway.Ask(last, "EXECUTE s1 a").error);
      RC_ASSERT(!gateway.Runs().empty());
      const auto faults = gateway.Faults();
      if (!faults.empty()) RC_FAIL(AllOf(faults));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreparedShapesTest);

}  // namespace
}  // namespace lacewingferry::testing
