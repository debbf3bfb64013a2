#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_FAULTS_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_FAULTS_H_

// Defines the faults that tests inject to verify that they detect them.

namespace lacewingferry {

/** All faults are off outside of tests. */
struct MembershipFaults {
  /** Compares the sequences of records without their incarnations. */
  bool ignore_incarnation = false;
  /** Accepts records that are older than the stored one. */
  bool accept_older = false;
  /** Keeps processes that are gone in the topology, so that lost relays are not
   * replaced. */
  bool keep_lost_relays = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_FAULTS_H_
