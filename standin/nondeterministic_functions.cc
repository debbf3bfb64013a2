#include "standin/nondeterministic_functions.h"

namespace lacewingferry::standin {
namespace {

/** The functions of time, chance and connection state. */
constexpr const char* kForbiddenNames[] = {"random",
                                           "randomblob",
                                           "current_timestamp",
                                           "current_date",
                                           "current_time",
                                           "datetime",
                                           "date",
                                           "time",
                                           "strftime",
                                           "julianday",
                                           "unixepoch",
                                           "changes",
                                           "total_changes",
                                           "last_insert_rowid"};

/** Stands for a function of any number of arguments. */
constexpr int kAnyArguments = -1;

void Refuse(sqlite3_context* context, int /*count*/, sqlite3_value** /*args*/) {
  sqlite3_result_error(context, kNondeterministicMessage, -1);
}

}  // namespace

const char kNondeterministicMessage[] =
    "functions that aren't deterministic aren't served";

void ForbidNondeterministicFunctions(sqlite3* database) {
  for (const char* name : kForbiddenNames) {
    // The built-in variants with a fixed number of arguments are replaced too.
    for (int count = kAnyArguments; count <= 1; ++count) {
      sqlite3_create_function_v2(database, name, count, SQLITE_UTF8, nullptr,
                                 Refuse, nullptr, nullptr, nullptr);
    }
  }
}

}  // namespace lacewingferry::standin
