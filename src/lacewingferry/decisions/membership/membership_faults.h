#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_FAULTS_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_FAULTS_H_

// Defines the faults that tests seed to show that they would catch them.

namespace lacewingferry {

/** Each fault is off in every program. */
struct MembershipFaults {
  /** Compares sequences without regard to the run that counted them. */
  bool ignore_incarnation = false;
  /** Takes any record, also one that is older than the one held. */
  bool accept_older = false;
  /** Keeps relays in office that are gone. */
  bool keep_lost_relays = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBERSHIP_FAULTS_H_
