#include "tests/support/note_samples.h"

namespace lacewingferry {

FrontProxy SampleProxy(int number) {
  FrontProxy proxy;
  proxy.id = NodeId("proxy-" + std::to_string(number));
  proxy.zone = AvailabilityZone("nh-a");
  proxy.region = "nh";
  proxy.peer_url = "tcp://127.0.0.1:" + std::to_string(7000 + number);
  return proxy;
}

DatabaseGroup SampleGroup(const std::string& name) {
  DatabaseGroup group;
  group.id = GroupId(name);
  group.databases = {DatabaseId(name + "-1")};
  group.members = 3;
  group.slots = 5;
  return group;
}

ReleaseNote EmptyNote(const std::string& id, std::uint64_t base_revision) {
  ReleaseNote note;
  note.id = NoteId(id);
  note.base_revision = base_revision;
  note.author = "marit";
  return note;
}

ReleaseNote FirstNote() {
  ReleaseNote note = EmptyNote("first", 0);
  note.added.groups = {SampleGroup("permit-db")};
  StalenessRule rule;
  rule.group = GroupId("permit-db");
  rule.max_age = std::chrono::seconds(2);
  note.added.staleness_rules = {rule};
  note.added.proxies = {SampleProxy(1), SampleProxy(2)};
  return note;
}

}  // namespace lacewingferry
