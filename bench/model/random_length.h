#ifndef BENCH_MODEL_RANDOM_LENGTH_H_
#define BENCH_MODEL_RANDOM_LENGTH_H_

// Defines RandomLength, a random length of time.

#include <chrono>
#include <random>

namespace lacewingferry::model {

/** A length from zero to the longest, in whole milliseconds, each as likely. */
inline std::chrono::milliseconds RandomLength(std::chrono::milliseconds longest,
                                              std::mt19937_64& random) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<std::chrono::milliseconds::rep>(
          0, longest.count())(random));
}

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_RANDOM_LENGTH_H_
