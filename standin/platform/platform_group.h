#ifndef STANDIN_PLATFORM_PLATFORM_GROUP_H_
#define STANDIN_PLATFORM_PLATFORM_GROUP_H_

// Defines PlatformGroup, what the members of one group hold and answer.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingferry::standin {

/** What a prepared name stands for. */
struct PlatformPrepared {
  /** LOOKUP or STORE. */
  std::string verb;
  std::string shape;
};

/** A prepared statement that a member ran. */
struct PlatformExecution {
  std::string request;
  PlatformPrepared prepared;
  /** The item, and the data if there are any. */
  std::string arguments;
};

/** What a connection to a member holds. */
struct PlatformConnection {
  std::size_t member = 0;
  std::map<std::string, std::string> values;
  std::map<std::string, PlatformPrepared> prepared;
  bool in_transaction = false;
  std::vector<std::pair<std::string, std::string>> written;
};

/**
 * A primary and its replicas. Each commit is an entry of one log; a replica has
 * received a prefix of it and applies it after a lag. The member that is
 * promoted leads the next term with what it had received.
 */
class PlatformGroup {
 public:
  using Time = std::chrono::steady_clock::time_point;

  PlatformGroup(std::string name, std::size_t members,
                std::chrono::milliseconds replica_lag);

  const std::string& Name() const { return this->name; }
  std::size_t Size() const { return this->members.size(); }
  std::string IdOf(std::size_t member) const;
  bool Alive(std::size_t member) const { return this->members[member].alive; }
  bool Primary(std::size_t member) const {
    return this->members[member].primary;
  }
  void SetAlive(std::size_t member, bool alive);
  /** Whether a member gives no answers; lasts until it is stopped. */
  bool Silent(std::size_t member) const { return this->members[member].silent; }
  void Silence(std::size_t member) { this->members[member].silent = true; }

  /** Makes a member lead the next term; false if it isn't running. */
  bool Promote(const std::string& id);

  /** Runs a request and returns the lines of its answer. */
  std::string Answer(Time now, PlatformConnection& connection,
                     const std::string& request, const std::string& text);

  /** The state and position that end each answer. */
  std::string Ready(Time now, const PlatformConnection& connection) const;

  /** The value of an item that the primary has; none if it was never stored. */
  std::optional<std::string> Stored(const std::string& item) const;
  /** How often an item was stored. */
  std::size_t Stores(const std::string& item) const;
  /** The prepared statements that ran, in their order. */
  const std::vector<PlatformExecution>& Executions() const {
    return this->executions;
  }

 private:
  struct Entry {
    std::uint64_t term = 0;
    std::string item;
    std::string data;
    Time at;
  };
  struct Member {
    bool alive = true;
    bool silent = false;
    bool primary = false;
    std::uint64_t paused = 0;
    std::size_t received = 0;
  };

  /** Answers a command that neither reads nor writes items; none if the verb is
   * another one. */
  std::optional<std::string> AnswerCommand(Time now,
                                           PlatformConnection& connection,
                                           const std::string& verb,
                                           std::string rest);
  std::string Status(Time now, std::size_t member) const;
  std::string Lookup(std::size_t applied, const std::string& item) const;
  void Commit(Time now, std::size_t member,
              const std::vector<std::pair<std::string, std::string>>& written);
  std::size_t Applied(Time now, std::size_t member) const;
  std::string Position(std::size_t entries) const;

  std::string name;
  std::chrono::milliseconds lag;
  std::vector<Member> members;
  std::vector<Entry> log;
  std::vector<PlatformExecution> executions;
  std::uint64_t term = 1;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_PLATFORM_GROUP_H_
