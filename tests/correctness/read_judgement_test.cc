#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <set>
#include <vector>

#include "lacewingferry/decisions/session/read_validation.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kMembers = 3;

struct Entry {
  std::uint64_t term = 0;
  int id = 0;
  friend bool operator==(const Entry& a, const Entry& b) {
    return a.id == b.id;
  }
};

struct ModelMember {
  std::uint64_t term = 1;
  bool primary = false;
  bool following = true;
  std::vector<Entry> log;
  std::size_t applied = 0;

  LogPosition PositionAt(std::size_t size) const {
    return size == 0 ? LogPosition{}
                     : LogPosition{this->log[size - 1].term, size};
  }
  GroupMemberState Status() const {
    GroupMemberState status;
    status.self = true;
    status.primary = this->primary;
    status.term = this->term;
    status.durable = this->PositionAt(this->log.size());
    status.applied = this->PositionAt(this->applied);
    return status;
  }
};

struct ModelSession {
  LogPosition position;
  /** Entries that the session wrote or read. */
  std::set<int> seen;
};

/** A model of three members, whose logs can diverge and be truncated, and of
 * sessions that write to the primary and read from any member. */
class Model {
 public:
  Model() { this->members[0].primary = true; }

  void Step(std::uint8_t action, std::size_t a, std::size_t b) {
    if (action < 3) this->Replicate(a, b);
    if (action == 3) this->Append(a);
    if (action == 4) this->Append(this->primary);
    if (action == 5) this->Apply(a);
    if (action == 6) this->Replace(a, b);
    if (action == 7) this->Follow(a);
    if (action == 8) this->Write(this->sessions[a % 2]);
    if (action > 8) this->Read(b, this->sessions[a % 2]);
  }

 private:
  void Append(std::size_t at) {
    ModelMember& member = this->members[at];
    if (!member.primary) return;
    member.log.push_back({member.term, this->next_id++});
    member.applied = member.log.size();
  }

  /** Truncates a diverged log, then copies the next missing entry. */
  void Replicate(std::size_t from, std::size_t to) {
    const ModelMember& source = this->members[from];
    ModelMember& target = this->members[to];
    if (from == to || !source.primary || target.primary) return;
    if (target.term != source.term || !target.following) return;
    std::size_t common = 0;
    while (common < std::min(source.log.size(), target.log.size()) &&
           source.log[common] == target.log[common]) {
      ++common;
    }
    target.log.resize(common);
    target.applied = std::min(target.applied, common);
    if (common < source.log.size()) target.log.push_back(source.log[common]);
  }

  void Apply(std::size_t at) {
    ModelMember& member = this->members[at];
    member.applied = std::min(member.applied + 1, member.log.size());
  }

  /** Fences two members with a new term and promotes the one with the longer
   * log. */
  void Replace(std::size_t a, std::size_t b) {
    if (a == b) return;
    ++this->term;
    for (const std::size_t at : {a, b}) {
      this->members[at].term = this->term;
      this->members[at].primary = false;
      this->members[at].following = false;
    }
    const bool first =
        this->members[b].Status().durable < this->members[a].Status().durable;
    this->primary = first ? a : b;
    ModelMember& chosen = this->members[this->primary];
    chosen.primary = true;
    chosen.applied = chosen.log.size();
  }

  void Follow(std::size_t at) {
    if (at == this->primary) return;
    this->members[at].term = this->term;
    this->members[at].primary = false;
    this->members[at].following = true;
  }

  /** The newest position of the current term that is on a majority. */
  LogPosition Confirmed() const {
    std::vector<LogPosition> durable;
    for (const ModelMember& member : this->members) {
      if (member.term != this->term) continue;
      if (!member.following && !member.primary) continue;
      durable.push_back(this->CommonWithPrimary(member));
    }
    if (durable.size() < 2) return {};
    std::sort(durable.rbegin(), durable.rend());
    return durable[1].term == this->term ? durable[1] : LogPosition{};
  }

  LogPosition CommonWithPrimary(const ModelMember& member) const {
    const ModelMember& chosen = this->members[this->primary];
    std::size_t common = 0;
    while (common < std::min(chosen.log.size(), member.log.size()) &&
           chosen.log[common] == member.log[common]) {
      ++common;
    }
    return chosen.PositionAt(common);
  }

  void Write(ModelSession& session) {
    this->Append(this->primary);
    const std::size_t replica = (this->primary + 1) % kMembers;
    const std::size_t missing = this->members[this->primary].log.size();
    for (std::size_t i = 0; i <= missing; ++i) {
      this->Replicate(this->primary, replica);
    }
    const ModelMember& chosen = this->members[this->primary];
    if (this->Confirmed() < chosen.Status().durable) return;
    session.seen.insert(chosen.log.back().id);
    session.position = std::max(session.position, chosen.Status().durable);
  }

  void Read(std::size_t at, ModelSession& session) {
    const ModelMember& member = this->members[at];
    ReadObservation observation;
    observation.before = member.Status();
    observation.after = member.Status();
    observation.primary = at == this->primary;
    observation.counts_toward_majority = true;
    observation.view_term = this->term;
    observation.majority_position = this->Confirmed();
    observation.session_position = session.position;
    const ReadValidation validation = ValidateRead(observation);
    if (validation.refusal) {
      RC_ASSERT(validation.refusal->code != RefusalCode::kTermLost);
      return;
    }
    if (validation.await_confirmation) return;
    std::set<int> shown;
    for (std::size_t i = 0; i < member.applied; ++i) {
      shown.insert(member.log[i].id);
    }
    for (const int id : session.seen) RC_ASSERT(shown.count(id) == 1);
    // Entries above the token's position are not guaranteed to later reads.
    for (std::size_t i = 0; i < member.applied; ++i) {
      if (member.PositionAt(i + 1) <= validation.position) {
        session.seen.insert(member.log[i].id);
      }
    }
    session.position = validation.position;
  }

  std::array<ModelMember, kMembers> members;
  std::array<ModelSession, 2> sessions;
  std::size_t primary = 0;
  std::uint64_t term = 1;
  int next_id = 1;
};

ReadObservation MakeObservation(LogPosition applied, std::uint64_t term,
                                bool primary) {
  ReadObservation observation;
  observation.before.self = true;
  observation.before.primary = primary;
  observation.before.term = term;
  observation.before.durable = applied;
  observation.before.applied = applied;
  observation.after = observation.before;
  observation.primary = primary;
  observation.counts_toward_majority = true;
  observation.view_term = term;
  return observation;
}

class ReadJudgementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadJudgementTest);
  CPPUNIT_TEST(ReadsIncludeAllThatSessionSaw);
  CPPUNIT_TEST(AcceptsSessionPositionOfEarlierTerm);
  CPPUNIT_TEST(RefusesLongerLogOfEarlierTerm);
  CPPUNIT_TEST(PrimaryReadWaitsForMajority);
  CPPUNIT_TEST(LimitsPositionOfEarlierTerm);
  CPPUNIT_TEST(IgnoresMajorityPositionOfOtherTerm);
  CPPUNIT_TEST(LimitsPositionInLargerGroup);
  CPPUNIT_TEST(LimitsPositionAtUncountedMember);
  CPPUNIT_TEST(ReportsLostTerm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsIncludeAllThatSessionSaw() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto steps =
          *rc::gen::container<std::vector<std::array<std::uint8_t, 3>>>(
              150, rc::gen::container<std::array<std::uint8_t, 3>>(
                       rc::gen::inRange<std::uint8_t>(0, 252)));
      Model model;
      for (const auto& step : steps) {
        model.Step(step[0] % 14, step[1] % kMembers, step[2] % kMembers);
      }
    }));
  }

  void AcceptsSessionPositionOfEarlierTerm() {
    ReadObservation observation = MakeObservation({2, 81}, 2, false);
    observation.session_position = LogPosition{1, 80};
    const ReadValidation validation = ValidateRead(observation);
    CPPUNIT_ASSERT(!validation.refusal);
    CPPUNIT_ASSERT((validation.position == LogPosition{2, 81}));
  }

  void RefusesLongerLogOfEarlierTerm() {
    ReadObservation observation = MakeObservation({1, 100}, 1, false);
    observation.session_position = LogPosition{2, 90};
    const ReadValidation validation = ValidateRead(observation);
    CPPUNIT_ASSERT(validation.refusal);
    CPPUNIT_ASSERT(validation.refusal->code ==
                   RefusalCode::kNoReplicaFreshEnough);
  }

  void PrimaryReadWaitsForMajority() {
    ReadObservation observation = MakeObservation({2, 90}, 2, true);
    observation.majority_position = {2, 89};
    CPPUNIT_ASSERT(ValidateRead(observation).await_confirmation);
    observation.majority_position = {2, 90};
    CPPUNIT_ASSERT(!ValidateRead(observation).await_confirmation);
  }

  void LimitsPositionOfEarlierTerm() {
    ReadObservation observation = MakeObservation({1, 100}, 2, false);
    observation.session_position = LogPosition{1, 80};
    observation.majority_position = {1, 85};
    CPPUNIT_ASSERT((ValidateRead(observation).position == LogPosition{1, 85}));
  }

  void IgnoresMajorityPositionOfOtherTerm() {
    ReadObservation observation = MakeObservation({2, 1}, 3, false);
    observation.majority_position = {3, 1};
    CPPUNIT_ASSERT((ValidateRead(observation).position == LogPosition{}));
  }

  void LimitsPositionInLargerGroup() {
    ReadObservation observation = MakeObservation({2, 100}, 2, false);
    observation.group_size = 5;
    observation.majority_position = {2, 97};
    CPPUNIT_ASSERT((ValidateRead(observation).position == LogPosition{2, 97}));
  }

  void LimitsPositionAtUncountedMember() {
    ReadObservation observation = MakeObservation({2, 100}, 2, false);
    observation.counts_toward_majority = false;
    observation.majority_position = {2, 97};
    CPPUNIT_ASSERT((ValidateRead(observation).position == LogPosition{2, 97}));
  }

  void ReportsLostTerm() {
    ReadObservation observation = MakeObservation({2, 90}, 3, true);
    observation.session_position = LogPosition{2, 95};
    CPPUNIT_ASSERT(ValidateRead(observation).refusal->code ==
                   RefusalCode::kTermLost);
    observation.session_position = LogPosition{4, 1};
    CPPUNIT_ASSERT(ValidateRead(observation).refusal->code ==
                   RefusalCode::kNoPrimary);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadJudgementTest);

}  // namespace
}  // namespace lacewingferry
