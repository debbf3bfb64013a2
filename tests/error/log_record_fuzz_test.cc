#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/disk/record_frame.h"
#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/control/control_state.h"
#include "tests/support/filled_record.h"
#include "tests/support/fuzz.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kInputs = 8'000;

template <typename T>
void Decode(const std::string& bytes) {
  detail::DecodeFields<T>(bytes.data(), bytes.size());
}

void RequireBoth(const FuzzCounts& counts) {
  CPPUNIT_ASSERT(counts.decoded > 0);
  CPPUNIT_ASSERT(counts.refused > 0);
}

/** What a replica of control reads from its disk. */
class LogRecordFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRecordFuzzTest);
  CPPUNIT_TEST(DamagedRecordsGiveTypedErrors);
  CPPUNIT_TEST(DamagedSnapshotsGiveTypedErrors);
  CPPUNIT_TEST(DamagedCommandsGiveTypedErrors);
  CPPUNIT_TEST(DamagedFilesGiveOnlyRecordsThatWereWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DamagedRecordsGiveTypedErrors() {
    const LogCodecPort codec = MakeLogCodec();
    std::vector<std::string> samples;
    ForEachAlternative<LogRecord>([&](const LogRecord& record) {
      samples.push_back(codec.encode(record));
    });
    RequireBoth(Fuzz<DecodeError>(
        samples, kInputs,
        [&codec](const std::string& bytes) { codec.decode(bytes); }));
  }

  void DamagedSnapshotsGiveTypedErrors() {
    RequireBoth(Fuzz<DecodeError>(
        {detail::EncodeFields(FilledRecord<ControlSnapshot>())}, kInputs,
        Decode<ControlSnapshot>));
  }

  void DamagedCommandsGiveTypedErrors() {
    std::vector<std::string> samples;
    ForEachAlternative<decltype(ControlCommand::body)>([&](const auto& body) {
      samples.push_back(detail::EncodeFields(ControlCommand{body}));
    });
    ForEachAlternative<decltype(DatabaseCommand::body)>([&](const auto& body) {
      DatabaseCommand command = FilledRecord<DatabaseCommand>();
      command.body = body;
      samples.push_back(detail::EncodeFields(ControlCommand{command}));
    });
    RequireBoth(Fuzz<DecodeError>(samples, kInputs, Decode<ControlCommand>));
  }

  void DamagedFilesGiveOnlyRecordsThatWereWritten() {
    const std::vector<std::string> records = {"first", "", "the third"};
    std::string file = EncodeFrame(0, {records[0], records[1]});
    file += EncodeFrame(file.size(), {records[2]});
    Fuzz<DecodeError>({file}, kInputs, [&](const std::string& bytes) {
      const FrameContent content = DecodeFrames(bytes);
      CPPUNIT_ASSERT(content.whole_size <= bytes.size());
      CPPUNIT_ASSERT(content.records.size() <= records.size());
      for (std::size_t i = 0; i < content.records.size(); ++i) {
        CPPUNIT_ASSERT_EQUAL(records[i], content.records[i]);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRecordFuzzTest);

}  // namespace
}  // namespace lacewingferry::testing
