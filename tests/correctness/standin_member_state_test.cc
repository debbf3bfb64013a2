#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "standin/member_state.h"

namespace lacewingferry::testing {
namespace {

using standin::MemberState;

/** Applies a random order to a member and tells whether it was accepted. */
bool ApplyRandomOrder(MemberState& state) {
  const auto term = *rc::gen::inRange<std::uint64_t>(0, 6);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return state.Fence(term);
    case 1:
      return state.Promote(term);
    case 2:
      return state.Follow(term, Endpoint{"127.0.0.1", 1});
    default:
      return state.AcceptStream(term);
  }
}

class StandinMemberStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinMemberStateTest);
  CPPUNIT_TEST(TermNeverFalls);
  CPPUNIT_TEST(PromisesHoldAfterAFence);
  CPPUNIT_TEST(RefusalChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TermNeverFalls() {
    CPPUNIT_ASSERT(rc::check([] {
      MemberState state;
      for (int i = 0; i < 20; ++i) {
        const std::uint64_t before = state.term;
        ApplyRandomOrder(state);
        RC_ASSERT(state.term >= before);
        RC_ASSERT(!(state.primary && state.fenced));
      }
    }));
  }

  void PromisesHoldAfterAFence() {
    CPPUNIT_ASSERT(rc::check([] {
      MemberState state;
      for (int i = 0; i < 10; ++i) ApplyRandomOrder(state);
      const std::uint64_t fence = state.term + 1;
      RC_ASSERT(state.Fence(fence));
      RC_ASSERT(!state.primary && state.followed.port == 0);
      RC_ASSERT(!state.AcceptStream(fence - 1) && !state.AcceptStream(fence));
      RC_ASSERT(!state.Follow(fence - 1, Endpoint{"127.0.0.1", 1}));
      RC_ASSERT(!state.Promote(fence - 1) && !state.Promote(fence + 1));
    }));
  }

  void RefusalChangesNothing() {
    CPPUNIT_ASSERT(rc::check([] {
      MemberState state;
      for (int i = 0; i < 20; ++i) {
        const MemberState before = state;
        if (ApplyRandomOrder(state)) continue;
        RC_ASSERT(state.term == before.term && state.primary == before.primary);
        RC_ASSERT(state.fenced == before.fenced);
        RC_ASSERT(state.followed == before.followed);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinMemberStateTest);

}  // namespace
}  // namespace lacewingferry::testing
