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
  /** The session that sent it; empty for none. */
  std::string session;
  /** The keys that it sets when it runs as a whole. */
  std::vector<std::string> keys;
  Told told = Told::kNothing;
  /** The term of the answer. */
  std::uint64_t term = 0;
  /** When the proxy that ran the work let its answer go. */
  std::chrono::steady_clock::time_point told_at;
};

/** A read of one key, and the value that it gave. */
struct HistoryRead {
  std::string key;
  std::optional<std::string> value;
  std::string session{};
  bool by_replica = false;
  /** How old the data may be that a replica gives; none for any age. */
  std::optional<std::chrono::milliseconds> max_age{};
  std::chrono::steady_clock::time_point sent_at{};
};

/** A backend server that said that it leaves. */
struct HistoryLeaving {
  std::string member;
  std::chrono::steady_clock::time_point announced_at;
};

/** New work that a backend server was given. */
struct HistoryUse {
  std::string member;
  std::chrono::steady_clock::time_point at;
};

/** An accepted configuration, or one that came into force at a node. */
struct HistoryRevision {
  std::uint64_t revision = 0;
  std::chrono::steady_clock::time_point at;
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
  std::vector<HistoryLeaving> leavings;
  std::vector<HistoryUse> uses;
  /** Planned stops of proxies. A run that has any has no failures. */
  std::size_t planned_stops = 0;
  std::vector<HistoryRevision> accepted;
  /** What came into force at each node, in the order of time. */
  std::map<std::string, std::vector<HistoryRevision>> in_force;
  /** When the run ended. */
  std::chrono::steady_clock::time_point ended_at;
};

/** A member that leaves gets no new work after this. */
constexpr std::chrono::seconds kLongestLeaving{3};
/** An accepted configuration is in force everywhere within this. */
constexpr std::chrono::seconds kLongestSpread{8};

/** The promises that a run may break: the nine of the users, and what they
 * need. */
enum class Promise : std::uint8_t {
  kReadYourWrites,
  kNoAnswerByReplaced,
  kTransactionsDontMix,
  kAnswerIsWhole,
  kNotRunIsTrue,
  kAtMostOnce,
  kNoWorkForLeaving,
  kPlannedStopCutsNothing,
  kConfigurationHolds,
  kAcknowledgedSurvives,
  kReadsDontVanish,
  kStatedAge,
  kSlots,
};

/** The name of a promise in tables. */
std::string PromiseName(Promise promise);

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
