#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/core/errors.h"
#include "platform/client_lines.h"
#include "platform/line_buffer.h"
#include "platform/member_lines.h"
#include "platform/wire_words.h"

namespace lacewingferry::platform {
namespace {

ClientStatement Statement(const std::string& text) {
  return std::get<ClientStatement>(DecodeClientLine("QUERY 5c0e " + text));
}

class PlatformLinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformLinesTest);
  CPPUNIT_TEST(LinesAreCutWhereverTheBytesAre);
  CPPUNIT_TEST(StatementsKeepTheirText);
  CPPUNIT_TEST(UnknownStatementsAreMalformed);
  CPPUNIT_TEST(OtherLinesAreTold);
  CPPUNIT_TEST(RepliesAreWrittenWhole);
  CPPUNIT_TEST(RequestsCarryTheirLeastPosition);
  CPPUNIT_TEST(AnswersOfMembersArePutTogether);
  CPPUNIT_TEST(StrayLinesOfMembersAreErrors);
  CPPUNIT_TEST(StatusIsReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesAreCutWhereverTheBytesAre() {
    const std::string bytes = "QUIT\r\nQUERY 1 LOOKUP a\r\n\r\nrest";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      LineBuffer buffer;
      std::vector<std::string> lines;
      for (const auto& part : {bytes.substr(0, cut), bytes.substr(cut)}) {
        buffer.Append(part);
        while (const auto line = buffer.Next()) lines.emplace_back(*line);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, lines.size());
      CPPUNIT_ASSERT_EQUAL(std::string("QUERY 1 LOOKUP a"), lines[1]);
    }
  }

  void StatementsKeepTheirText() {
    const ClientStatement write = Statement("STORE 1a4 some  data ");
    CPPUNIT_ASSERT(write.kind == StatementKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(std::string("STORE 1a4 some  data "), write.text);
    CPPUNIT_ASSERT(write.id == RequestId("5c0e"));
    CPPUNIT_ASSERT(Statement("LOOKUP 1a4").kind == StatementKind::kRead);
    CPPUNIT_ASSERT(Statement("BEGIN").kind == StatementKind::kBegin);
    CPPUNIT_ASSERT(Statement("BEGIN LOOKUP").kind ==
                   StatementKind::kBeginReadOnly);
    const ClientStatement prepare = Statement("PREPARE s1 STORE q2c");
    CPPUNIT_ASSERT(prepare.kind == StatementKind::kPrepare);
    CPPUNIT_ASSERT(prepare.prepares_write);
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"), prepare.argument);
    const ClientStatement execute = Statement("EXECUTE s1 1a4 xk q");
    CPPUNIT_ASSERT(execute.kind == StatementKind::kExecute);
    CPPUNIT_ASSERT_EQUAL(std::string("1a4 xk q"), execute.argument);
  }

  void UnknownStatementsAreMalformed() {
    for (const char* text :
         {"", "AFTER 1.2 LOOKUP a", "RESET", "STATUS", "BEGIN STORE", "LOOKUP",
          "PREPARE s1 DROP x", "PREPARE s1", "SET", "EXECUTE", "COMMIT now"}) {
      CPPUNIT_ASSERT_MESSAGE(text,
                             Statement(text).kind == StatementKind::kMalformed);
    }
  }

  void OtherLinesAreTold() {
    const auto opening =
        std::get<ClientOpens>(DecodeClientLine("STARTUP lepu u3"));
    CPPUNIT_ASSERT_EQUAL(std::string("lepu"), opening.host);
    CPPUNIT_ASSERT_EQUAL(std::string("u3"), opening.key);
    CPPUNIT_ASSERT(
        std::get<ClientOpens>(DecodeClientLine("STARTUP lepu")).key.empty());
    for (const char* key : {"u3", ""}) {
      LineBuffer buffer;
      buffer.Append(EncodeRelayedOpening({"lepu", key, 26}));
      const auto relayed =
          std::get<ClientOpens>(DecodeClientLine(buffer.Next().value()));
      CPPUNIT_ASSERT_EQUAL(std::string("lepu"), relayed.host);
      CPPUNIT_ASSERT_EQUAL(std::string(key), relayed.key);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{26}, relayed.least_version);
    }
    CPPUNIT_ASSERT(
        std::holds_alternative<ClientQuits>(DecodeClientLine("QUIT")));
    for (const char* line : {"", "READY I -", "query 1 LOOKUP a"}) {
      CPPUNIT_ASSERT(
          std::holds_alternative<ClientStrays>(DecodeClientLine(line)));
    }
  }

  void RepliesAreWrittenWhole() {
    ClientReply reply;
    reply.rows = {"a b", "c"};
    reply.digest = "7.1f3";
    reply.state = TransactionState::kOpen;
    reply.position = LogPosition{3, 1209};
    CPPUNIT_ASSERT_EQUAL(
        std::string("ROW a b\r\nROW c\r\nDONE 7.1f3\r\nREADY T 3.1209\r\n"),
        EncodeReply(reply));
    ClientReply failure;
    failure.error = StatementError::kReadOnly;
    failure.error_text = "i-7f";
    failure.state = TransactionState::kFailed;
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR READONLY i-7f\r\nREADY E -\r\n"),
                         EncodeReply(failure));
  }

  void RequestsCarryTheirLeastPosition() {
    MemberRequest request;
    request.id = RequestId("5c0e");
    request.text = "LOOKUP 1a4";
    request.least_position = LogPosition{3, 1207};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 LOOKUP 1a4\r\n"),
                         EncodeRequest(request));
    MemberRequest status;
    status.kind = MemberRequestKind::kStatus;
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - STATUS\r\n"),
                         EncodeRequest(status));
    CPPUNIT_ASSERT_EQUAL(
        std::string("STARTUP db lacewingferry i-7f\r\n"),
        EncodeOpening({DatabaseId("db"), MemberId("i-7f"), {}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("STARTUP db kaan i-7f\r\n"),
        EncodeOpening(
            {DatabaseId("db"), MemberId("i-7f"), {}, CustomerId("kaan")}));
  }

  void AnswersOfMembersArePutTogether() {
    ReplyAssembler assembler;
    CPPUNIT_ASSERT(!assembler.Take("ROW qhzk"));
    CPPUNIT_ASSERT(!assembler.Take("DONE 7.1f3.c"));
    const auto reply = assembler.Take("READY I 3.1209");
    CPPUNIT_ASSERT(reply && !reply->error);
    CPPUNIT_ASSERT_EQUAL(std::string("7.1f3.c"), reply->digest);
    CPPUNIT_ASSERT((*reply->position == LogPosition{3, 1209}));
    CPPUNIT_ASSERT(!assembler.Take("ERROR LAGGING behind 3.1"));
    const auto refusal = assembler.Take("READY T -");
    CPPUNIT_ASSERT(refusal->error == StatementError::kLagging);
    CPPUNIT_ASSERT(refusal->rows.empty());
    CPPUNIT_ASSERT(refusal->state == TransactionState::kOpen);
  }

  void StrayLinesOfMembersAreErrors() {
    for (const char* line : {"", "NONSENSE", "HTTP/1.1 200 OK"}) {
      ReplyAssembler assembler;
      CPPUNIT_ASSERT_THROW(assembler.Take(line), DecodeError);
    }
    ReplyAssembler twice;
    twice.Take("DONE 7");
    CPPUNIT_ASSERT_THROW(twice.Take("DONE 8"), DecodeError);
  }

  void StatusIsReadOrRefused() {
    MemberReply reply;
    reply.rows = {"replica 3 3.1209 0 12 2 17"};
    const MemberStatus status = DecodeStatus(reply);
    CPPUNIT_ASSERT(!status.primary && status.term == 3);
    CPPUNIT_ASSERT((status.received == LogPosition{3, 1209}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{17}, status.connections);
    for (const char* row : {"", "replica", "replica x 3.1 0 1 2 3"}) {
      reply.rows = {row};
      CPPUNIT_ASSERT_THROW(DecodeStatus(reply), DecodeError);
    }
    reply.rows.clear();
    CPPUNIT_ASSERT_THROW(DecodeStatus(reply), DecodeError);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformLinesTest);

}  // namespace
}  // namespace lacewingferry::platform
