#include "lacewingferry/adapters/log4cxx/bounded_output.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace lacewingferry {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

/** A pipe whose reader reads only when asked to. */
class Pipe {
 public:
  Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(this->ends.data())); }
  ~Pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int Writer() const { return this->ends[1]; }
  std::string Read() const {
    std::array<char, 65536> bytes{};
    const auto count = ::read(this->ends[0], bytes.data(), bytes.size());
    return std::string(bytes.data(), static_cast<std::size_t>(count));
  }

 private:
  std::array<int, 2> ends{};
};

class BoundedOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedOutputTest);
  CPPUNIT_TEST(StalledReaderCostsLinesAndNoTime);
  CPPUNIT_TEST(LinesBeyondTheRateAreCounted);
  CPPUNIT_TEST(UrgentLinesPassTheRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StalledReaderCostsLinesAndNoTime() {
    const Pipe pipe;
    steady_clock::time_point now{};
    BoundedOutput output(pipe.Writer(), {1'000'000, 1'000'000},
                         [&now] { return now; });
    const std::string line = "{\"a\":\"" + std::string(1000, 'x') + "\"}";
    for (int i = 0; i < 500; ++i) output.Write(line, true);
    CPPUNIT_ASSERT(output.LeftOut() > 400);
    pipe.Read();
    output.Write("{\"b\":1}", true);
    CPPUNIT_ASSERT(pipe.Read().find("lines_left_out") != std::string::npos);
  }

  void LinesBeyondTheRateAreCounted() {
    const Pipe pipe;
    steady_clock::time_point now{};
    BoundedOutput output(pipe.Writer(), {10, 5}, [&now] { return now; });
    for (int i = 0; i < 20; ++i) output.Write("{}", false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, output.LeftOut());
    now += seconds(1);
    for (int i = 0; i < 20; ++i) output.Write("{}", false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, output.LeftOut());
  }

  void UrgentLinesPassTheRate() {
    const Pipe pipe;
    BoundedOutput output(pipe.Writer(), {1, 1},
                         [] { return steady_clock::time_point(); });
    for (int i = 0; i < 5; ++i) output.Write("{}", true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, output.LeftOut());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedOutputTest);

}  // namespace
}  // namespace lacewingferry
