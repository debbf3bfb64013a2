#ifndef BENCH_MODEL_HISTORY_CHECKER_H_
#define BENCH_MODEL_HISTORY_CHECKER_H_

// Defines CheckHistory, which compares what callers were told in a run with
// what the database holds at its end. It knows nothing of the code that ran.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingferry::model {

/** What a caller was told last. */
enum class Told : std::uint8_t {
  kNothing,
  kAnswered,
  kNotRun,
  kFailed,
  kUnknown,
};

/** A unit of work: a write, or a transaction of several writes. Each of its
 * writes sets a key of its own, which begins with the name and a slash. */
struct HistoryWork {
  std::string name;
  /** The keys that it sets when it runs as a whole. */
  std::vector<std::string> keys;
  Told told = Told::kNothing;
  /** The term of the answer. */
  std::uint64_t term = 0;
  /** When the proxy that ran the work let its answer go. */
  std::chrono::steady_clock::time_point told_at;
};

/** A read of one key at a primary, and the value that it gave. */
struct HistoryRead {
  std::string key;
  std::optional<std::string> value;
};

/** What happened in a run. */
struct History {
  std::vector<HistoryWork> works;
  std::vector<HistoryRead> reads;
  /** The keys of each entry of the log that the database ends with. */
  std::vector<std::vector<std::pair<std::string, std::string>>> log;
  /** When the primary of each term was promoted. */
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> promoted_at;
  /** Connections that a member had to turn away. */
  std::size_t turned_away = 0;
};

/** The promises that a run may break. */
enum class Promise : std::uint8_t {
  kAcknowledgedSurvives,
  kNoAnswerByReplaced,
  kTransactionsDontMix,
  kAnswerIsWhole,
  kNotRunIsTrue,
  kAtMostOnce,
  kReadsDontVanish,
  kSlots,
};

/** One broken promise. */
struct Violation {
  Promise promise = Promise::kSlots;
  std::string detail;
};

/** The value that every write gives its key. */
std::string ValueOf(const std::string& key);

/** Finds every broken promise. */
std::vector<Violation> CheckHistory(const History& history);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_HISTORY_CHECKER_H_
