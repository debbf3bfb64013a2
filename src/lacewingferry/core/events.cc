#include "lacewingferry/core/events.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

const char* LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  throw InternalError("event level without a name");
}

const char* EventName(EventCode code) {
  switch (code) {
    case EventCode::kProcessStarted:
      return "process_started";
    case EventCode::kProcessStopping:
      return "process_stopping";
    case EventCode::kProcessStopped:
      return "process_stopped";
    case EventCode::kListening:
      return "listening";
    case EventCode::kInternalError:
      return "internal_error";
    case EventCode::kSettingsReloaded:
      return "settings_reloaded";
    case EventCode::kMemberAnnounced:
      return "member_announced";
    case EventCode::kMemberLost:
      return "member_lost";
    case EventCode::kAnnouncementRejected:
      return "announcement_rejected";
    case EventCode::kConnectionOpened:
      return "connection_opened";
    case EventCode::kMemberAnswerUnreadable:
      return "member_answer_unreadable";
    case EventCode::kConnectionLost:
      return "connection_lost";
    case EventCode::kRequestRefused:
      return "request_refused";
    case EventCode::kRequestUnknown:
      return "request_unknown";
    case EventCode::kRequestServed:
      return "request_served";
    case EventCode::kSessionsClosed:
      return "sessions_closed";
    case EventCode::kSessionNotRelayed:
      return "session_not_relayed";
    case EventCode::kRelayLost:
      return "relay_lost";
    case EventCode::kUnconfirmedWriteAcknowledged:
      return "unconfirmed_write_acknowledged";
    case EventCode::kKeyRefused:
      return "key_refused";
    case EventCode::kKeyWithdrawn:
      return "key_withdrawn";
    case EventCode::kCustomerLimited:
      return "customer_limited";
    case EventCode::kStatementPrepared:
      return "statement_prepared";
    case EventCode::kStatementRepeated:
      return "statement_repeated";
    case EventCode::kReplicaPassedOver:
      return "replica_passed_over";
    case EventCode::kReplicaTakenBack:
      return "replica_taken_back";
    case EventCode::kPeerMessageRejected:
      return "peer_message_rejected";
    case EventCode::kControlReached:
      return "control_reached";
    case EventCode::kControlLost:
      return "control_lost";
    case EventCode::kControlLeaderChanged:
      return "control_leader_changed";
    case EventCode::kControlElectionFailed:
      return "control_election_failed";
    case EventCode::kControlMembersChanged:
      return "control_members_changed";
    case EventCode::kControlSnapshotStored:
      return "control_snapshot_stored";
    case EventCode::kControlLearnerCaughtUp:
      return "control_learner_caught_up";
    case EventCode::kControlReplicaStarted:
      return "control_replica_started";
    case EventCode::kControlJoinWaiting:
      return "control_join_waiting";
    case EventCode::kControlJoinRequested:
      return "control_join_requested";
    case EventCode::kDatabaseAdopted:
      return "database_adopted";
    case EventCode::kPrimarySuspected:
      return "primary_suspected";
    case EventCode::kInquiryEnded:
      return "inquiry_ended";
    case EventCode::kTermBegun:
      return "term_begun";
    case EventCode::kPrimaryChosen:
      return "primary_chosen";
    case EventCode::kPrimaryConfirmed:
      return "primary_confirmed";
    case EventCode::kTailDropped:
      return "tail_dropped";
    case EventCode::kMembersChanged:
      return "members_changed";
    case EventCode::kMemberOrdered:
      return "member_ordered";
    case EventCode::kPrimaryRouted:
      return "primary_routed";
    case EventCode::kPromotionCalled:
      return "promotion_called";
    case EventCode::kLeaseRecalled:
      return "lease_recalled";
    case EventCode::kSuccessorWeighed:
      return "successor_weighed";
    case EventCode::kEndedRunsCovered:
      return "ended_runs_covered";
    case EventCode::kPromotionWritten:
      return "promotion_written";
    case EventCode::kPromotionEnded:
      return "promotion_ended";
    case EventCode::kUnchosenPrimary:
      return "unchosen_primary";
    case EventCode::kFormerLeasesAwaited:
      return "former_leases_awaited";
    case EventCode::kPermitsLost:
      return "permits_lost";
    case EventCode::kNoteAccepted:
      return "note_accepted";
    case EventCode::kNoteRejected:
      return "note_rejected";
    case EventCode::kOperatorRefused:
      return "operator_refused";
    case EventCode::kConfigurationReplaced:
      return "configuration_replaced";
    case EventCode::kConfigurationRefused:
      return "configuration_refused";
    case EventCode::kConfigurationInForce:
      return "configuration_in_force";
  }
  throw InternalError("event code without a name");
}

}  // namespace lacewingferry
