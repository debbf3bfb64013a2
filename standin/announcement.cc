#include "standin/announcement.h"

#include <nlohmann/json.hpp>

namespace lacewingferry::standin {

std::string EncodeAnnouncement(const Announcement& announcement) {
  const MemberInfo& info = announcement.info;
  nlohmann::ordered_json json;
  json["member"] = info.id.Value();
  json["database"] = info.database.Value();
  json["group"] = info.group.Value();
  json["zone"] = info.zone.Value();
  json["host"] = info.endpoint.host;
  json["port"] = info.endpoint.port;
  json["replication_port"] = announcement.replication_port;
  json["slots"] = info.slots;
  json["primary"] = announcement.primary;
  json["term"] = announcement.term;
  json["position"] = {{"term", announcement.position.term},
                      {"offset", announcement.position.offset}};
  json["leaving"] = info.leaving;
  json["sequence"] = announcement.sequence;
  json["incarnation"] = announcement.incarnation;
  const auto replace = nlohmann::ordered_json::error_handler_t::replace;
  return json.dump(-1, ' ', false, replace);
}

}  // namespace lacewingferry::standin
