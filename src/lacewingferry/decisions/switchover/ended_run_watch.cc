#include "lacewingferry/decisions/switchover/ended_run_watch.h"

#include <utility>

namespace lacewingferry {

using std::chrono::steady_clock;

EndedRunWatch::EndedRunWatch(const SwitchoverContext& shared,
                             DatabaseId database_id)
    : context(shared), database(std::move(database_id)) {}

const std::vector<EndedRun>& EndedRunWatch::Runs() const {
  return this->context.ended_runs.Of(this->database).runs;
}

void EndedRunWatch::OnTick(steady_clock::time_point now) {
  if (this->Runs().empty()) this->over_since.clear();
  for (const EndedRun& ended : this->Runs()) {
    if (this->over_since.count(ended.run) > 0) continue;
    if (this->BeganAnew(ended.run)) {
      this->over_since[ended.run] = now;
    } else {
      this->Ask(ended);
    }
  }
}

bool EndedRunWatch::BeganAnew(const MemberRun& run) const {
  const MemberAnnouncement* known = this->context.roster.Find(run.member);
  return known != nullptr && known->info.database == this->database &&
         known->incarnation > run.incarnation;
}

void EndedRunWatch::Ask(const EndedRun& ended) {
  if (!this->awaiting_answer.insert(ended.run.member).second) return;
  const std::weak_ptr<EndedRunWatch> weak = this->weak_from_this();
  this->context.hooks.admin.ask(
      LinkTarget{this->database, ended.run.member, ended.endpoint},
      AdminRequest(MemberRequestKind::kStatus),
      this->context.settings.answer_timeout,
      [weak, ended](const AdminAnswer& answer) {
        const auto self = weak.lock();
        if (!self) return;
        self->awaiting_answer.erase(ended.run.member);
        const bool over =
            answer.response == MemberResponse::kRefused ||
            (answer.response == MemberResponse::kSilent && !ended.displaced);
        if (over) self->over_since[ended.run] = self->context.hooks.now();
      });
}

std::vector<MemberRun> EndedRunWatch::OverAt(
    steady_clock::time_point time) const {
  std::vector<MemberRun> over;
  for (const EndedRun& ended : this->Runs()) {
    const auto since = this->over_since.find(ended.run);
    if (since == this->over_since.end() || since->second > time) continue;
    over.push_back(ended.run);
  }
  return over;
}

}  // namespace lacewingferry
