// Measures what membership costs a process at several sizes of the fleet,
// beside the former full mesh, and extrapolates to the target.
//
// Usage: membership_bench [--write FILE] [--beside FILE] [PROXIES...]

#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "bench/model/membership_load.h"
#include "bench/report/bench_options.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"

namespace {

using lacewingferry::EncodePeerMessage;
using lacewingferry::PeerMessage;
using lacewingferry::model::MeasureMembershipLoad;
using lacewingferry::model::MembershipLoads;
using lacewingferry::model::RoleLoad;
using lacewingferry::report::FigureRow;

constexpr std::size_t kZones = 13;
constexpr std::size_t kZonesOfSmallFleet = 3;
constexpr std::size_t kSmallFleet = 20;
constexpr double kTargetProxies = 1000;
constexpr double kBytesPerSecond = 3000;

struct Point {
  double proxies = 0;
  MembershipLoads loads;
};

std::size_t SizeOf(const PeerMessage& message) {
  return EncodePeerMessage(message).size();
}

/** The bytes a second, both ways, that the full mesh costs a proxy: heartbeats
 * to all others, five a second, and 8.4 announcements a second in them. */
double MeshBytes(double proxies) {
  constexpr double kHeartbeats = 5;
  constexpr double kAnnouncements = 8.4;
  lacewingferry::MembershipUpdate update;
  update.sender = {lacewingferry::NodeId("proxy-100"),
                   lacewingferry::AvailabilityZone("zone-10"),
                   "tcp://10.1.0.100:7100", false};
  PeerMessage message{update.sender.id, update.sender.peer_url, update};
  const auto empty = static_cast<double>(SizeOf(message));
  lacewingferry::MemberAnnouncement made;
  made.info.id = lacewingferry::MemberId("permit-db-100-1");
  made.info.database = lacewingferry::DatabaseId("permit-db-100");
  made.info.group = lacewingferry::GroupId("permit-db");
  made.info.zone = update.sender.zone;
  made.info.endpoint = {"10.2.0.100", 5432};
  made.replication_endpoint = made.info.endpoint;
  made.incarnation = 1764845059000000;
  update.announcements = {made};
  message.body = update;
  const double announcement = static_cast<double>(SizeOf(message)) - empty;
  return 2 * (proxies - 1) *
         (kHeartbeats * empty + kAnnouncements * announcement);
}

void PrintRole(const char* name, const RoleLoad& role) {
  std::printf(
      "  %-16s %6.1f messages/s, mean %5.0f out %5.0f in, both %5.0f "
      "B/s; largest %5.0f B/s\n",
      name, role.mean.messages_sent, role.mean.bytes_sent,
      role.mean.bytes_received, role.mean.Bytes(), role.largest.Bytes());
}

FigureRow FiguresOf(std::size_t size, const char* name, const RoleLoad& role) {
  return {std::to_string(size) + " proxies, " + name,
          {{"messages_sent_per_s", role.mean.messages_sent},
           {"mean_bytes_per_s", role.mean.Bytes()},
           {"largest_bytes_per_s", role.largest.Bytes()}}};
}

/** Returns the bytes a second at the target. */
double PrintExtrapolation(const char* name, double proxies_a, double bytes_a,
                          double proxies_b, double bytes_b) {
  const double slope = (bytes_b - bytes_a) / (proxies_b - proxies_a);
  const double target = bytes_b + slope * (kTargetProxies - proxies_b);
  std::printf(
      "  %-16s slope %6.2f B/s a proxy, at 1000 proxies %5.0f B/s "
      "(%.0f%% of 3 KB/s)\n",
      name, slope, target, 100 * target / kBytesPerSecond);
  return target;
}

void MeasureSize(std::size_t size, std::vector<Point>& points,
                 std::vector<FigureRow>& figures) {
  const std::size_t zones = size <= kSmallFleet ? kZonesOfSmallFleet : kZones;
  const Point point{static_cast<double>(size),
                    MeasureMembershipLoad(size, zones, SizeOf)};
  std::printf("%zu proxies in %zu zones; full mesh %.0f B/s\n", size, zones,
              MeshBytes(point.proxies));
  const auto report = [&](const char* name, const RoleLoad& role) {
    PrintRole(name, role);
    figures.push_back(FiguresOf(size, name, role));
  };
  report("relay idle", point.loads.idle.relay);
  report("relay churning", point.loads.churning.relay);
  report("other idle", point.loads.idle.other);
  report("other churning", point.loads.churning.other);
  std::fflush(stdout);
  points.push_back(point);
}

void Extrapolate(const std::vector<Point>& points,
                 std::vector<FigureRow>& figures) {
  if (points.size() < 2) return;
  const Point& a = points[points.size() - 2];
  const Point& b = points.back();
  std::printf("extrapolated from the last two sizes; full mesh %.0f B/s\n",
              MeshBytes(kTargetProxies));
  const double relay = PrintExtrapolation(
      "relay, mean", a.proxies, a.loads.churning.relay.mean.Bytes(), b.proxies,
      b.loads.churning.relay.mean.Bytes());
  const double other = PrintExtrapolation(
      "other, mean", a.proxies, a.loads.churning.other.mean.Bytes(), b.proxies,
      b.loads.churning.other.mean.Bytes());
  figures.push_back(
      {"extrapolated to 1000 proxies",
       {{"relay_mean_bytes_per_s", relay}, {"other_mean_bytes_per_s", other}}});
}

int Main(int argc, char** argv) {
  cxxopts::Options usage("membership_bench", "The cost of membership");
  lacewingferry::report::AddFigureOptions(usage);
  usage.add_options()("sizes", "Proxies of each fleet",
                      cxxopts::value<std::vector<std::size_t>>()->default_value(
                          "20,100,220,300"));
  usage.parse_positional({"sizes"});
  const auto arguments = usage.parse(argc, argv);
  std::vector<Point> points;
  std::vector<FigureRow> figures;
  for (const auto size : arguments["sizes"].as<std::vector<std::size_t>>()) {
    MeasureSize(size, points, figures);
  }
  Extrapolate(points, figures);
  lacewingferry::report::ReportFigures(
      "membership_bench", figures,
      lacewingferry::report::FigureFilesOf(arguments));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return lacewingferry::report::RunBench(
      "membership_bench", [argc, argv] { return Main(argc, argv); });
}
