#ifndef STANDIN_NONDETERMINISTIC_FUNCTIONS_H_
#define STANDIN_NONDETERMINISTIC_FUNCTIONS_H_

// Defines ForbidNondeterministicFunctions, which keeps out SQL functions whose
// result would differ when a replica runs the statement again.

#include <sqlite3.h>

namespace lacewingferry::standin {

/** The start of the error message of a forbidden function. */
extern const char kNondeterministicMessage[];

/** Makes the functions of time, chance and connection state fail, also where
 * a column's default calls them. */
void ForbidNondeterministicFunctions(sqlite3* database);

}  // namespace lacewingferry::standin

#endif  // STANDIN_NONDETERMINISTIC_FUNCTIONS_H_
