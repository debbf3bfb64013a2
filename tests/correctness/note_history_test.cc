#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "lacewingferry/decisions/configuration/configuration_holder.h"
#include "lacewingferry/decisions/configuration/configuration_state.h"
#include "lacewingferry/decisions/configuration/item_changes.h"
#include "lacewingferry/decisions/configuration/note_evaluation.h"
#include "lacewingferry/decisions/configuration/note_in_force.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

constexpr int kNames = 4;

int Pick(int count) { return *rc::gen::inRange(0, count); }

bool Toss() { return Pick(2) == 0; }

/** Writes notes as operators would who read the configuration at the current or
 * an earlier revision. */
class NoteWriter {
 public:
  /** Returns a new note, an earlier note again, or a note with an earlier
   * identifier and other content. */
  ReleaseNote Write(const std::vector<Configuration>& revisions) {
    if (!this->written.empty() && Pick(4) == 0) {
      return this->written[this->PickWritten()];
    }
    const bool late = Pick(4) == 0;
    const std::size_t seen =
        late
            ? static_cast<std::size_t>(Pick(static_cast<int>(revisions.size())))
            : revisions.size() - 1;
    ReleaseNote note = this->WriteAgainst(revisions[seen]);
    if (!this->written.empty() && Pick(8) == 0) {
      note.id = this->written[this->PickWritten()].id;
    }
    this->written.push_back(note);
    return note;
  }

 private:
  std::size_t PickWritten() {
    return static_cast<std::size_t>(
        Pick(static_cast<int>(this->written.size())));
  }

  ReleaseNote WriteAgainst(const Configuration& seen) {
    ReleaseNote note = EmptyNote("note-" + std::to_string(this->written.size()),
                                 seen.in_force.revision);
    note.author = "operator-" + std::to_string(Pick(3));
    this->AddProxyItem(seen, &note);
    if (Toss()) {
      this->AddGroupItem(seen, &note);
    }
    return note;
  }

  void AddProxyItem(const Configuration& seen, ReleaseNote* note) {
    FrontProxy proxy = SampleProxy(Pick(kNames));
    const auto present = seen.in_force.proxies.find(proxy.id);
    if (present == seen.in_force.proxies.end()) {
      const auto gone = seen.withdrawn_proxies.names.find(proxy.id);
      const bool known = gone != seen.withdrawn_proxies.names.end();
      proxy.generation =
          known && Pick(4) != 0 ? gone->second.generation + 1 : 1;
      note->added.proxies.push_back(proxy);
    } else if (Toss()) {
      note->withdrawn.proxies.push_back(proxy.id);
    } else {
      proxy.generation = present->second.generation;
      proxy.zone = AvailabilityZone("zone-" + std::to_string(Pick(kNames)));
      note->changed.proxies.push_back(proxy);
    }
  }

  void AddGroupItem(const Configuration& seen, ReleaseNote* note) {
    DatabaseGroup group = SampleGroup("group-" + std::to_string(Pick(kNames)));
    group.slots = static_cast<std::uint32_t>(Pick(kNames)) + 1;
    if (seen.in_force.groups.count(group.id) == 0) {
      note->added.groups.push_back(group);
    } else {
      note->changed.groups.push_back(group);
    }
  }

  std::vector<ReleaseNote> written;
};

/** A sequence of submissions and its results. */
struct Run {
  std::vector<ReleaseNote> submitted;
  std::vector<NoteAnswer> answers;
  ConfigurationState state;
};

std::string Encoded(const Configuration& configuration) {
  return detail::EncodeFields(configuration);
}

/** Submits a random sequence of notes and checks each step. */
Run MakeRun() {
  Run run;
  NoteWriter writer;
  std::vector<Configuration> revisions = {Configuration()};
  const int count = Pick(40);
  for (int i = 1; i <= count; ++i) {
    const std::uint64_t before = run.state.Current().in_force.revision;
    run.submitted.push_back(writer.Write(revisions));
    run.answers.push_back(run.state.Apply({run.submitted.back(), {}, ""},
                                          static_cast<std::uint64_t>(i)));
    const NoteAnswer& answer = run.answers.back();
    const bool applied =
        answer.verdict == NoteVerdict::kAccepted && !answer.repeated;
    RC_ASSERT(run.state.Current().in_force.revision ==
              before + (applied ? 1 : 0));
    if (applied) {
      revisions.push_back(run.state.Current());
    }
  }
  return run;
}

class NoteHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoteHistoryTest);
  CPPUNIT_TEST(IsLinearAndAppliesEachNoteOnce);
  CPPUNIT_TEST(NeverRestoresAWithdrawnName);
  CPPUNIT_TEST(AnswersConflictsAndResendsFromTheHistory);
  CPPUNIT_TEST(IsTheSameFromASnapshotAndFromReplay);
  CPPUNIT_TEST(AppliesNoLogEntryTwice);
  CPPUNIT_TEST(IsNeverRevertedAtAProxy);
  CPPUNIT_TEST(IsPrintedAsANoteThatGivesTheSameState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsLinearAndAppliesEachNoteOnce() {
    CPPUNIT_ASSERT(rc::check([] {
      const Run run = MakeRun();
      ConfigurationInForce replayed;
      std::map<NoteId, int> applied;
      for (const HistoryEntry& entry : run.state.Current().history) {
        RC_ASSERT(entry.note.base_revision == replayed.revision);
        RC_ASSERT(++applied[entry.note.id] == 1);
        ApplyItems(entry.note, &replayed);
        RC_ASSERT(entry.revision == replayed.revision);
      }
      RC_ASSERT(replayed == run.state.Current().in_force);
    }));
  }

  void NeverRestoresAWithdrawnName() {
    CPPUNIT_ASSERT(rc::check([] {
      const Run run = MakeRun();
      std::map<NodeId, std::uint32_t> withdrawn;
      ConfigurationInForce replayed;
      for (const HistoryEntry& entry : run.state.Current().history) {
        for (const NodeId& id : entry.note.withdrawn.proxies) {
          withdrawn[id] = replayed.proxies.at(id).generation;
        }
        ApplyItems(entry.note, &replayed);
        for (const auto& [id, proxy] : replayed.proxies) {
          const auto gone = withdrawn.find(id);
          const bool newer =
              gone == withdrawn.end() || proxy.generation > gone->second;
          RC_ASSERT(newer);
        }
      }
    }));
  }

  void AnswersConflictsAndResendsFromTheHistory() {
    CPPUNIT_ASSERT(rc::check([] {
      const Run run = MakeRun();
      const auto& history = run.state.Current().history;
      for (std::size_t i = 0; i < run.answers.size(); ++i) {
        const NoteAnswer& answer = run.answers[i];
        const ReleaseNote& note = run.submitted[i];
        if (answer.verdict == NoteVerdict::kAccepted) {
          RC_ASSERT(history.at(answer.revision - 1).note == note);
        } else if (answer.verdict == NoteVerdict::kConflict) {
          const HistoryEntry& winner = history.at(note.base_revision);
          RC_ASSERT(
              (*answer.winner == NoteWinner{winner.note.id, winner.note.author,
                                            note.base_revision + 1}));
        } else if (answer.verdict == NoteVerdict::kIdReused) {
          RC_ASSERT(answer.winner->id == note.id);
        } else {
          RC_ASSERT(!answer.findings.empty());
        }
      }
    }));
  }

  void IsTheSameFromASnapshotAndFromReplay() {
    CPPUNIT_ASSERT(rc::check([] {
      const Run run = MakeRun();
      const int cut = Pick(static_cast<int>(run.submitted.size()) + 1);
      ConfigurationState early;
      for (int i = 0; i < cut; ++i) {
        early.Apply({run.submitted[i], {}, ""},
                    static_cast<std::uint64_t>(i) + 1);
      }
      const std::string bytes = Encoded(early.Current());
      ConfigurationState restored;
      restored.Restore(
          detail::DecodeFields<Configuration>(bytes.data(), bytes.size()));
      for (std::size_t i = 0; i < run.submitted.size(); ++i) {
        restored.Apply({run.submitted[i], {}, ""}, i + 1);
      }
      RC_ASSERT(Encoded(restored.Current()) == Encoded(run.state.Current()));
      for (const ReleaseNote& note : run.submitted) {
        RC_ASSERT(
            detail::EncodeFields(EvaluateNote(note, restored.Current())) ==
            detail::EncodeFields(EvaluateNote(note, run.state.Current())));
      }
    }));
  }

  void AppliesNoLogEntryTwice() {
    ConfigurationState state;
    state.Apply({FirstNote(), {}, ""}, 5);
    ReleaseNote second = EmptyNote("second", 1);
    second.added.proxies = {SampleProxy(3)};
    state.Apply({second, {}, ""}, 5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.Current().in_force.revision);
    state.Apply({second, {}, ""}, 6);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.Current().in_force.revision);
  }

  void IsNeverRevertedAtAProxy() {
    CPPUNIT_ASSERT(rc::check([] {
      const Run run = MakeRun();
      const auto& history = run.state.Current().history;
      std::uint64_t highest = 0;
      ConfigurationHolder holder([&](const auto& taken) {
        RC_ASSERT(taken->revision > highest);
        highest = taken->revision;
      });
      for (int i = 0; i < 60 && !history.empty(); ++i) {
        const HistoryEntry& entry = history[static_cast<std::size_t>(
            Pick(static_cast<int>(history.size())))];
        const OfferResult result = holder.OfferNote(entry.note, entry.revision);
        if (result == OfferResult::kGap && Toss()) {
          holder.OfferConfiguration(run.state.Current().in_force);
        }
      }
      holder.OfferConfiguration(run.state.Current().in_force);
      RC_ASSERT(*holder.Current() == run.state.Current().in_force);
    }));
  }

  void IsPrintedAsANoteThatGivesTheSameState() {
    CPPUNIT_ASSERT(rc::check([] {
      ConfigurationInForce expected = MakeRun().state.Current().in_force;
      const ReleaseNote note = MakeNoteInForce(expected, "marit");
      RC_PRE(!(note.added == NoteItems()));
      ConfigurationState fresh;
      RC_ASSERT(fresh.Apply({note, {}, ""}, 1).verdict ==
                NoteVerdict::kAccepted);
      expected.revision = 1;
      RC_ASSERT(fresh.Current().in_force == expected);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoteHistoryTest);

}  // namespace
}  // namespace lacewingferry
