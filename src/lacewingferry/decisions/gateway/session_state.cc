#include "lacewingferry/decisions/gateway/session_state.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** A connection with more prepared statements is reset before its next use. */
constexpr std::size_t kMaxPrepared = 512;
/** A connection whose prepared statements have larger shapes, in bytes, is
 * reset before its next use. */
constexpr std::size_t kMaxPreparedBytes = 2U << 20U;
/** The maximum number of settings, and of prepared statements, of a session. */
constexpr std::size_t kMaxSessionEntries = 1024;
/** The maximum size of a session's settings and of its prepared statements, in
 * bytes each: a few of the largest. */
constexpr std::size_t kMaxSessionBytes = (2U << 20U) + (8U << 10U);

/** The size of the entries but for the one of a name, whose place another
 * takes. */
template <typename Entries, typename SizeOf>
std::size_t BytesBut(const Entries& entries, const std::string& name,
                     SizeOf size_of) {
  std::size_t bytes = 0;
  for (const auto& [other, entry] : entries) {
    if (other != name) bytes += other.size() + size_of(entry);
  }
  return bytes;
}

}  // namespace

bool SessionState::HasRoomFor(const ClientStatement& statement) const {
  const std::size_t others =
      statement.kind == StatementKind::kPrepare
          ? BytesBut(this->prepared, statement.name,
                     [](const auto& entry) { return entry.shape.size(); })
          : BytesBut(this->values, statement.name,
                     [](const auto& entry) { return entry.size(); });
  const std::size_t added = statement.name.size() + statement.argument.size();
  return this->values.size() < kMaxSessionEntries &&
         this->prepared.size() < kMaxSessionEntries &&
         others + added <= kMaxSessionBytes;
}

std::optional<ClientReply> SessionState::ServeLocally(
    const ClientStatement& statement) {
  switch (statement.kind) {
    case StatementKind::kSetValue:
      if (!this->HasRoomFor(statement)) {
        return FailureReply(StatementError::kTooLarge, "too many values");
      }
      this->values[statement.name] = statement.argument;
      return ClientReply();
    case StatementKind::kPrepare:
      if (!this->HasRoomFor(statement)) {
        return FailureReply(StatementError::kTooLarge, "too many names");
      }
      this->prepared[statement.name] =
          PreparedStatement{statement.prepares_write, statement.argument};
      return ClientReply();
    case StatementKind::kDeallocate:
      if (this->prepared.erase(statement.name) > 0) return ClientReply();
      return FailureReply(StatementError::kUnknownPrepared, statement.name);
    case StatementKind::kExecute:
      if (this->FindPrepared(statement) != nullptr) return std::nullopt;
      return FailureReply(StatementError::kUnknownPrepared, statement.name);
    case StatementKind::kMalformed:
      return FailureReply(StatementError::kMalformed, "not a known statement");
    case StatementKind::kTooLong:
      return FailureReply(StatementError::kTooLarge,
                          "longer than members take");
    default:
      return std::nullopt;
  }
}

const PreparedStatement* SessionState::FindPrepared(
    const ClientStatement& statement) const {
  const auto found = this->prepared.find(statement.name);
  return found == this->prepared.end() ? nullptr : &found->second;
}

bool LinkState::NeedsReset(const SessionState& session) const {
  const bool surplus = std::any_of(
      this->values.begin(), this->values.end(), [&](const auto& value) {
        return session.values.count(value.first) == 0;
      });
  return surplus || this->prepared.size() > kMaxPrepared ||
         this->prepared_bytes > kMaxPreparedBytes;
}

LinkSetup LinkState::SetupFor(const SessionState& session,
                              const PreparedStatement* statement) {
  LinkSetup setup;
  const bool reset = this->NeedsReset(session);
  if (reset) {
    MemberRequest request;
    request.kind = MemberRequestKind::kReset;
    setup.requests.push_back(request);
  }
  for (const auto& [name, value] : session.values) {
    const auto held = this->values.find(name);
    if (!reset && held != this->values.end() && held->second == value) continue;
    MemberRequest request;
    request.kind = MemberRequestKind::kSetValue;
    request.name = name;
    request.argument = value;
    setup.requests.push_back(request);
  }
  if (statement == nullptr) return setup;
  const auto held = this->prepared.find(*statement);
  if (!reset && held != this->prepared.end()) {
    setup.prepared = held->second;
    return setup;
  }
  MemberRequest request;
  request.kind = MemberRequestKind::kPrepare;
  request.prepared = ++this->last_number;
  request.argument = statement->shape;
  request.prepares_write = statement->writes;
  setup.requests.push_back(request);
  setup.prepared = request.prepared;
  return setup;
}

void LinkState::OnRequestDone(const MemberRequest& request) {
  switch (request.kind) {
    case MemberRequestKind::kReset:
      this->values.clear();
      this->prepared.clear();
      this->prepared_bytes = 0;
      return;
    case MemberRequestKind::kSetValue:
      this->values[request.name] = request.argument;
      return;
    case MemberRequestKind::kPrepare:
      this->prepared[{request.prepares_write, request.argument}] =
          request.prepared;
      this->prepared_bytes += request.argument.size();
      return;
    default:
      return;
  }
}

}  // namespace lacewingferry
