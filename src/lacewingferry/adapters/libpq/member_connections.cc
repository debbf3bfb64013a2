#include "lacewingferry/adapters/libpq/member_connections.h"

#include <utility>

#include "lacewingferry/adapters/libpq/pg_connection.h"

namespace lacewingferry {

MemberConnections::MemberConnections(boost::asio::io_context& context,
                                     MemberDialect members_dialect,
                                     EventPort event_log)
    : io(context),
      dialect(std::move(members_dialect)),
      log(std::move(event_log)) {}

MemberConnections::~MemberConnections() {
  for (auto& entry : this->connections) entry.second->Close();
}

MemberPort MemberConnections::Port() {
  return MemberPort{
      [this](ConnectionId id, const MemberInfo& info) { this->Open(id, info); },
      [this](ConnectionId id, const MemberBatch& batch) {
        this->Execute(id, batch);
      },
      [this](ConnectionId id) { this->Close(id); }};
}

void MemberConnections::SetEvents(MemberEvents member_events) {
  this->events = std::move(member_events);
}

void MemberConnections::Open(ConnectionId id, const MemberInfo& info) {
  PgConnectionHooks hooks;
  hooks.opened = [this, id] { this->events.opened(id); };
  hooks.completed = [this, id](const MemberBatchResult& result) {
    this->events.completed(id, result);
  };
  hooks.unreadable = [this, member = info.id](const std::string& reason) {
    this->log.record(Event{EventCode::kMemberAnswerUnreadable,
                           EventLevel::kWarning,
                           {{"member", member.Value()}, {"reason", reason}}});
  };
  hooks.lost = [this, id](ConnectionFailure failure) {
    this->connections.erase(id);
    this->events.lost(id, failure);
  };
  auto connection =
      std::make_shared<PgConnection>(this->io, this->dialect, std::move(hooks));
  this->connections.emplace(id, connection);
  connection->Open(info);
}

void MemberConnections::Execute(ConnectionId id, const MemberBatch& batch) {
  const auto found = this->connections.find(id);
  if (found != this->connections.end()) found->second->Execute(batch);
}

void MemberConnections::Close(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  const std::shared_ptr<PgConnection> connection = found->second;
  this->connections.erase(found);
  connection->Close();
}

}  // namespace lacewingferry
