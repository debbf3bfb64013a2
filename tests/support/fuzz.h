#ifndef LACEWINGFERRY_TESTS_SUPPORT_FUZZ_H_
#define LACEWINGFERRY_TESTS_SUPPORT_FUZZ_H_

// Defines Fuzz, which feeds a decoder valid samples and damaged copies of them.

#include <cstddef>
#include <exception>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lacewingferry::testing {

/** Makes damaged copies of samples, the same ones in every run. */
class Mutator {
 public:
  explicit Mutator(std::vector<std::string> valid_samples);

  /** A sample after one to four changes: a bit flipped, a part cut out,
   * repeated or nested, a delimiter or a number put in, or the head of one
   * sample joined to the tail of another. */
  std::string Next();

 private:
  void Change(std::string& bytes);
  void Repeat(std::string& bytes);
  void ReplaceLength(std::string& bytes);
  std::size_t Pick(std::size_t below);
  const std::string& AnySample();

  std::vector<std::string> samples;
  std::mt19937_64 random;
};

/** What became of the inputs. */
struct FuzzCounts {
  std::size_t decoded = 0;
  std::size_t refused = 0;
};

/** Fails the test with the input's number and its bytes. */
[[noreturn]] void FailFuzz(std::size_t number, const std::string& input,
                           const std::string& seen);

/** Gives a decoder each sample, which it must take, and then a number of
 * damaged copies. Each of them is decoded or gives TypedError; any other
 * exception fails the test. */
template <typename TypedError>
FuzzCounts Fuzz(const std::vector<std::string>& samples, std::size_t inputs,
                const std::function<void(const std::string&)>& decode) {
  for (const std::string& sample : samples) decode(sample);
  Mutator mutator(samples);
  FuzzCounts counts;
  for (std::size_t i = 0; i < inputs; ++i) {
    const std::string input = mutator.Next();
    try {
      decode(input);
      ++counts.decoded;
    } catch (const TypedError&) {
      ++counts.refused;
    } catch (const std::exception& error) {
      FailFuzz(i, input, error.what());
    }
  }
  return counts;
}

}  // namespace lacewingferry::testing

#endif  // LACEWINGFERRY_TESTS_SUPPORT_FUZZ_H_
