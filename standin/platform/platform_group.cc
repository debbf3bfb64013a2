#include "standin/platform/platform_group.h"

#include <algorithm>

namespace lacewingferry::standin {
namespace {

/** Takes a field that isn't the last one off the front of a line: all up to the
 * next blank. */
std::string TakeWord(std::string* rest) {
  const std::size_t end = rest->find(' ');
  std::string word = rest->substr(0, end);
  rest->erase(0, end == std::string::npos ? end : end + 1);
  return word;
}

std::string Failure(const std::string& code, const std::string& text) {
  return "ERROR " + code + " " + text + "\r\n";
}

std::string Done(const std::string& digest) {
  return "DONE " + digest + "\r\n";
}

}  // namespace

PlatformGroup::PlatformGroup(std::string group_name, std::size_t size,
                             std::chrono::milliseconds replica_lag)
    : name(std::move(group_name)), lag(replica_lag), members(size) {
  this->members[0].primary = true;
}

std::string PlatformGroup::IdOf(std::size_t member) const {
  return "i-" + this->name + "-" + std::to_string(member);
}

void PlatformGroup::SetAlive(std::size_t member, bool alive) {
  Member& changed = this->members[member];
  changed.alive = alive;
  changed.silent = false;
  if (!alive) return;
  // One that comes back follows whoever leads meanwhile.
  const bool led = std::any_of(
      this->members.begin(), this->members.end(), [&](const Member& other) {
        return &other != &changed && other.primary && other.alive;
      });
  if (led) changed.primary = false;
  changed.received = this->log.size();
}

bool PlatformGroup::Promote(const std::string& id) {
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    if (this->IdOf(i) != id) continue;
    if (!this->members[i].alive) return false;
    if (this->members[i].primary) return true;
    ++this->term;
    this->log.resize(this->members[i].received);
    for (Member& member : this->members) {
      member.primary = false;
      member.paused = 0;
      member.received = std::min(member.received, this->log.size());
    }
    this->members[i].primary = true;
    return true;
  }
  return false;
}

std::size_t PlatformGroup::Applied(Time now, std::size_t member) const {
  const Member& asked = this->members[member];
  std::size_t applied = asked.received;
  if (asked.primary) return applied;
  while (applied > 0 && this->log[applied - 1].at + this->lag > now) --applied;
  return applied;
}

std::string PlatformGroup::Position(std::size_t entries) const {
  const std::uint64_t written = entries == 0 ? 1 : this->log[entries - 1].term;
  return std::to_string(written) + "." + std::to_string(entries);
}

std::string PlatformGroup::Status(Time now, std::size_t member) const {
  const Member& asked = this->members[member];
  return "ROW " + std::string(asked.primary ? "primary " : "replica ") +
         std::to_string(this->term) + " " + this->Position(asked.received) +
         " " + std::to_string(asked.paused) + " " +
         std::to_string(asked.received - this->Applied(now, member)) +
         " 0 1\r\nDONE -\r\n";
}

std::string PlatformGroup::Lookup(std::size_t applied,
                                  const std::string& item) const {
  for (std::size_t i = applied; i > 0; --i) {
    if (this->log[i - 1].item == item) {
      return "ROW " + this->log[i - 1].data + "\r\n";
    }
  }
  return "";
}

void PlatformGroup::Commit(
    Time now, std::size_t member,
    const std::vector<std::pair<std::string, std::string>>& written) {
  for (const auto& [item, data] : written) {
    this->log.push_back({this->term, item, data, now});
  }
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    Member& receiver = this->members[i];
    const bool receives = receiver.alive && receiver.paused == 0;
    if (i == member || receives) receiver.received = this->log.size();
  }
}

std::optional<std::string> PlatformGroup::AnswerCommand(
    Time now, PlatformConnection& connection, const std::string& verb,
    std::string rest) {
  Member& asked = this->members[connection.member];
  if (verb == "STATUS" || verb == "STEPDOWN") {
    return this->Status(now, connection.member);
  }
  if (verb == "PAUSE" && !rest.empty()) {
    if (!asked.primary) asked.paused = std::stoull(rest);
    return this->Status(now, connection.member);
  }
  if (verb == "RESUME") {
    asked.paused = 0;
    asked.received = this->log.size();
    return this->Status(now, connection.member);
  }
  if (verb == "SET" && rest.find(' ') != std::string::npos) {
    const std::string key = TakeWord(&rest);
    connection.values[key] = rest;
    return Done("-");
  }
  if (verb == "RESET") {
    connection.values.clear();
    connection.prepared.clear();
    return Done("-");
  }
  if (verb == "PREPARE") {
    const std::string key = TakeWord(&rest);
    const std::string prepared = TakeWord(&rest);
    const bool known = prepared == "LOOKUP" || prepared == "STORE";
    if (key.empty() || !known || rest.empty()) return std::nullopt;
    connection.prepared[key] = {prepared, rest};
    return Done("-");
  }
  return std::nullopt;
}

std::string PlatformGroup::Answer(Time now, PlatformConnection& connection,
                                  const std::string& request,
                                  const std::string& text) {
  std::string rest = text;
  std::string verb = TakeWord(&rest);
  const std::size_t member = connection.member;
  Member& asked = this->members[member];
  const std::string digest = "d." + request + "." + std::to_string(member);
  std::optional<PlatformExecution> execution;
  if (verb == "AFTER") {
    const std::string position = TakeWord(&rest);
    const auto wanted = std::stoull(position.substr(position.find('.') + 1));
    if (this->Applied(now, member) < wanted) {
      return Failure("LAGGING", this->IdOf(member));
    }
    verb = TakeWord(&rest);
  }
  if (verb == "EXECUTE") {
    const std::string key = TakeWord(&rest);
    const auto found = connection.prepared.find(key);
    if (found == connection.prepared.end()) return Failure("NOSTMT", key);
    execution = PlatformExecution{request, found->second, rest};
    verb = execution->prepared.verb;
  }
  const auto answer = this->AnswerCommand(now, connection, verb, rest);
  if (answer) return *answer;
  if (verb == "BEGIN") {
    if (rest.empty() && !asked.primary) {
      return Failure("READONLY", this->IdOf(member));
    }
    connection.in_transaction = true;
    connection.written.clear();
    return Done("-");
  }
  if (verb == "ROLLBACK") {
    connection.in_transaction = false;
    connection.written.clear();
    return Done("-");
  }
  if (verb == "COMMIT") {
    this->Commit(now, member, connection.written);
    connection.in_transaction = false;
    connection.written.clear();
    return Done(digest);
  }
  if (verb == "LOOKUP" && !rest.empty()) {
    if (execution) this->executions.push_back(*execution);
    return this->Lookup(this->Applied(now, member), rest) + Done(digest);
  }
  if (verb == "STORE" && rest.find(' ') != std::string::npos) {
    if (!asked.primary) return Failure("READONLY", this->IdOf(member));
    if (execution) this->executions.push_back(*execution);
    const std::string item = TakeWord(&rest);
    connection.written.emplace_back(item, rest);
    if (!connection.in_transaction) {
      this->Commit(now, member, connection.written);
      connection.written.clear();
    }
    return Done(digest);
  }
  return Failure("MALFORMED", verb);
}

std::string PlatformGroup::Ready(Time now,
                                 const PlatformConnection& connection) const {
  return std::string("READY ") + (connection.in_transaction ? "T " : "I ") +
         this->Position(this->Applied(now, connection.member)) + "\r\n";
}

std::optional<std::string> PlatformGroup::Stored(
    const std::string& item) const {
  for (std::size_t i = this->log.size(); i > 0; --i) {
    if (this->log[i - 1].item == item) return this->log[i - 1].data;
  }
  return std::nullopt;
}

std::size_t PlatformGroup::Stores(const std::string& item) const {
  return static_cast<std::size_t>(
      std::count_if(this->log.begin(), this->log.end(),
                    [&](const Entry& entry) { return entry.item == item; }));
}

}  // namespace lacewingferry::standin
