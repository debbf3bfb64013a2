#include "lacewingferry/decisions/gateway/relayed_sessions.h"

#include <algorithm>

namespace lacewingferry {

Admission RelayedSessions::Add(ClientId client,
                               const std::vector<NodeId>& owners) {
  Admission admission{AdmissionVerdict::kRelayed, owners};
  const auto first = this->next_owner++ % owners.size();
  std::rotate(admission.owners.begin(),
              admission.owners.begin() + static_cast<std::ptrdiff_t>(first),
              admission.owners.end());
  this->sessions[client] = RelayState{true, TransactionState::kIdle};
  return admission;
}

bool RelayedSessions::Ends(const RelayState& state) const {
  if (state.waits) return false;
  return this->ending_transactions ||
         (this->draining && state.transaction == TransactionState::kIdle);
}

void RelayedSessions::OnState(ClientId client, const RelayState& state) {
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  found->second = state;
  if (!this->Ends(state)) return;
  this->sessions.erase(found);
  this->close(client);
}

void RelayedSessions::StartDraining() {
  this->draining = true;
  this->EndResting();
}

void RelayedSessions::EndTransactions() {
  this->ending_transactions = true;
  this->EndResting();
}

void RelayedSessions::EndResting() {
  std::vector<ClientId> ended;
  for (const auto& [client, state] : this->sessions) {
    if (this->Ends(state)) ended.push_back(client);
  }
  for (const ClientId client : ended) {
    this->sessions.erase(client);
    this->close(client);
  }
}

}  // namespace lacewingferry
