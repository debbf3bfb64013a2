#ifndef LACEWINGFERRY_CORE_MESSAGES_MEMBERSHIP_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_MEMBERSHIP_MESSAGES_H_

// Defines the messages that spread what is known of backend servers and
// proxies.

#include <chrono>
#include <cstdint>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** A backend server's own report, as it announced it to some proxy. */
struct MemberAnnouncement {
  MemberInfo info;
  /** Whether the member believes that it is its database's primary. */
  bool primary = false;
  /** The highest term that the member was told. */
  std::uint64_t term = 0;
  /** Where the member streams its log to replicas. */
  Endpoint replication_endpoint;
  /** The newest position that the member's log holds. */
  LogPosition position;
  /** Rises with each announcement of one run of the member. */
  std::uint64_t sequence = 0;
  /** Tells the runs of a member apart; a later run has a larger one. */
  std::uint64_t incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("info", self.info);
    visit("primary", self.primary);
    visit("term", self.term);
    visit("replication_endpoint", self.replication_endpoint);
    visit("position", self.position);
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
  }
};

/** A backend server's word that a run of it is about to end. */
struct MemberFarewell {
  MemberId member;
  /** Which run says so; none if it doesn't say, which means the one that is
   * known. */
  std::optional<std::uint64_t> incarnation;
};

/** A proxy's heartbeat to its peers, with what it learned since the last. */
struct MembershipUpdate {
  ProxyInfo sender;
  std::uint64_t incarnation = 0;
  std::vector<MemberAnnouncement> announcements;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
    visit("incarnation", self.incarnation);
    visit("announcements", self.announcements);
  }
};

/** What a process of the system does; only proxies own slots. */
enum class NodeRole : std::uint8_t { kProxy = 0, kControl = 1 };

/** A process of the system as it describes itself. */
struct NodeState {
  ProxyInfo info;
  NodeRole role = NodeRole::kProxy;
  /** Tells the runs of a process apart; a later run has a larger one. */
  std::uint64_t incarnation = 0;
  /** Rises with each change that the process makes to its state. */
  std::uint64_t sequence = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("info", self.info);
    visit("role", self.role);
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
  }
};

/** Orders the records of one process or member. At an equal sequence the
 * record that says it is gone is the newer one. */
struct RecordVersion {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool gone = false;

  friend bool operator<(const RecordVersion& a, const RecordVersion& b) {
    return std::tie(a.incarnation, a.sequence, a.gone) <
           std::tie(b.incarnation, b.sequence, b.gone);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
    visit("gone", self.gone);
  }
};

/** What is known of one process or member. The sequence of a member's record
 * is that of the announcement which changed it last, or for one that is gone
 * that of the last announcement heard. */
struct MembershipRecord {
  std::variant<NodeState, MemberAnnouncement> subject;
  bool gone = false;

  /** Which of two records of one subject is newer. */
  RecordVersion Version() const {
    return std::visit(
        [this](const auto& held) {
          return RecordVersion{held.incarnation, held.sequence, this->gone};
        },
        this->subject);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("subject", self.subject);
    visit("gone", self.gone);
  }
};

/** Carries changed records; repeated until it is acknowledged. */
struct MembershipDelta {
  /** The sender's number for the acknowledgement. */
  std::uint64_t delta_id = 0;
  std::vector<MembershipRecord> records;
  /** Whether a comparison found the records, which may be old news. */
  bool compared = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("delta_id", self.delta_id);
    visit("records", self.records);
    visit("compared", self.compared);
  }
};

/** Acknowledges a MembershipDelta. */
struct MembershipAck {
  std::uint64_t delta_id = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("delta_id", self.delta_id);
  }
};

/** Says that the sender heard a member's announcement. */
struct MemberHeard {
  MemberId member;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /** How long ago the announcement was heard. */
  std::chrono::milliseconds age{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
    visit("incarnation", self.incarnation);
    visit("sequence", self.sequence);
    visit("age", self.age);
  }
};

/** Asks whether the receiver heard a member lately; answered by MemberHeard,
 * or not at all. */
struct MemberInquiry {
  MemberId member;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("member", self.member);
  }
};

/** Says that the sender's run lives. */
struct NodeHeartbeat {
  std::uint64_t incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("incarnation", self.incarnation);
  }
};

/** Asks for a NodeHeartbeat at once. */
struct NodeProbe {
  /** The run that the sender knows of. */
  std::uint64_t incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("incarnation", self.incarnation);
  }
};

/** Begins a comparison of all records: the hash over those that are alive. */
struct MembershipDigest {
  std::uint64_t root = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("root", self.root);
  }
};

/** An availability zone that can't be reached. */
struct UnreachableZone {
  AvailabilityZone zone;
  /** How long nothing has been heard of it. */
  std::chrono::milliseconds silence{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("zone", self.zone);
    visit("silence", self.silence);
  }
};

/** Answers a MembershipDigest: the hash of each bucket, or none when the
 * digests are equal. */
struct MembershipBuckets {
  std::vector<std::uint64_t> hashes;
  std::vector<UnreachableZone> unreachable;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("hashes", self.hashes);
    visit("unreachable", self.unreachable);
  }
};

/** The version of one record, which is named by the hash of its key. */
struct KeyVersion {
  std::uint64_t key = 0;
  RecordVersion version;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("key", self.key);
    visit("version", self.version);
  }
};

/** All versions of the buckets that differ. The receiver sends the records
 * that are newer with it and asks for those that are newer here. */
struct MembershipVersions {
  std::vector<std::uint32_t> buckets;
  std::vector<KeyVersion> versions;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("buckets", self.buckets);
    visit("versions", self.versions);
  }
};

/** Asks for records by the hashes of their keys. */
struct MembershipPull {
  std::vector<std::uint64_t> keys;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("keys", self.keys);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_MEMBERSHIP_MESSAGES_H_
