#include "lacewingferry/adapters/json/announcement_json.h"

#include <cstdint>
#include <limits>

#include "lacewingferry/adapters/json/json_fields.h"

namespace lacewingferry {
namespace {

using detail::JsonFields;

constexpr std::uint64_t kAnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kLastPort = 65535;
constexpr std::uint64_t kMostSlots = 100000;

LogPosition ParsePosition(JsonFields& fields) {
  if (!fields.Has("position")) {
    fields.Raw("position");
    return {};
  }
  JsonFields inner(fields.Raw("position"), "announcement position");
  LogPosition position;
  position.term = inner.Number("term", true, kAnyNumber);
  position.offset = inner.Number("offset", true, kAnyNumber);
  inner.Finish();
  return position;
}

}  // namespace

MemberAnnouncement ParseAnnouncement(const std::string& body) {
  JsonFields fields(body, "announcement");
  MemberAnnouncement parsed;
  MemberInfo& info = parsed.info;
  info.id = MemberId(fields.Text("member", true));
  info.database = DatabaseId(fields.Text("database", true));
  info.group = GroupId(fields.Text("group", true));
  info.zone = AvailabilityZone(fields.Text("zone", true));
  info.endpoint.host = fields.Text("host", true);
  info.endpoint.port =
      static_cast<std::uint16_t>(fields.Number("port", true, kLastPort));
  info.slots =
      static_cast<std::uint32_t>(fields.Number("slots", true, kMostSlots));
  info.leaving = fields.Flag("leaving");
  parsed.replication_endpoint.host = info.endpoint.host;
  parsed.replication_endpoint.port = static_cast<std::uint16_t>(
      fields.Number("replication_port", false, kLastPort));
  parsed.primary = fields.Flag("primary");
  parsed.term = fields.Number("term", true, kAnyNumber);
  parsed.position = ParsePosition(fields);
  parsed.sequence = fields.Number("sequence", true, kAnyNumber);
  parsed.incarnation = fields.Number("incarnation", true, kAnyNumber);
  fields.Finish();
  return parsed;
}

}  // namespace lacewingferry
