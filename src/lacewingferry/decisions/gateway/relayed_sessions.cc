#include "lacewingferry/decisions/gateway/relayed_sessions.h"

#include <algorithm>

namespace lacewingferry {

Admission RelayedSessions::Add(const SessionOpening& opening,
                               const std::vector<NodeId>& owners) {
  Admission admission{AdmissionVerdict::kRelayed, owners};
  const auto first = this->next_owner++ % owners.size();
  std::rotate(admission.owners.begin(),
              admission.owners.begin() + static_cast<std::ptrdiff_t>(first),
              admission.owners.end());
  Session& session = this->sessions[opening.client];
  session.host = opening.host;
  session.state.waits = true;
  return admission;
}

bool RelayedSessions::Ends(const Session& session) const {
  const RelayState& state = session.state;
  if (state.waits) return false;
  const bool idle = state.transaction == TransactionState::kIdle;
  return this->ending_transactions || (this->draining && idle && session.used);
}

void RelayedSessions::OnState(ClientId client, const RelayState& state) {
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  found->second.state = state;
  found->second.used = found->second.used || state.waits;
  if (!this->Ends(found->second)) return;
  this->sessions.erase(found);
  this->close(client);
}

void RelayedSessions::KeepOwners(
    const std::function<const std::vector<NodeId>*(const std::string& host)>&
        owners_of) {
  this->EndWhere([&](const Session& session) {
    const RelayState& state = session.state;
    const bool rests =
        !state.waits && state.transaction == TransactionState::kIdle;
    if (!rests || !session.used) return false;
    const std::vector<NodeId>* owners = owners_of(session.host);
    return owners != nullptr && !owners->empty() &&
           std::find(owners->begin(), owners->end(), state.owner) ==
               owners->end();
  });
}

void RelayedSessions::StartDraining() {
  this->draining = true;
  this->EndWhere(
      [this](const Session& session) { return this->Ends(session); });
}

void RelayedSessions::EndTransactions() {
  this->ending_transactions = true;
  this->EndWhere(
      [this](const Session& session) { return this->Ends(session); });
}

void RelayedSessions::EndWhere(
    const std::function<bool(const Session&)>& ends) {
  std::vector<ClientId> ended;
  for (const auto& [client, session] : this->sessions) {
    if (ends(session)) ended.push_back(client);
  }
  for (const ClientId client : ended) {
    this->sessions.erase(client);
    this->close(client);
  }
}

}  // namespace lacewingferry
