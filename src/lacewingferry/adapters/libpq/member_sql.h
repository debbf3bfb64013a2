#ifndef LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_SQL_H_
#define LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_SQL_H_

// Defines how a member's statements become SQL, and rows and error codes their
// results.

#include <string>

#include "lacewingferry/core/member_statement.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** The SQL that runs a statement on a member of the dialect. */
SqlStatement BuildMemberSql(const MemberDialect& dialect,
                            const MemberStatement& statement);

/** Reads what a statement returned. Throws DecodeError for rows of another form
 * than the dialect's. */
MemberResult ReadMemberResult(MemberStatementKind kind, ResultSet rows);

/** What the code of PostgreSQL's list of errors means for a statement. */
MemberErrorKind ClassifyMemberError(MemberStatementKind kind,
                                    const std::string& sqlstate);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_SQL_H_
