#include "tests/support/postgres_client.h"

namespace lacewingferry::testing {

PostgresClient::PostgresClient(std::uint16_t port)
    : connection(
          PQconnectdb(("host=127.0.0.1 user=test dbname=test connect_timeout=5 "
                       "port=" +
                       std::to_string(port))
                          .c_str()),
          PQfinish) {}

bool PostgresClient::Connected() const {
  return PQstatus(this->Raw()) == CONNECTION_OK;
}

std::string PostgresClient::Message() const {
  return PQerrorMessage(this->Raw());
}

ClientResult PostgresClient::Run(const std::string& sql) {
  return Read(PQexec(this->Raw(), sql.c_str()));
}

ClientResult PostgresClient::Run(const std::string& sql,
                                 const std::vector<const char*>& parameters) {
  return Read(PQexecParams(this->Raw(), sql.c_str(),
                           static_cast<int>(parameters.size()), nullptr,
                           parameters.data(), nullptr, nullptr, 0));
}

std::string PostgresClient::Value(const std::string& sql) {
  const ClientResult result = this->Run(sql);
  return result.rows.empty() ? "" : result.rows[0][0];
}

char PostgresClient::TransactionStatus() const {
  switch (PQtransactionStatus(this->Raw())) {
    case PQTRANS_IDLE:
      return 'I';
    case PQTRANS_INTRANS:
      return 'T';
    case PQTRANS_INERROR:
      return 'E';
    default:
      return '?';
  }
}

ClientResult PostgresClient::Read(PGresult* result) {
  const std::unique_ptr<PGresult, void (*)(PGresult*)> owner(result, PQclear);
  ClientResult read;
  read.status = PQresultStatus(result);
  const char* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
  read.sqlstate = sqlstate == nullptr ? "" : sqlstate;
  read.tag = result == nullptr ? "" : PQcmdStatus(result);
  for (int row = 0; row < PQntuples(result); ++row) {
    auto& values = read.rows.emplace_back();
    for (int column = 0; column < PQnfields(result); ++column) {
      values.emplace_back(PQgetisnull(result, row, column) != 0
                              ? "NULL"
                              : PQgetvalue(result, row, column));
    }
  }
  return read;
}

}  // namespace lacewingferry::testing
