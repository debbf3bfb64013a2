#include "bench/processes/deployment.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry::processes {
namespace {

using std::chrono::milliseconds;

Deployment Kraanwater() {
  Deployment made;
  made.name = "kraanwater";
  made.zones = {AvailabilityZone("nh-a"), AvailabilityZone("gl-a"),
                AvailabilityZone("nb-a")};
  made.group = GroupId("permit-db");
  made.slots = 5;
  made.connect_delay = milliseconds(10);
  made.latency = milliseconds(2);
  made.page_age = milliseconds(5000);
  made.mix = RequestMix{20, 5, 15, 5, 10, 20, 25};
  return made;
}

Deployment Wanjiru() {
  Deployment made;
  made.name = "wanjiru";
  made.zones = {AvailabilityZone("nairobi-a"), AvailabilityZone("mombasa-a"),
                AvailabilityZone("kisumu-a")};
  made.group = GroupId("works-db");
  made.slots = 2;
  made.connect_delay = milliseconds(30);
  made.latency = milliseconds(1);
  made.page_age = milliseconds(10000);
  made.mix = RequestMix{10, 10, 5, 5, 5, 15, 50};
  return made;
}

}  // namespace

Deployment FindDeployment(const std::string& name) {
  if (name == "kraanwater") return Kraanwater();
  if (name == "wanjiru") return Wanjiru();
  throw UserError("deployment '" + name + "' is not kraanwater or wanjiru");
}

}  // namespace lacewingferry::processes
