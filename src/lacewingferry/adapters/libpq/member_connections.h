#ifndef LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_CONNECTIONS_H_
#define LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_CONNECTIONS_H_

// Defines the member port over libpq in its non-blocking pipeline mode.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

class PgConnection;

/** The connections of one traffic thread. All calls and all events happen on
 * the thread that runs the io_context. */
class MemberConnections {
 public:
  /** user is the database role that the connections use. */
  MemberConnections(boost::asio::io_context& io, std::string user);
  ~MemberConnections();

  /** The port; valid as long as this object. */
  MemberPort Port();

  /** Sets who hears of connections; call before the port is used. */
  void SetEvents(MemberEvents events);

 private:
  void Open(ConnectionId id, const MemberInfo& info);
  void Execute(ConnectionId id, const SqlBatch& batch);
  void Close(ConnectionId id);

  boost::asio::io_context& io;
  std::string user;
  MemberEvents events;
  std::unordered_map<ConnectionId, std::shared_ptr<PgConnection>> connections;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_CONNECTIONS_H_
