#ifndef LACEWINGFERRY_CORE_EVENTS_H_
#define LACEWINGFERRY_CORE_EVENTS_H_

// Defines Event, a numbered entry of the logs and of the time line.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lacewingferry {

/** The number of each event. docs/EVENTS.md lists them; a test keeps the two
 * equal. Numbers are never used again. */
enum class EventCode : std::uint16_t {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kListening = 1004,
  kInternalError = 1005,
  kSettingsReloaded = 1006,
  kMemberAnnounced = 2001,
  kMemberLost = 2002,
  kAnnouncementRejected = 2003,
  kConnectionOpened = 3001,
  kConnectionLost = 3002,
  kMemberAnswerUnreadable = 3003,
  kRequestRefused = 3101,
  kRequestUnknown = 3102,
  kRequestServed = 3103,
  kSessionsClosed = 3104,
  kSessionNotRelayed = 3105,
  kRelayLost = 3106,
  kUnconfirmedWriteAcknowledged = 3107,
  kKeyRefused = 3108,
  kKeyWithdrawn = 3109,
  kCustomerLimited = 3110,
  kStatementPrepared = 3111,
  kStatementRepeated = 3112,
  kReplicaPassedOver = 3201,
  kReplicaTakenBack = 3202,
  kPeerMessageRejected = 4001,
  kControlReached = 4002,
  kControlLost = 4003,
  kControlLeaderChanged = 4004,
  kControlElectionFailed = 4005,
  kControlMembersChanged = 4006,
  kControlSnapshotStored = 4007,
  kControlLearnerCaughtUp = 4008,
  kControlReplicaStarted = 4009,
  kControlJoinWaiting = 4010,
  kControlJoinRequested = 4011,
  kDatabaseAdopted = 5001,
  kPrimarySuspected = 5002,
  kInquiryEnded = 5003,
  kTermBegun = 5004,
  kPrimaryChosen = 5005,
  kPrimaryConfirmed = 5006,
  kTailDropped = 5007,
  kMembersChanged = 5008,
  kMemberOrdered = 5009,
  kPrimaryRouted = 5104,
  kPromotionCalled = 5201,
  kLeaseRecalled = 5202,
  kSuccessorWeighed = 5203,
  kEndedRunsCovered = 5204,
  kPromotionWritten = 5205,
  kPromotionEnded = 5206,
  kUnchosenPrimary = 5207,
  kFormerLeasesAwaited = 5208,
  kPermitsLost = 5301,
  kNoteAccepted = 6001,
  kNoteRejected = 6002,
  kOperatorRefused = 6003,
  kConfigurationReplaced = 6101,
  kConfigurationRefused = 6102,
  kConfigurationInForce = 6103,
};

/** How serious an event is. */
enum class EventLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/** One entry of the log: a number and its named fields. */
struct Event {
  EventCode code = EventCode::kInternalError;
  EventLevel level = EventLevel::kInfo;
  std::vector<std::pair<std::string, std::string>> fields{};
};

/** The name of a level in the log: debug, info, warning or error. */
const char* LevelName(EventLevel level);

/** The name of an event in the log, for example process_started. */
const char* EventName(EventCode code);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_EVENTS_H_
