#include "standin/postgres_server.h"

#include <string>
#include <utility>

#include "standin/log_line.h"

namespace lacewingferry::standin {

using boost::asio::ip::tcp;

PostgresServer::PostgresServer(boost::asio::io_context& context,
                               const PostgresServerSettings& server_settings,
                               PostgresServerHooks server_hooks)
    : settings(server_settings),
      hooks(std::move(server_hooks)),
      listener(std::make_shared<Listener>(context, server_settings.endpoint)) {
  this->listener->Start(
      [this](tcp::socket socket) { this->Add(std::move(socket)); });
}

void PostgresServer::Add(tcp::socket socket) {
  const std::uint32_t number = ++this->last_number;
  PostgresSessionHooks session_hooks{
      [this](std::uint32_t id) { return this->Open(id); },
      [this](std::uint32_t id) { this->Closed(id); }};
  auto session = std::make_shared<PostgresSession>(std::move(socket), number,
                                                   this->settings.delays,
                                                   std::move(session_hooks));
  this->connections[number].session = session;
  session->Start();
}

std::shared_ptr<SqlSession> PostgresServer::Open(std::uint32_t number) {
  if (this->slots_used >= this->settings.slots) {
    LogLine("session_refused",
            {{"slots", std::to_string(this->settings.slots)}});
    throw SqlError("53300", "sorry, too many clients already");
  }
  auto session = this->hooks.open(number);
  ++this->slots_used;
  this->connections[number].has_slot = true;
  return session;
}

void PostgresServer::Closed(std::uint32_t number) {
  const auto found = this->connections.find(number);
  if (found == this->connections.end()) return;
  const bool had_slot = found->second.has_slot;
  this->connections.erase(found);
  if (had_slot && --this->slots_used == 0) this->hooks.idle();
}

void PostgresServer::DemoteSessions() {
  for (const auto& session : this->Sessions()) session->Demote();
}

std::vector<std::shared_ptr<PostgresSession>> PostgresServer::Sessions() const {
  std::vector<std::shared_ptr<PostgresSession>> sessions;
  for (const auto& [number, connection] : this->connections) {
    sessions.push_back(connection.session);
  }
  return sessions;
}

void PostgresServer::DropSessions(const SqlError& reason) {
  for (const auto& session : this->Sessions()) session->Shut(reason);
}

void PostgresServer::Stop() {
  this->listener->Stop();
  for (const auto& session : this->Sessions()) session->Close();
}

}  // namespace lacewingferry::standin
