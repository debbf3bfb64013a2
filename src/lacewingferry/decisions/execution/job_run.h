#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_JOB_RUN_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_JOB_RUN_H_

// Defines JobRun, the steps of one request on one connection.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/job.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/decisions/execution/flight.h"
#include "lacewingferry/decisions/execution/request_record.h"

namespace lacewingferry {

/** How old the data is that includes a position: the proven time for which it
 * may lack writes. None if nothing is proven. */
using AgeHook =
    std::function<std::optional<std::chrono::nanoseconds>(const LogPosition&)>;

/** What a run knows of its member when it starts. */
struct RunContext {
  MemberId member;
  bool primary = false;
  std::uint64_t term = 0;
  std::uint32_t group_size = 3;
  /** Whether the member is one of those that a majority is counted of. */
  bool counted = false;
  /** A name for a new transaction. */
  std::function<TransactionId()> next_transaction;
  AgeHook age_of;
};

/** What doesn't differ between the runs of an executor. */
struct RunSettings {
  AnswerCodec codec;
};

/** What may be done with the connection after a run's last flight. */
enum class ConnectionFate : std::uint8_t {
  /** It is clean. */
  kReusable,
  /** It belongs to the open transaction. */
  kPinned,
  /** Its state is in doubt. */
  kClose,
};

/** An answer that may leave only once its position is confirmed. */
struct HeldAnswer {
  Outcome answer;
  LogPosition position;
  /** What is said if that never comes. */
  Outcome otherwise;
};

/** What follows a flight. At most one of next and fate is set; outcome and
 * held may come with either. */
struct RunStep {
  /** Another flight on the same connection. */
  std::optional<MemberBatch> next;
  std::optional<ConnectionFate> fate;
  /** The request's outcome, to be told now. */
  std::optional<Outcome> outcome;
  std::optional<HeldAnswer> held;
  /** What the member said of the group. */
  std::vector<GroupMemberState> status;
};

/**
 * Runs one request. An identified write takes two flights: the first records
 * the identifier, checks the term and runs the statement; the second stores
 * the answer beside the identifier and commits. Nothing has happened before
 * the second is sent.
 *
 *   claim -> store                        the first run
 *   claim -> find                         a resend: the stored answer
 *   claim -> create table -> claim        the first identified write at all
 *
 * A flight that fails is followed by a clean-up, so that a rejected statement
 * costs no connection.
 */
class JobRun {
 public:
  JobRun(Job job, RunContext context, const RunSettings* settings);

  /** The first flight. */
  const MemberBatch& Start() const { return this->flight.batch; }

  /** Takes the result of the flight that was sent last. Throws DecodeError
   * for an answer of another form; the caller then treats the connection as
   * lost. */
  RunStep OnResult(const MemberBatchResult& result);

  /** What is known of the request if the connection is lost now; none if its
   * outcome was told. */
  std::optional<Outcome> OnLost() const;

  /** Gives up on a request whose caller no longer waits, and returns what is
   * known of it. Call once, while the request is undecided. The connection
   * stays in use until its flight ends. */
  Outcome Abandon();

  const Job& TheJob() const { return this->job; }
  std::uint64_t Term() const { return this->context.term; }

  /** Whether a commit is on its way, so that its effect is not known. */
  bool CommitSent() const;

  /** Whether the request has no outcome yet. */
  bool Undecided() const { return this->undecided; }

 private:
  RunStep OnSuccess(const MemberBatchResult& result);
  RunStep OnFailure(const MemberBatchResult& result);
  RunStep OnIdentifierFailure(const MemberBatchResult& result);
  RunStep OnRead(const MemberBatchResult& result);
  RunStep OnCommitted(const MemberBatchResult& result);
  RunStep OnClaimed(const MemberBatchResult& result);
  RunStep OnFound(const MemberBatchResult& result);
  RunStep OnVoided(const MemberBatchResult& result);
  RunStep OnBegun(const MemberBatchResult& result);
  RunStep OnStatement(const MemberBatchResult& result);

  RunStep Continue(FlightKind kind, const std::string& answer = "");
  RunStep Finish(Outcome outcome, ConnectionFate fate);
  RunStep CleanUp(Outcome outcome);
  RunStep Hold(Outcome answer, const std::vector<GroupMemberState>& rows);
  bool Leads(const std::vector<GroupMemberState>& rows) const;
  Answered MakeAnswer() const;

  Job job;
  RunContext context;
  const RunSettings* settings;
  Flight flight;
  /** The rows of an identified write between its two flights. */
  ResultSet claimed_rows;
  bool created_table = false;
  bool undecided = true;
  bool abandoned = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_JOB_RUN_H_
