#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_JOB_RUN_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_JOB_RUN_H_

// JobRun runs the steps of one request on one connection.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/job.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/decisions/execution/request_batch.h"
#include "lacewingferry/decisions/execution/request_record.h"

namespace lacewingferry {

/** Returns the proven upper bound on the age of data that includes a log
 * position; none if no bound is proven. */
using AgeHook =
    std::function<std::optional<std::chrono::nanoseconds>(const LogPosition&)>;

/** The state of the member when the run starts. */
struct RunContext {
  MemberId member;
  bool primary = false;
  std::uint64_t term = 0;
  std::uint32_t group_size = 3;
  /** Whether the member counts towards a majority. */
  bool counted = false;
  /** Returns the identifier of a new transaction. */
  std::function<TransactionId()> next_transaction;
  AgeHook age_of;
};

/** Settings shared by all runs of an executor. */
struct RunSettings {
  AnswerCodec codec;
};

/** What happens to the connection after the last batch of a run. */
enum class ConnectionDisposition : std::uint8_t {
  /** It is clean and returns to the pool. */
  kReusable,
  /** It stays reserved for the open transaction. */
  kPinned,
  /** Its state is unknown, so it is closed. */
  kClose,
};

/** An answer that may be sent only once its position is confirmed. */
struct HeldAnswer {
  Outcome answer;
  LogPosition position;
  /** Sent instead if the position is not confirmed. */
  Outcome fallback;
};

/** What to do after a batch. At most one of next and disposition is set;
 * outcome and held may be set with either. */
struct RunStep {
  /** The next batch on the same connection. */
  std::optional<MemberBatch> next;
  std::optional<ConnectionDisposition> disposition;
  /** The request's outcome, to be sent to the caller now. */
  std::optional<Outcome> outcome;
  std::optional<HeldAnswer> held;
  /** The group state that the member reported. */
  std::vector<GroupMemberState> status;
};

/**
 * Runs one request. A write with a request identifier takes two batches: the
 * first records the identifier, checks the term and runs the statement; the
 * second stores the answer with the identifier and commits. Nothing can be
 * committed before the second is sent.
 *
 *   claim -> store                        the first run
 *   claim -> find                         a resend: returns the stored answer
 *   claim -> create table -> claim        the table does not exist yet
 *
 * A failed batch is followed by a rollback, so that the connection of a
 * rejected statement can be reused.
 */
class JobRun {
 public:
  JobRun(Job job, RunContext context, const RunSettings* settings);

  /** Returns the first batch. */
  const MemberBatch& Start() const { return this->request_batch.batch; }

  /** Handles the result of the batch sent last. Throws DecodeError if the
   * result is malformed; the caller then treats the connection as lost. */
  RunStep OnResult(const MemberBatchResult& result);

  /** Returns the outcome of the request if the connection is lost now; none if
   * the request already has an outcome. */
  std::optional<Outcome> OnLost() const;

  /** Stops waiting for a request whose deadline has passed, and returns its
   * outcome. Call once, while the request is undecided. The connection stays in
   * use until the running batch ends. */
  Outcome Abandon();

  const Job& GetJob() const { return this->job; }
  std::uint64_t Term() const { return this->context.term; }

  /** Whether a commit was sent, so that its effect is unknown until the result
   * arrives. */
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

  RunStep Continue(RequestBatchKind kind, const std::string& answer = "");
  RunStep Finish(Outcome outcome, ConnectionDisposition disposition);
  RunStep CleanUp(Outcome outcome);
  RunStep Hold(Outcome answer, const std::vector<GroupMemberState>& rows);
  bool IsPrimaryOfTerm(const std::vector<GroupMemberState>& rows) const;
  Answered MakeAnswer() const;

  Job job;
  RunContext context;
  const RunSettings* settings;
  RequestBatch request_batch;
  /** The rows of a write with an identifier, kept between its two batches. */
  ResultSet claimed_rows;
  bool created_table = false;
  bool undecided = true;
  bool abandoned = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_JOB_RUN_H_
