#ifndef LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_CONNECTIONS_H_
#define LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_CONNECTIONS_H_

// Defines the member port over libpq in its non-blocking pipeline mode.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "lacewingferry/core/settings.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

class PgConnection;

/** The connections of one traffic thread. All calls and all events happen on
 * the thread that runs the io_context. */
class MemberConnections {
 public:
  /** The dialect is that of all members. */
  MemberConnections(boost::asio::io_context& io, MemberDialect dialect,
                    EventPort log);
  ~MemberConnections();

  /** The port; valid as long as this object. */
  MemberPort Port();

  /** Sets who hears of connections; call before the port is used. */
  void SetEvents(MemberEvents events);

 private:
  void Open(ConnectionId id, const MemberInfo& info);
  void Execute(ConnectionId id, const MemberBatch& batch);
  void Close(ConnectionId id);

  boost::asio::io_context& io;
  MemberDialect dialect;
  EventPort log;
  MemberEvents events;
  std::unordered_map<ConnectionId, std::shared_ptr<PgConnection>> connections;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LIBPQ_MEMBER_CONNECTIONS_H_
