#ifndef TESTS_SUPPORT_POSTGRES_CLIENT_H_
#define TESTS_SUPPORT_POSTGRES_CLIENT_H_

// Defines PostgresClient, a libpq connection for tests.

#include <libpq-fe.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lacewingferry::testing {

/** One statement's answer. NULL shows as the text NULL. */
struct ClientResult {
  ExecStatusType status = PGRES_FATAL_ERROR;
  std::string sqlstate;
  std::string tag;
  std::vector<std::vector<std::string>> rows;
};

/** A blocking libpq connection. */
class PostgresClient {
 public:
  explicit PostgresClient(std::uint16_t port);

  bool Connected() const;
  /** The connection's error message. */
  std::string Message() const;

  /** Runs a simple query and gives its last answer. */
  ClientResult Run(const std::string& sql);

  /** Runs one statement with parameters in the extended protocol. */
  ClientResult Run(const std::string& sql,
                   const std::vector<const char*>& parameters);

  /** The first column of the first row; empty without rows. */
  std::string Value(const std::string& sql);

  /** I, T or E, as the server reported it last. */
  char TransactionStatus() const;

  /** The connection itself, for pipeline mode. */
  PGconn* Raw() const { return this->connection.get(); }

  /** Reads an answer and frees it. */
  static ClientResult Read(PGresult* result);

 private:
  std::unique_ptr<PGconn, void (*)(PGconn*)> connection;
};

}  // namespace lacewingferry::testing

#endif  // TESTS_SUPPORT_POSTGRES_CLIENT_H_
