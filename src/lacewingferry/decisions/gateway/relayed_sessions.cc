#include "lacewingferry/decisions/gateway/relayed_sessions.h"

#include <algorithm>

namespace lacewingferry {

Admission RelayedSessions::Add(const SessionOpening& opening,
                               const CustomerId& customer,
                               const std::vector<NodeId>& owners) {
  Admission admission{AdmissionResult::kRelayed, owners};
  if (customer.Empty()) {
    const auto first = this->next_owner++ % owners.size();
    std::rotate(admission.owners.begin(),
                admission.owners.begin() + static_cast<std::ptrdiff_t>(first),
                admission.owners.end());
  }
  Session& session = this->sessions[opening.client];
  session.host = opening.host;
  session.key = opening.key;
  session.customer = customer;
  session.state.awaiting_answer = true;
  return admission;
}

bool RelayedSessions::ShouldClose(const Session& session) const {
  const RelayState& state = session.state;
  if (state.awaiting_answer) return false;
  const bool idle = state.transaction == TransactionState::kIdle;
  return this->ending_transactions ||
         (this->draining && idle && session.has_sent);
}

void RelayedSessions::OnState(ClientId client, const RelayState& state) {
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  found->second.state = state;
  found->second.has_sent = found->second.has_sent || state.awaiting_answer;
  if (!this->ShouldClose(found->second)) return;
  this->sessions.erase(found);
  this->close(client);
}

void RelayedSessions::CloseWithFormerOwners(
    const std::function<const std::vector<NodeId>*(const std::string& host)>&
        owners_of) {
  this->CloseWhere([&](const Session& session) {
    const RelayState& state = session.state;
    const bool is_idle =
        !state.awaiting_answer && state.transaction == TransactionState::kIdle;
    if (!is_idle || !session.has_sent) return false;
    const std::vector<NodeId>* owners = owners_of(session.host);
    return owners != nullptr && !owners->empty() &&
           std::find(owners->begin(), owners->end(), state.owner) ==
               owners->end();
  });
}

std::size_t RelayedSessions::MarkWithdrawn(const HoldsKey& holds_key) {
  std::size_t marked = 0;
  for (auto& item : this->sessions) {
    Session& session = item.second;
    session.key_withdrawn =
        !holds_key(session.host, session.key, session.customer);
    marked += session.key_withdrawn;
  }
  return marked;
}

void RelayedSessions::CloseWithdrawn(bool also_open) {
  this->CloseWhere([also_open](const Session& session) {
    const RelayState& state = session.state;
    return session.key_withdrawn && !state.awaiting_answer &&
           (also_open || state.transaction == TransactionState::kIdle);
  });
}

void RelayedSessions::StartDraining() {
  this->draining = true;
  this->CloseWhere(
      [this](const Session& session) { return this->ShouldClose(session); });
}

void RelayedSessions::EndTransactions() {
  this->ending_transactions = true;
  this->CloseWhere(
      [this](const Session& session) { return this->ShouldClose(session); });
}

void RelayedSessions::CloseWhere(
    const std::function<bool(const Session&)>& should_close) {
  std::vector<ClientId> ended;
  for (const auto& [client, session] : this->sessions) {
    if (should_close(session)) ended.push_back(client);
  }
  for (const ClientId client : ended) {
    this->sessions.erase(client);
    this->close(client);
  }
}

}  // namespace lacewingferry
