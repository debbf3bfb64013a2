#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "platform/client_lines.h"
#include "platform/line_buffer.h"
#include "platform/line_writer.h"
#include "platform/member_lines.h"
#include "tests/support/line_member.h"

namespace lacewingferry::platform {
namespace {

const std::vector<std::string> kParts = {"qa",
                                         "LOOKUP",
                                         "STORE",
                                         "EXECUTE",
                                         "PREPARE",
                                         "AFTER 9.9",
                                         "QUERY",
                                         " ",
                                         "  ",
                                         "\t",
                                         "\r",
                                         "\n",
                                         "\r\n",
                                         "\v",
                                         "\x7f",
                                         "\x80",
                                         "-",
                                         "p1",
                                         "DONE",
                                         "READY I -",
                                         "",
                                         "\xc2\xa0",
                                         std::string(1, '\0')};

std::string AnyText(std::mt19937& random) {
  std::string text;
  for (std::size_t i = random() % 5; i > 0; --i) {
    text += kParts[random() % kParts.size()];
  }
  return text;
}

MemberRequest AnyRequest(std::mt19937& random) {
  static const std::vector<MemberRequestKind> kKinds = {
      MemberRequestKind::kStatement, MemberRequestKind::kSetValue,
      MemberRequestKind::kPrepare, MemberRequestKind::kExecute};
  MemberRequest request;
  request.kind = kKinds[random() % kKinds.size()];
  if (random() % 2 == 0) request.id = RequestId(AnyText(random));
  request.text = AnyText(random);
  request.name = AnyText(random);
  request.argument = AnyText(random);
  request.prepared = random() % 1000;
  request.prepares_write = random() % 2 == 0;
  if (random() % 2 == 0) request.least_position = LogPosition{3, 7};
  return request;
}

bool IsTaken(std::string* rest, const std::string& field) {
  return testing::TakeField(rest) == field;
}

/** Whether a member that splits a line as the page has it reads the request,
 * and nothing more. */
bool ReadsAs(const std::string& bytes, const MemberRequest& request) {
  if (bytes.find("\r\n") != bytes.size() - 2) return false;
  std::string rest = bytes.substr(0, bytes.size() - 2);
  const std::string id = request.id.Empty() ? "-" : request.id.Value();
  if (!IsTaken(&rest, "QUERY") || !IsTaken(&rest, id)) return false;
  if (request.least_position) {
    if (!IsTaken(&rest, "AFTER") || !IsTaken(&rest, "3.7")) return false;
  }
  const std::string name = "p" + std::to_string(request.prepared);
  const std::string verb = request.prepares_write ? "STORE" : "LOOKUP";
  switch (request.kind) {
    case MemberRequestKind::kStatement:
      return rest == request.text;
    case MemberRequestKind::kSetValue:
      return IsTaken(&rest, "SET") && IsTaken(&rest, request.name) &&
             rest == request.argument;
    case MemberRequestKind::kPrepare:
      return IsTaken(&rest, "PREPARE") && IsTaken(&rest, name) &&
             IsTaken(&rest, verb) && rest == request.argument;
    default:
      return IsTaken(&rest, "EXECUTE") && IsTaken(&rest, name) &&
             rest == request.argument;
  }
}

bool CanBeField(const std::string& text) {
  return !text.empty() &&
         std::none_of(text.begin(), text.end(), [](char letter) {
           const auto byte = static_cast<unsigned char>(letter);
           return byte <= ' ' || byte == 0x7f;
         });
}

bool CanBeLast(const std::string& text) {
  return text.find('\r') == std::string::npos &&
         text.find('\n') == std::string::npos;
}

/** Whether each text of a request can stand where it belongs. */
bool CanBeWritten(const MemberRequest& request) {
  const bool own = request.id.Value() == "-";
  const bool id =
      request.id.Empty() || (CanBeField(request.id.Value()) && !own);
  switch (request.kind) {
    case MemberRequestKind::kStatement:
      return id && CanBeLast(request.text);
    case MemberRequestKind::kSetValue:
      return id && CanBeField(request.name) && CanBeLast(request.argument);
    default:
      return id && CanBeLast(request.argument);
  }
}

std::vector<std::string> LinesIn(const std::string& bytes) {
  LineBuffer buffer;
  buffer.Append(bytes);
  std::vector<std::string> lines;
  while (const auto line = buffer.Next()) lines.emplace_back(*line);
  return lines;
}

// Guards against a text that one party chose and that moves the border of a
// field of another: for every line that a proxy writes, what its reader finds
// is what was said, or the line isn't written.
class MemberLinesPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberLinesPropertyTest);
  CPPUNIT_TEST(MembersReadWhatIsAsked);
  CPPUNIT_TEST(OwnersReadWhoOpens);
  CPPUNIT_TEST(OpeningsAreNoLongerThanOwnersTake);
  CPPUNIT_TEST(ClientsReadWhatMembersAnswer);
  CPPUNIT_TEST(LinesAreNoLongerThanReadersTake);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MembersReadWhatIsAsked() {
    CPPUNIT_ASSERT(rc::check("members", [](unsigned seed) {
      std::mt19937 random(seed);
      for (int i = 0; i < 100; ++i) {
        const MemberRequest request = AnyRequest(random);
        try {
          RC_ASSERT(ReadsAs(EncodeRequest(request), request));
          RC_ASSERT(CanBeWritten(request));
        } catch (const LineError&) {
          RC_ASSERT(!CanBeWritten(request));
        }
      }
    }));
  }

  void OwnersReadWhoOpens() {
    CPPUNIT_ASSERT(rc::check("owners", [](unsigned seed) {
      std::mt19937 random(seed);
      for (int i = 0; i < 100; ++i) {
        const auto line = DecodeClientLine("STARTUP " + AnyText(random) + " " +
                                           AnyText(random));
        const auto* said = std::get_if<ClientOpens>(&line);
        if (said == nullptr) continue;
        ClientOpens opening = *said;
        opening.least_version = random();
        const auto lines = LinesIn(EncodeRelayedOpening(opening));
        RC_ASSERT(lines.size() == 1U);
        const auto read = std::get<ClientOpens>(DecodeClientLine(lines[0]));
        RC_ASSERT(read.host == opening.host);
        RC_ASSERT(read.key == opening.key);
        RC_ASSERT(read.least_version == opening.least_version);
      }
    }));
  }

  // Guards against a proxy that ends when a client's opening, with the
  // configuration's version added for the owner, is longer than a line.
  void OpeningsAreNoLongerThanOwnersTake() {
    for (std::size_t size = 1; size <= kMostLineBytes; size *= 2) {
      const auto line =
          DecodeClientLine("STARTUP db " + std::string(size - 1, 'x'));
      const auto* opening = std::get_if<ClientOpens>(&line);
      if (opening == nullptr) {
        CPPUNIT_ASSERT(size > 4096);
        continue;
      }
      ClientOpens relayed = *opening;
      relayed.least_version = std::numeric_limits<std::uint64_t>::max();
      CPPUNIT_ASSERT(EncodeRelayedOpening(relayed).size() <= kMostLineBytes);
    }
    const auto longest =
        DecodeClientLine("STARTUP db " + std::string(kMostLineBytes - 11, 'x'));
    CPPUNIT_ASSERT(std::holds_alternative<ClientStrays>(longest));
  }

  void ClientsReadWhatMembersAnswer() {
    CPPUNIT_ASSERT(rc::check("clients", [](unsigned seed) {
      std::mt19937 random(seed);
      for (int i = 0; i < 100; ++i) {
        // What a member answers came in lines, without a line's end.
        std::vector<std::string> texts;
        for (int n = 0; n < 3; ++n) {
          const auto lines = LinesIn(AnyText(random) + "\r\n");
          texts.push_back(lines.front());
        }
        ClientReply reply;
        reply.rows = {texts[0], texts[1]};
        if (random() % 2 == 0) reply.error = StatementError::kFailed;
        (reply.error ? reply.error_text : reply.digest) = texts[2];
        ReplyAssembler assembler;
        std::optional<MemberReply> read;
        for (const std::string& line : LinesIn(EncodeReply(reply))) {
          RC_ASSERT(!read);
          read = assembler.Take(line);
        }
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->rows == reply.rows);
        RC_ASSERT(read->error == reply.error);
        RC_ASSERT(read->error_text == reply.error_text);
        const bool none = reply.digest == "-";
        RC_ASSERT(read->digest == (none ? "" : reply.digest));
      }
    }));
  }

  void LinesAreNoLongerThanReadersTake() {
    MemberRequest request;
    request.kind = MemberRequestKind::kPrepare;
    const std::size_t others = EncodeRequest(request).size();
    request.argument.assign(kMostLineBytes - others, 'x');
    CPPUNIT_ASSERT_EQUAL(kMostLineBytes, EncodeRequest(request).size());
    request.argument += 'x';
    try {
      EncodeRequest(request);
      CPPUNIT_FAIL("a line that no reader takes");
    } catch (const LineError& error) {
      CPPUNIT_ASSERT(error.Error() == StatementError::kTooLarge);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberLinesPropertyTest);

}  // namespace
}  // namespace lacewingferry::platform
