#include "lacewingferry/adapters/msgpack/log_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

ControlEntry SampleEntry() {
  ControlEntry entry;
  entry.term = 3;
  entry.index = 9;
  entry.kind = EntryKind::kConfiguration;
  entry.payload = std::string("a\0b", 3);
  entry.configuration.members = {
      {VoterId("v1"), NodeId("control-1"), ControlRole::kVoter},
      {VoterId("v2"), NodeId("control-2"), ControlRole::kLearner}};
  return entry;
}

void RequireSample(const ControlEntry& entry) {
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), entry.term);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), entry.index);
  CPPUNIT_ASSERT(entry.kind == EntryKind::kConfiguration);
  CPPUNIT_ASSERT_EQUAL(std::string("a\0b", 3), entry.payload);
  CPPUNIT_ASSERT(entry.configuration.IsVoter(VoterId("v1")));
  CPPUNIT_ASSERT(!entry.configuration.IsVoter(VoterId("v2")));
  CPPUNIT_ASSERT(entry.configuration.Find(VoterId("v2"))->node ==
                 NodeId("control-2"));
}

/** The first field of a ConfirmPrimary. */
struct DatabaseName {
  DatabaseId database{"db"};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
  }
};

/** A ConfirmPrimary from before it named the members' term. */
struct OlderConfirmation {
  DatabaseId database{"db"};
  std::uint64_t term = 4;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
  }
};

class LogCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogCodecTest);
  CPPUNIT_TEST(ReturnsWhatWasEncoded);
  CPPUNIT_TEST(RejectsEveryTruncationAndOtherVersions);
  CPPUNIT_TEST(MessagesCarryEntriesAndJoins);
  CPPUNIT_TEST(AddedFieldsKeepTheirDefaultsInOlderRecords);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsWhatWasEncoded() {
    const LogCodecPort codec = MakeLogCodec();
    RequireSample(
        std::get<ControlEntry>(codec.decode(codec.encode(SampleEntry()))));
    const LogRecord vote = codec.decode(codec.encode(VoteRecord{7, {}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), std::get<VoteRecord>(vote).term);
    CPPUNIT_ASSERT(std::get<VoteRecord>(vote).voted_for.Empty());
  }

  void RejectsEveryTruncationAndOtherVersions() {
    const LogCodecPort codec = MakeLogCodec();
    std::string bytes = codec.encode(SampleEntry());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT_THROW(codec.decode(bytes.substr(0, size)), DecodeError);
    }
    ++bytes[0];
    CPPUNIT_ASSERT_THROW(codec.decode(bytes), DecodeError);
  }

  void MessagesCarryEntriesAndJoins() {
    AppendRequest append;
    append.to = VoterId("v2");
    append.entries = {SampleEntry()};
    const PeerMessage back = SendAndReceive(append);
    CPPUNIT_ASSERT(std::get<AppendRequest>(back.body).to == VoterId("v2"));
    RequireSample(std::get<AppendRequest>(back.body).entries.at(0));
    const PeerMessage join = SendAndReceive(JoinRequest{VoterId("v3")});
    CPPUNIT_ASSERT(std::get<JoinRequest>(join.body).from == VoterId("v3"));
    const PeerMessage redirect = SendAndReceive(
        JoinRedirect{VoterId("v1"), VoterId("v3"), {NodeId("a"), NodeId("b")}});
    const auto& named = std::get<JoinRedirect>(redirect.body);
    CPPUNIT_ASSERT(named.from == VoterId("v1") && named.to == VoterId("v3"));
    CPPUNIT_ASSERT(named.nodes ==
                   (std::vector<NodeId>{NodeId("a"), NodeId("b")}));
  }

  // A control process that starts on the disk of an older version.
  void AddedFieldsKeepTheirDefaultsInOlderRecords() {
    const std::string older = detail::EncodeFields(OlderConfirmation{});
    const auto confirm =
        detail::DecodeFields<ConfirmPrimary>(older.data(), older.size());
    CPPUNIT_ASSERT(confirm.database == DatabaseId("db"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), confirm.term);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), confirm.member_term);
    const std::string shorter = detail::EncodeFields(DatabaseName{});
    CPPUNIT_ASSERT_THROW(
        detail::DecodeFields<ConfirmPrimary>(shorter.data(), shorter.size()),
        DecodeError);
  }

 private:
  static PeerMessage SendAndReceive(const PeerBody& body) {
    const std::string bytes =
        EncodePeerMessage(PeerMessage{NodeId("control-1"), "", body});
    return DecodePeerMessage(bytes.data(), bytes.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogCodecTest);

}  // namespace
}  // namespace lacewingferry
