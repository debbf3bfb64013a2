#ifndef LACEWINGFERRY_CORE_IDS_H_
#define LACEWINGFERRY_CORE_IDS_H_

// Defines the identifiers of everything that the system names.

#include "lacewingferry/core/strong_id.h"

namespace lacewingferry {

namespace detail {
struct NodeTag {};
struct MemberTag {};
struct DatabaseTag {};
struct GroupTag {};
struct AvailabilityZoneTag {};
struct SessionTag {};
struct CustomerTag {};
struct RequestTag {};
struct TransactionTag {};
struct NoteTag {};
struct VoterTag {};
}  // namespace detail

/** A process of the system: a proxy or a control process. */
using NodeId = StrongId<detail::NodeTag>;

/** A backend server: one member of a database's replicated set. */
using MemberId = StrongId<detail::MemberTag>;

/** A replicated database, for example permit-db-1. */
using DatabaseId = StrongId<detail::DatabaseTag>;

/** A database group of a release note, for example permit-db. */
using GroupId = StrongId<detail::GroupTag>;

/** An availability zone, for example nh-a. */
using AvailabilityZone = StrongId<detail::AvailabilityZoneTag>;

/** A caller's session, which may roam between proxies. */
using SessionId = StrongId<detail::SessionTag>;

/** The customer on whose behalf a session acts. */
using CustomerId = StrongId<detail::CustomerTag>;

/** The caller's identifier for a request that runs at most once. */
using RequestId = StrongId<detail::RequestTag>;

/** A transaction opened through a proxy. */
using TransactionId = StrongId<detail::TransactionTag>;

/** The operator's identifier for a release note, kept over resends. */
using NoteId = StrongId<detail::NoteTag>;

/** A voter or learner of the control log. It is made at random on an empty
 * disk and lives there: a VM that lost its disk is a new voter. */
using VoterId = StrongId<detail::VoterTag>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_IDS_H_
