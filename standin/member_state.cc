#include "standin/member_state.h"

namespace lacewingferry::standin {

bool MemberState::Fence(std::uint64_t new_term) {
  if (new_term < this->term) return false;
  if (new_term == this->term) return this->fenced;
  this->term = new_term;
  this->primary = false;
  this->fenced = true;
  this->followed = Endpoint{};
  return true;
}

bool MemberState::Promote(std::uint64_t new_term) {
  if (new_term != this->term) return false;
  if (this->primary) return true;
  if (!this->fenced) return false;
  this->primary = true;
  this->fenced = false;
  return true;
}

bool MemberState::Follow(std::uint64_t new_term, const Endpoint& primary_log) {
  if (new_term < this->term) return false;
  if (new_term == this->term && this->primary) return false;
  this->term = new_term;
  this->primary = false;
  this->fenced = false;
  this->followed = primary_log;
  return true;
}

bool MemberState::AcceptStream(std::uint64_t stream_term) {
  if (stream_term < this->term) return false;
  if (this->primary || this->fenced || this->followed.port == 0) return false;
  this->term = stream_term;
  return true;
}

}  // namespace lacewingferry::standin
