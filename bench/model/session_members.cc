#include "bench/model/session_members.h"

#include <algorithm>
#include <utility>

namespace lacewingferry::model {
namespace {

bool Writes(const std::string& text) { return text.rfind("STORE", 0) == 0; }
bool Reads(const std::string& text) { return text.rfind("LOOKUP", 0) == 0; }

MemberReply Refusal(StatementError error, bool in_transaction) {
  MemberReply reply;
  reply.error = error;
  reply.state =
      in_transaction ? TransactionState::kOpen : TransactionState::kIdle;
  return reply;
}

}  // namespace

SessionMembers::SessionMembers(EventQueue& event_queue,
                               SessionMembersHooks members_hooks)
    : queue(event_queue), hooks(std::move(members_hooks)) {}

void SessionMembers::Add(const SessionMemberTraits& traits) {
  Member& member = this->members[traits.id];
  member.traits = traits;
  member.log = LogPosition{1, 0};
}

void SessionMembers::Open(LinkId link, const LinkTarget& target) {
  this->links[link].member = target.member;
  this->links[link].customer = target.customer;
  Member& member = this->members.at(target.member);
  ++member.openings;
  if (member.traits.silent) return;
  this->queue.After(member.traits.way, [this, link] {
    const auto found = this->links.find(link);
    if (found == this->links.end()) return;
    const Member& opened = this->members.at(found->second.member);
    if (!opened.alive) {
      this->links.erase(found);
      this->hooks.lost(link);
      return;
    }
    found->second.open = true;
    this->hooks.opened(link, opened.log);
  });
}

void SessionMembers::Send(LinkId link,
                          const std::vector<MemberRequest>& requests) {
  const auto found = this->links.find(link);
  if (found == this->links.end()) return;
  const Member& member = this->members.at(found->second.member);
  if (member.traits.silent) return;
  this->queue.After(member.traits.way / 2, [this, link, requests] {
    const auto sent = this->links.find(link);
    if (sent == this->links.end()) return;
    for (const MemberRequest& request : requests) {
      sent->second.requests.push_back(request);
    }
    this->Next(link);
  });
}

void SessionMembers::Next(LinkId id) {
  const auto found = this->links.find(id);
  if (found == this->links.end()) return;
  Link& link = found->second;
  if (link.running || link.requests.empty()) return;
  link.running = true;
  const MemberRequest request = std::move(link.requests.front());
  link.requests.pop_front();
  this->Run(id, request);
}

bool SessionMembers::TakesSlot(const Link& link,
                               const MemberRequest& request) const {
  const std::string text = this->TextOf(link, request);
  return Reads(text) || Writes(text) || text == "COMMIT";
}

std::string SessionMembers::TextOf(const Link& link,
                                   const MemberRequest& request) const {
  if (request.kind == MemberRequestKind::kStatement) return request.text;
  if (request.kind != MemberRequestKind::kExecute) return "";
  const auto prepared = link.prepared.find(request.prepared);
  if (prepared == link.prepared.end()) return "";
  return (prepared->second.prepares_write ? "STORE " : "LOOKUP ") +
         request.argument;
}

void SessionMembers::Run(LinkId id, const MemberRequest& request) {
  Link& link = this->links.at(id);
  Member& member = this->members.at(link.member);
  if (!this->TakesSlot(link, request)) {
    this->Finish(id, this->Execute(id, request));
    return;
  }
  const auto start = [this, id, request, name = link.member] {
    Member& serving = this->members.at(name);
    ++serving.busy;
    serving.most_busy = std::max(serving.most_busy, serving.busy);
    this->queue.After(serving.traits.work, [this, id, request, name] {
      Member& served = this->members.at(name);
      --served.busy;
      if (this->links.count(id) > 0) {
        this->Finish(id, this->Execute(id, request));
      }
      if (served.waiting.empty()) return;
      const auto next = std::move(served.waiting.front());
      served.waiting.pop_front();
      next();
    });
  };
  if (member.busy < member.traits.slots) {
    start();
  } else if (member.waiting.size() < member.traits.queue) {
    member.waiting.push_back(start);
  } else {
    this->Finish(id, Refusal(StatementError::kBusy, link.in_transaction));
  }
}

MemberReply SessionMembers::Execute(LinkId id, const MemberRequest& request) {
  Link& link = this->links.at(id);
  const Member& member = this->members.at(link.member);
  if (request.least_position && member.log < *request.least_position) {
    return Refusal(StatementError::kLagging, link.in_transaction);
  }
  const std::string text = this->TextOf(link, request);
  const bool writes = Writes(text);
  if ((writes || text == "BEGIN") && !member.traits.primary) {
    return Refusal(StatementError::kReadOnly, false);
  }
  switch (request.kind) {
    case MemberRequestKind::kReset:
      link.values.clear();
      link.prepared.clear();
      break;
    case MemberRequestKind::kSetValue:
      link.values[request.name] = request.argument;
      break;
    case MemberRequestKind::kPrepare:
      link.prepared[request.prepared] = request;
      break;
    case MemberRequestKind::kRollback:
      link.in_transaction = false;
      break;
    case MemberRequestKind::kExecute:
      if (text.empty()) {
        return Refusal(StatementError::kUnknownPrepared, link.in_transaction);
      }
      break;
    default:
      break;
  }
  if (!request.id.Empty()) {
    this->runs.push_back({link.member, request.id, text, id, link.customer,
                          link.values, link.in_transaction, member.log,
                          this->queue.Now()});
  }
  if (text.rfind("BEGIN", 0) == 0) {
    link.in_transaction = true;
    link.wrote = false;
  } else if (text == "COMMIT") {
    if (link.wrote) this->Commit(link, request.id);
    link.in_transaction = false;
  } else if (writes && link.in_transaction) {
    link.wrote = true;
  } else if (writes) {
    this->Commit(link, request.id);
  }
  MemberReply reply;
  if (Reads(text)) reply.rows = {"row"};
  if (!text.empty()) reply.digest = "digest-" + request.id.Value();
  reply.state =
      link.in_transaction ? TransactionState::kOpen : TransactionState::kIdle;
  reply.position = this->members.at(link.member).log;
  return reply;
}

void SessionMembers::Commit(const Link& link, const RequestId& request) {
  Member& primary = this->members.at(link.member);
  ++primary.log.offset;
  this->commits[request] = primary.log;
  for (auto& [id, member] : this->members) {
    if (id == link.member) continue;
    this->queue.After(member.traits.lag,
                      [this, name = id, position = primary.log] {
                        LogPosition& log = this->members.at(name).log;
                        log = std::max(log, position);
                      });
  }
}

void SessionMembers::Finish(LinkId id, MemberReply reply) {
  Link& link = this->links.at(id);
  link.running = false;
  const Member& member = this->members.at(link.member);
  const bool lost = member.traits.loses_answers && !reply.digest.empty();
  if (!lost) {
    this->queue.After(member.traits.way / 2, [this, id, reply] {
      if (this->links.count(id) > 0) this->hooks.reply(id, reply);
    });
  }
  this->Next(id);
}

void SessionMembers::Close(LinkId link) { this->links.erase(link); }

void SessionMembers::Break(const MemberId& id) {
  std::vector<LinkId> broken;
  for (const auto& [link, state] : this->links) {
    if (state.member == id) broken.push_back(link);
  }
  for (const LinkId link : broken) {
    if (this->links.erase(link) > 0) this->hooks.lost(link);
  }
}

void SessionMembers::Kill(const MemberId& id) {
  this->members.at(id).alive = false;
  this->Break(id);
}

void SessionMembers::Promote(const MemberId& id) {
  for (auto& [name, member] : this->members) {
    member.traits.primary = name == id;
  }
  Member& primary = this->members.at(id);
  primary.log = LogPosition{primary.log.term + 1, primary.log.offset};
}

LogPosition SessionMembers::PositionOf(const MemberId& id) const {
  return this->members.at(id).log;
}

std::size_t SessionMembers::OpenLinks(const MemberId& id) const {
  return static_cast<std::size_t>(std::count_if(
      this->links.begin(), this->links.end(), [&id](const auto& item) {
        return item.second.member == id && item.second.open;
      }));
}

}  // namespace lacewingferry::model
